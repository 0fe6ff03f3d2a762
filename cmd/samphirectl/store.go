package main

import (
	"samphireturn"
	"samphireturn/internal/store/accessor"
)

// openStore returns a client of the platform's object API at a base URL. Tests
// replace it.
var openStore = func(base string) (samphireturn.Store, error) {
	return accessor.New(base), nil
}
