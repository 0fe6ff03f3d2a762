package main

import (
	"github.com/go-faster/errors"

	"samphireturn"
)

// openStore returns the platform's object API at a base URL.
var openStore = func(base string) (samphireturn.Store, error) {
	return nil, &samphireturn.Error{Op: "open " + base, Kind: samphireturn.KindUnavailable, Err: errors.New("no platform client is linked")}
}
