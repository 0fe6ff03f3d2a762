// Package receiver serves callers over HTTP: chat completions, the list of
// models, plain services and request ids, beside health and counters.
package receiver

import (
	"cmp"
	"context"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/ledger/biller"
	"samphireturn/internal/ledger/claimer"
	"samphireturn/internal/ledger/minter"
	"samphireturn/internal/ledger/runner"
	"samphireturn/internal/traffic/admitter"
	"samphireturn/internal/traffic/cascader"
	"samphireturn/internal/traffic/picker"
	"samphireturn/internal/traffic/router"
)

// KindClose says that requests were still under way when time ran out.
const KindClose Kind = 0

const (
	defaultBody   = 4 << 20  // bytes of a request's body
	defaultHeader = 64 << 10 // bytes of a request's header
	defaultIdle   = 2 * time.Minute
	defaultRead   = 10 * time.Second
	defaultDrain  = 30 * time.Second

	linger           = 250 * time.Millisecond // time in which late requests are refused
	backgroundRaters = 4
	backgroundQueue  = 256
	bytesPerToken    = 4
	copyBuffer       = 16 << 10 // bytes
)

var (
	requests = expvar.NewMap("receiver_requests")
	refusals = expvar.NewMap("receiver_refusal")
	ratings  = expvar.NewMap("receiver_rating")
	// overflows counts the requests passed on, by data centre.
	overflows = expvar.NewMap("receiver_overflow")
	hops      = expvar.NewMap("receiver_hop")
)

// Kind classifies an Error.
type Kind int

// Error is an error of a Receiver.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Receiver is the callers' HTTP server. Set the exported fields before Run.
type Receiver struct {
	// Listener accepts the callers' connections.
	Listener net.Listener
	// MaxBodyBytes and MaxHeaderBytes bound a request; IdleTimeout bounds the time
	// between requests and ReadTimeout that for reading one. Zero means the default.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	IdleTimeout    time.Duration
	ReadTimeout    time.Duration
	// DrainTimeout bounds the wait for requests in flight in Close; zero means 30 s.
	DrainTimeout time.Duration
	// ShutdownDelay is the time between turning not ready and closing the listener, in
	// which load balancers notice the change.
	ShutdownDelay time.Duration

	Log      zerolog.Logger
	Self     samphireturn.VM
	Control  samphireturn.Control
	Router   *router.Router
	Picker   *picker.Picker
	Cascader *cascader.Cascader
	Admitter *admitter.Admitter
	Biller   *biller.Biller
	Minter   *minter.Minter
	Runner   *runner.Runner
	Claimer  *claimer.Claimer
	Rater    samphireturn.Rater
	// Ready reports whether the daemon may serve.
	Ready func() bool

	server *http.Server
	// closing is true from Leave on, ended once Notice has passed.
	closing    atomic.Bool
	ended      atomic.Bool
	served     chan struct{}
	background pond.Pool
	rating     sync.WaitGroup
}

// Run listens and serves until Close.
func (r *Receiver) Run(context.Context) error {
	r.server = &http.Server{
		Handler:           r.parting(r.routes()),
		MaxHeaderBytes:    cmp.Or(r.MaxHeaderBytes, defaultHeader),
		ReadHeaderTimeout: cmp.Or(r.ReadTimeout, defaultRead),
		ReadTimeout:       cmp.Or(r.ReadTimeout, defaultRead),
		IdleTimeout:       cmp.Or(r.IdleTimeout, defaultIdle),
	}
	r.background = pond.NewPool(backgroundRaters, pond.WithQueueSize(backgroundQueue), pond.WithNonBlocking(true))
	r.served = make(chan struct{})
	go func() {
		defer close(r.served)
		_ = r.server.Serve(r.Listener)
	}()
	return nil
}

// Leave turns not ready. Requests are still served; each connection that carries
// one is closed after it, so that its next request goes to another daemon.
func (r *Receiver) Leave() { r.closing.Store(true) }

// Close turns not ready, waits for Notice, stops listening and waits for
// running requests until Drain has passed. Requests that come late on open
// connections are refused for a short time before these are closed, since the
// server would close them without an answer.
func (r *Receiver) Close() error {
	r.Leave()
	time.Sleep(r.ShutdownDelay)
	r.ended.Store(true)
	_ = r.Listener.Close()
	time.Sleep(linger)
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(r.DrainTimeout, defaultDrain))
	defer cancel()
	err := r.server.Shutdown(ctx)
	if err != nil {
		_ = r.server.Close()
	}
	<-r.served
	r.rating.Wait()
	if err != nil {
		return &Error{Op: "close", Kind: KindClose, Err: errors.Wrap(err, "requests still under way")}
	}
	return nil
}

// routes returns the handler of all paths.
func (r *Receiver) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", r.team("chat", r.chat))
	mux.HandleFunc("GET /v1/models", r.team("models", r.models))
	mux.HandleFunc("POST /v1/ids", r.team("ids", r.ids))
	mux.HandleFunc("/v1/services/{service}/{path...}", r.team("service", r.service))
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", r.readyz)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

// parting has connections closed after their request once the daemon leaves.
func (r *Receiver) parting(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, req)
	})
}

// readyz answers 200 once the daemon may serve and until it closes.
func (r *Receiver) readyz(w http.ResponseWriter, _ *http.Request) {
	if r.closing.Load() {
		writeText(w, http.StatusServiceUnavailable, "closing")
		return
	}
	if !r.Ready() {
		writeText(w, http.StatusServiceUnavailable, "no configuration yet")
		return
	}
	writeText(w, http.StatusOK, "ok")
}

// writeText answers with a line of text.
func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}
