package accessor

import (
	"net/http"
	"path"
	"strings"
	"sync/atomic"
	"time"

	"samphireturn"
)

// call is one request to the platform.
type call struct {
	op, name     string
	method, path string
	header       map[string]string
	query        map[string]string
	body         []byte
	// extraTimeout is added to the accessor's Timeout.
	extraTimeout time.Duration
	// gotConn is true once the request got a connection and so may have been
	// sent.
	gotConn atomic.Bool
}

// newError counts a failure of the call and returns it as an error.
func (c *call) newError(kind samphireturn.Kind, err error) *samphireturn.Error {
	failures.Add(c.op+" "+kind.String(), 1)
	return &samphireturn.Error{Op: strings.TrimSpace(c.op + " " + c.name), Kind: kind, Err: err}
}

// hasCleanPath reports whether the call's path is unchanged by path cleaning,
// which a server may apply.
func (c *call) hasCleanPath() bool {
	return path.Clean(c.path) == c.path
}

// failureKind returns the error kind of a call that got no usable response:
// KindUnknown for a write that may have been sent, else KindUnavailable.
func (c *call) failureKind() samphireturn.Kind {
	write := c.op == opCreate || c.op == opUpdate || c.op == opDelete
	if write && c.gotConn.Load() {
		return samphireturn.KindUnknown
	}
	return samphireturn.KindUnavailable
}

// statusKind returns the error kind of a response status; ok is true for
// success.
func (c *call) statusKind(status int) (kind samphireturn.Kind, ok bool) {
	switch {
	case status >= 200 && status < 300:
		return 0, true
	case status == http.StatusNotModified:
		return samphireturn.KindTimeout, false
	case status == http.StatusPreconditionFailed:
		return samphireturn.KindConflict, false
	}
	if kind, ok := samphireturn.KindOfStatus(status); ok {
		return kind, false
	}
	return c.failureKind(), false
}
