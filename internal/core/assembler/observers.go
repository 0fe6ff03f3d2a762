package assembler

import (
	"time"

	"samphireturn"
	"samphireturn/internal/traffic/dispatcher"
	"samphireturn/internal/traffic/router"
)

// observers is a router.Observer that passes on to several.
type observers []router.Observer

// Sent implements router.Observer.
func (o observers) Sent(e *samphireturn.Endpoint, v samphireturn.VersionRef, first time.Duration, err *dispatcher.Error) {
	for _, observer := range o {
		observer.Sent(e, v, first, err)
	}
}
