// Package receiver serves callers over HTTP: chat completions, the list of
// models, plain services and request ids, besides health checks and counters.
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
	"samphireturn/internal/core/accountant"
	"samphireturn/internal/ledger/biller"
	"samphireturn/internal/ledger/claimer"
	"samphireturn/internal/ledger/minter"
	"samphireturn/internal/ledger/runner"
	"samphireturn/internal/traffic/admitter"
	"samphireturn/internal/traffic/cascader"
	"samphireturn/internal/traffic/collector"
	"samphireturn/internal/traffic/gatekeeper"
	"samphireturn/internal/traffic/picker"
	"samphireturn/internal/traffic/router"
)

// KindDrainTimeout means that requests were still in flight when DrainTimeout
// had passed.
const KindDrainTimeout Kind = 0

const (
	defaultMaxBodyBytes   = 4 << 20
	defaultMaxHeaderBytes = 64 << 10
	defaultIdleTimeout    = 2 * time.Minute
	defaultReadTimeout    = 10 * time.Second
	defaultDrainTimeout   = 30 * time.Second

	// discardPause is how long a caller that is refused may pause in its body until its connection
	// is closed.
	discardPause        = time.Second
	refusalWindow       = 250 * time.Millisecond // time in which late requests on open connections are refused
	backgroundRaters    = 4
	backgroundQueueSize = 256
	bytesPerToken       = 4
	copyBufferBytes     = 16 << 10
)

var (
	requests = expvar.NewMap("receiver_requests")
	refusals = expvar.NewMap("receiver_refusal")
	ratings  = expvar.NewMap("receiver_rating")
	// overflows counts the requests forwarded to another data centre, by data centre.
	overflows = expvar.NewMap("receiver_overflow")
	// failedForwards counts the forwarded requests that did not reach the other daemon.
	failedForwards = expvar.NewMap("receiver_hop")
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

// Receiver is the HTTP server for callers. Set the exported fields before Run.
type Receiver struct {
	// Listener accepts the callers' connections.
	Listener net.Listener
	// MaxBodyBytes and MaxHeaderBytes bound a request, IdleTimeout the time between
	// requests on a connection, and ReadTimeout the time to read a request. Zero
	// means the default: 4 MiB, 64 KiB, 2 min and 10 s.
	MaxBodyBytes   int64
	MaxHeaderBytes int
	IdleTimeout    time.Duration
	ReadTimeout    time.Duration
	// DrainTimeout bounds the wait of Close for requests in flight; zero means 30 s.
	DrainTimeout time.Duration
	// ShutdownDelay is the time between reporting not ready and closing the
	// listener, so that load balancers notice the change.
	ShutdownDelay time.Duration

	// Memory is the account of what requests hold; nil bounds nothing. Bodies holds their bodies, and
	// Gate bounds the open connections.
	Memory *accountant.Accountant
	Bodies *collector.Collector
	Gate   *gatekeeper.Gatekeeper

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
	// closing is true from Leave on; refusing is true once ShutdownDelay has passed.
	closing         atomic.Bool
	refusing        atomic.Bool
	serveDone       chan struct{}
	ratingPool      pond.Pool
	ratingsInFlight sync.WaitGroup
}

// Run starts to serve the listener until Close. It does not block.
func (r *Receiver) Run(context.Context) error {
	r.server = &http.Server{
		Handler:           r.closeConnsOnLeave(r.routes()),
		MaxHeaderBytes:    cmp.Or(r.MaxHeaderBytes, defaultMaxHeaderBytes),
		ReadHeaderTimeout: cmp.Or(r.ReadTimeout, defaultReadTimeout),
		ReadTimeout:       cmp.Or(r.ReadTimeout, defaultReadTimeout),
		IdleTimeout:       cmp.Or(r.IdleTimeout, defaultIdleTimeout),
		ConnState:         r.Gate.Observe,
	}
	r.ratingPool = pond.NewPool(backgroundRaters, pond.WithQueueSize(backgroundQueueSize), pond.WithNonBlocking(true))
	r.serveDone = make(chan struct{})
	go func() {
		defer close(r.serveDone)
		_ = r.server.Serve(r.Gate.Listen(r.Listener))
	}()
	return nil
}

// Leave makes the daemon report not ready. Requests are still served, but each
// connection is closed after its next request, so that the caller's following
// request goes to another daemon.
func (r *Receiver) Leave() { r.closing.Store(true) }

// Close reports not ready, waits for ShutdownDelay, stops listening and waits up
// to DrainTimeout for requests in flight. Late requests on open connections are
// refused for a short time first: http.Server.Shutdown would close these
// connections without an answer.
func (r *Receiver) Close() error {
	r.Leave()
	time.Sleep(r.ShutdownDelay)
	r.refusing.Store(true)
	_ = r.Listener.Close()
	time.Sleep(refusalWindow)
	ctx, cancel := context.WithTimeout(context.Background(), cmp.Or(r.DrainTimeout, defaultDrainTimeout))
	defer cancel()
	err := r.server.Shutdown(ctx)
	if err != nil {
		_ = r.server.Close()
	}
	<-r.serveDone
	r.ratingsInFlight.Wait()
	if err != nil {
		return &Error{Op: "close", Kind: KindDrainTimeout, Err: errors.Wrap(err, "requests still under way")}
	}
	return nil
}

// routes returns the handler of all paths.
func (r *Receiver) routes() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /v1/chat/completions", r.authenticated("chat", accountant.Long, r.chat))
	mux.Handle("GET /v1/models", r.authenticated("models", accountant.Short, r.models))
	mux.Handle("POST /v1/ids", r.authenticated("ids", accountant.Short, r.ids))
	mux.Handle("/v1/services/{service}/{path...}", r.authenticated("service", accountant.Short, r.service))
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", r.readyz)
	mux.Handle("GET /debug/vars", expvar.Handler())
	return mux
}

// closeConnsOnLeave closes each connection after its request once the daemon
// is leaving.
func (r *Receiver) closeConnsOnLeave(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if r.closing.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, req)
	})
}

// readyz answers 200 from the time that the daemon may serve until it leaves.
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
