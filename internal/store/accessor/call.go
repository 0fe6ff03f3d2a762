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
	// extra is added to the time-out.
	extra time.Duration
	// sent is true once a connection was given to the request.
	sent atomic.Bool
}

// fail counts and returns an error of the call.
func (c *call) fail(kind samphireturn.Kind, err error) *samphireturn.Error {
	failures.Add(c.op+" "+kind.String(), 1)
	return &samphireturn.Error{Op: strings.TrimSpace(c.op + " " + c.name), Kind: kind, Err: err}
}

// valid reports whether the call's path stays as it is when a server cleans it.
func (c *call) valid() bool {
	return path.Clean(c.path) == c.path
}

// doubt returns the kind of a call that got no usable answer.
func (c *call) doubt() samphireturn.Kind {
	write := c.op == opCreate || c.op == opUpdate || c.op == opDelete
	if write && c.sent.Load() {
		return samphireturn.KindUnknown
	}
	return samphireturn.KindUnavailable
}

// kind returns the kind of error that an answer's status stands for; ok is true
// for success.
func (c *call) kind(status int) (kind samphireturn.Kind, ok bool) {
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
	return c.doubt(), false
}
