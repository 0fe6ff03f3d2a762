// Package finisher closes the connection of each request whose handler ends without an answer.
//
// net/http sends an empty 200 for a handler that writes nothing, and a caller takes that for a
// success. So whatever the cause is, a request is answered, refused or cut off. Only a status, a part of
// a body or both make an answer: a flush alone does not.
package finisher

import (
	"expvar"
	"io"
	"net/http"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"samphireturn/internal/core/logger"
)

var (
	unanswered = expvar.NewMap("finisher_unanswered")

	// ErrUnanswered is the error of a flush before the answer.
	ErrUnanswered = errors.New("the request is not answered")
)

type (
	// End is what a handler knows of a request at its end.
	End struct {
		// ID is the request's id, and Err the last error on its way; either may be missing.
		ID  string
		Err error
	}

	// Handler is an http.Handler. Set the exported fields before use.
	Handler struct {
		// Name names the handler in log lines and counters.
		Name string
		// Serve handles a request. It must not hijack the connection.
		Serve func(w http.ResponseWriter, r *http.Request) End
		Log   zerolog.Logger
	}

	// writer notes whether a request was answered.
	writer struct {
		http.ResponseWriter
		answered bool
	}
)

// ServeHTTP implements http.Handler. It panics with http.ErrAbortHandler, which closes the
// connection, if Serve returns without an answer.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	noted := &writer{ResponseWriter: w}
	end := h.Serve(noted, r)
	if noted.answered {
		return
	}
	unanswered.Add(h.Name, 1)
	h.Log.Error().Str("event", logger.EventUnanswered).Str("id", end.ID).Str("handler", h.Name).Err(end.Err).Send()
	panic(http.ErrAbortHandler)
}

// WriteHeader sends a status. An informational one is no answer.
func (w *writer) WriteHeader(status int) {
	w.answered = w.answered || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer. Without a status before it, it sends status 200 unless p is empty.
func (w *writer) Write(p []byte) (int, error) {
	if len(p) == 0 && !w.answered {
		return 0, nil
	}
	w.answered = true
	return w.ResponseWriter.Write(p)
}

// ReadFrom implements io.ReaderFrom with the buffers of the server.
func (w *writer) ReadFrom(r io.Reader) (int64, error) {
	n, err := io.Copy(w.ResponseWriter, r)
	w.answered = w.answered || n > 0
	return n, err
}

// FlushError sends what is buffered. It returns ErrUnanswered before the answer, where net/http would
// send status 200.
func (w *writer) FlushError() error {
	if !w.answered {
		return ErrUnanswered
	}
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the server's writer, for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }
