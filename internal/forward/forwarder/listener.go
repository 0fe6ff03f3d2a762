package forwarder

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/timekeeper"
	"samphireturn/internal/traffic/finisher"
)

// callerServer serves callers' connections under one set of limits. Connections that
// were accepted under earlier limits keep them.
type callerServer struct {
	*drainer
	limits samphireturn.Limits
	queue  chan net.Conn
	done   chan struct{}
	once   sync.Once
	addr   net.Addr
}

// Accept implements net.Listener.
func (s *callerServer) Accept() (net.Conn, error) {
	select {
	case c := <-s.queue:
		return c, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *callerServer) Close() error {
	s.once.Do(func() { close(s.done) })
	return nil
}

// Addr implements net.Listener.
func (s *callerServer) Addr() net.Addr { return s.addr }

const (
	// minAcceptDelay is the wait after an accept that failed for want of descriptors or memory,
	// which others may give back. It doubles with each further one up to maxAcceptDelay.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = 500 * time.Millisecond
	// acceptFailureTime is how long a daemon is not ready after such a failure: longer than
	// until the next accept, and than two readiness checks.
	acceptFailureTime = 3 * time.Second
	// acceptDrainTime is how long connections that came before the listener is closed are still
	// taken: the kernel resets those that wait at its close.
	acceptDrainTime = 100 * time.Millisecond
)

// errTooManyConns is the error of a connection for which there is no room.
var errTooManyConns = errors.New("too many connections")

// accept passes each new connection to the server with the current limits.
func (f *Forwarder) accept() {
	var delay time.Duration
	for {
		conn, err := f.Listener.Accept()
		if err != nil {
			if !f.waitToAccept(&delay, err) {
				return
			}
			continue
		}
		conn = f.Gate.Meter(conn)
		if !f.Gate.Admit(conn) {
			f.acceptFailed(&delay, errTooManyConns)
			continue
		}
		if delay > 0 {
			f.Log.Info().Str("event", logger.EventAcceptsAgain).Send()
			delay = 0
		}
		s := f.callerServer()
		select {
		case s.queue <- conn:
		case <-s.done:
			_ = conn.Close()
			f.Gate.Observe(conn, http.StateClosed)
		}
	}
}

// waitToAccept waits after an accept that failed, and reports whether there is to be another
// one.
func (f *Forwarder) waitToAccept(delay *time.Duration, err error) bool {
	if f.closing.Load() || errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	if !temporary(err) {
		f.listenerFailed.Store(true)
		f.Log.Error().Str("event", logger.EventListenerFailed).Err(err).Send()
		return false
	}
	f.acceptFailed(delay, err)
	return timekeeper.Sleep(f.ctx, *delay)
}

// acceptFailed records a connection that could not be taken, and doubles the wait until the next
// accept. The first one of a row is logged.
func (f *Forwarder) acceptFailed(delay *time.Duration, err error) {
	f.acceptFailedAt.Store(int64(f.Clock()))
	acceptFailures.Add(1)
	if *delay == 0 {
		f.Log.Warn().Str("event", logger.EventAcceptFailed).Err(err).Send()
	}
	*delay = min(max(2**delay, minAcceptDelay), maxAcceptDelay)
}

// temporary reports whether an accept that failed with err may succeed later.
func temporary(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// accepts reports whether the daemon takes new connections of callers.
func (f *Forwarder) accepts() bool {
	failedAt := time.Duration(f.acceptFailedAt.Load())
	return !f.listenerFailed.Load() && (failedAt == 0 || f.Clock()-failedAt >= acceptFailureTime)
}

// callerServer returns the server with the current limits; a new one is started when
// the limits change.
func (f *Forwarder) callerServer() *callerServer {
	limits := samphireturn.Limits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	if v := f.Control.Snapshot().View; v != nil && v.Table != nil {
		l := v.Table.Limits
		limits.HeaderBytes = cmp.Or(l.HeaderBytes, limits.HeaderBytes)
		limits.HeaderTimeout = cmp.Or(l.HeaderTimeout, limits.HeaderTimeout)
		limits.IdleTimeout = cmp.Or(l.IdleTimeout, limits.IdleTimeout)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.callerServers); n > 0 && f.callerServers[n-1].limits == limits {
		return f.callerServers[n-1]
	}
	s := &callerServer{
		limits: limits,
		drainer: newDrainer(&http.Server{
			Handler:           &finisher.Handler{Name: "caller", Serve: f.serve, Log: f.Log},
			ReadHeaderTimeout: limits.HeaderTimeout,
			IdleTimeout:       limits.IdleTimeout,
			MaxHeaderBytes:    limits.HeaderBytes,
		}, f.Gate.Observe),
		queue: make(chan net.Conn),
		done:  make(chan struct{}),
		addr:  f.Listener.Addr(),
	}
	f.callerServers = append(f.callerServers, s)
	f.wait.Go(func() { f.serveListener(s.server, s) })
	return s
}

const (
	// peerQuietTime is how long no peer asks for attempts before a daemon that leaves takes no
	// more of them: it may be the last that reaches endpoints. It takes none in the last
	// peerDrainTime of the shutdown.
	peerQuietTime = 500 * time.Millisecond
	peerDrainTime = 2 * time.Second
)

// waitForPeers waits until no peer needs this daemon, or peerDrainTime before ctx ends.
func (f *Forwarder) waitForPeers(ctx context.Context) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(-peerDrainTime))
	defer cancel()
	for {
		asked := time.Duration(f.peerAskedAt.Load())
		quiet := f.Clock() - asked
		if asked == 0 || quiet >= peerQuietTime || !timekeeper.Sleep(ctx, peerQuietTime-quiet) {
			return
		}
	}
}

