package main

import (
	"samphireturn"
	"samphireturn/internal/store/accessor"
)

// openStore returns the platform's object API at a base URL.
var openStore = func(base string) (samphireturn.Store, error) {
	return accessor.New(base), nil
}
