package collector

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"samphireturn/internal/traffic/finisher"
)

const (
	// discardTime is how long the rest of a refused request's body is read.
	discardTime       = 5 * time.Second
	discardBufferSize = 4 << 10
)

// Refuse has write send a whole answer, with its length, to a request whose body was not read to its end, also if the caller is still
// sending it. It then reads the rest of the body for a short time, in which the caller may pause for
// a time: a connection that is closed with unread bytes is reset, and the answer may be lost with it.
// It panics with http.ErrAbortHandler unless the body ends: what remains of it must not be
// read as another request. If write sends nothing, it returns at once and the finisher closes the
// connection.
func Refuse(w http.ResponseWriter, r *http.Request, pause time.Duration, write func()) {
	control := http.NewResponseController(w)
	// Otherwise the server reads the body before it answers.
	if err := control.EnableFullDuplex(); err != nil {
		panic(http.ErrAbortHandler)
	}
	write()
	err := control.Flush()
	if errors.Is(err, finisher.ErrUnanswered) {
		return
	}
	// A caller that asked whether to send the body does not send it now.
	if err != nil || r.Header.Get("Expect") != "" || !discard(control, r.Body, pause) {
		panic(http.ErrAbortHandler)
	}
}

// discard reads a body to its end and reports whether it has one.
func discard(control *http.ResponseController, body io.Reader, pause time.Duration) bool {
	end := time.Now().Add(discardTime)
	buffer := make([]byte, discardBufferSize)
	for {
		deadline := time.Now().Add(pause)
		if deadline.After(end) {
			deadline = end
		}
		if control.SetReadDeadline(deadline) != nil {
			return false
		}
		if _, err := body.Read(buffer); err != nil {
			return err == io.EOF && control.SetReadDeadline(time.Time{}) == nil
		}
	}
}