// closeListener takes the connections that wait to be accepted and closes the listener. Requests
// that come later are refused.
func (f *Forwarder) closeListener() {
	l, ok := f.Listener.(interface{ SetDeadline(t time.Time) error })
	if ok && l.SetDeadline(time.Now().Add(acceptDrainTime)) == nil {
		time.Sleep(acceptDrainTime)
	}
	f.closing.Store(true)
	_ = f.Listener.Close()
}

// shutdownServers closes the listener and shuts the servers of callers and peers down: idle
// connections close at once, others after their request, all when ctx ends. Requests that
// come from now on are refused, so that none is cut off when ctx ends.
func (f *Forwarder) shutdownServers(ctx context.Context) error {
	f.closeListener()
	f.mu.Lock()
	drainers := []*drainer{f.peerServer}
	for _, s := range f.callerServers {
		drainers = append(drainers, s.drainer)
	}
	f.mu.Unlock()
	var (
		wait sync.WaitGroup
		errs = make([]error, len(drainers))
	)
	for i, d := range drainers {
		wait.Go(func() {
			if d == f.peerServer {
				f.waitForPeers(ctx)
				f.peersClosing.Store(true)
			}
			errs[i] = d.shutDown(ctx)
			if errs[i] != nil {
				f.Log.Warn().Str("event", logger.EventGraceExpired).Int64("active", f.activeRequests.Load()).Err(errs[i]).Send()
				errs[i] = d.server.Close()
			}
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}

// recentIDs remembers the ids of requests that must not run twice, so that an id
// which a caller uses again by mistake is refused.
type recentIDs struct {
	mu sync.Mutex
	// ids holds the time of each id.
	ids map[string]time.Duration
	// order holds the ids by time, oldest first.
	order []string
}

const (
	// maxRecentIDs and recentIDTTL bound how many ids are remembered and how long.
	maxRecentIDs = 20000
	recentIDTTL  = time.Minute
)

// add remembers an id and reports whether it is new.
func (s *recentIDs) add(id string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids == nil {
		s.ids = make(map[string]time.Duration)
	}
	for len(s.order) > 0 && (len(s.order) >= maxRecentIDs || now-s.ids[s.order[0]] > recentIDTTL) {
		delete(s.ids, s.order[0])
		s.order = s.order[1:]
	}
	if _, ok := s.ids[id]; ok {
		return false
	}
	s.ids[id] = now
	s.order = append(s.order, id)
	return true
}
