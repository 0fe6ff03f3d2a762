package main

import (
	"context"
	"fmt"

	"samphireturn"
	"samphireturn/internal/fleet/guard"
)

// release ends the hold on a version, so that it takes new sessions again. Daemons
// see the change within seconds.
func (c *client) release(ctx context.Context) error {
	name := c.Release.Name
	h, _, err := guard.LoadHold(ctx, c.store, name)
	if samphireturn.KindOf(err) == samphireturn.KindMissing || err == nil && !h.Held() {
		return &Error{Op: "release " + name + ": it is not held", Code: exitFailed}
	}
	if err != nil {
		return &Error{Op: "release " + name, Code: exitPlatform, Err: err}
	}
	next := guard.Hold{Version: h.Version, Epoch: h.Epoch + 1, Generation: h.Generation}
	saved, err := guard.SaveHold(ctx, c.store, next)
	if samphireturn.KindOf(err) == samphireturn.KindConflict {
		return &Error{Op: "release " + name, Code: exitConflict, Err: err}
	}
	if err != nil {
		return &Error{Op: "release " + name, Code: exitPlatform, Err: err}
	}
	return c.print(saved, fmt.Sprintf("%s is released in epoch %d", name, saved.Epoch))
}
