package forwarder

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"samphireturn"
	"samphireturn/internal/core/logger"
)

// front serves callers' connections under the limits of one table. Connections
// that were accepted under earlier limits keep them.
type front struct {
	limits samphireturn.Limits
	server *http.Server
	queue  chan net.Conn
	done   chan struct{}
	once   sync.Once
	addr   net.Addr
}

// Accept implements net.Listener.
func (t *front) Accept() (net.Conn, error) {
	select {
	case c := <-t.queue:
		return c, nil
	case <-t.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (t *front) Close() error {
	t.once.Do(func() { close(t.done) })
	return nil
}

// Addr implements net.Listener.
func (t *front) Addr() net.Addr { return t.addr }

// accept gives each new connection to the server with the limits in force.
func (f *Forwarder) accept() {
	for {
		c, err := f.Listener.Accept()
		if err != nil {
			if !f.closing.Load() {
				f.Log.Error().Str("event", logger.EventListenerFailed).Err(err).Send()
			}
			return
		}
		t := f.front()
		select {
		case t.queue <- c:
		case <-t.done:
			_ = c.Close()
		}
	}
}

// front returns the server with the limits in force, started when they change.
func (f *Forwarder) front() *front {
	limits := samphireturn.Limits{HeaderBytes: headerLimit, HeaderTimeout: headerTime, IdleTimeout: idleTime}
	if v := f.Control.Snapshot().View; v != nil && v.Table != nil {
		l := v.Table.Limits
		limits.HeaderBytes = cmp.Or(l.HeaderBytes, limits.HeaderBytes)
		limits.HeaderTimeout = cmp.Or(l.HeaderTimeout, limits.HeaderTimeout)
		limits.IdleTimeout = cmp.Or(l.IdleTimeout, limits.IdleTimeout)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.fronts); n > 0 && f.fronts[n-1].limits == limits {
		return f.fronts[n-1]
	}
	t := &front{
		limits: limits,
		server: &http.Server{
			Handler:           http.HandlerFunc(f.serve),
			ReadHeaderTimeout: limits.HeaderTimeout,
			IdleTimeout:       limits.IdleTimeout,
			MaxHeaderBytes:    limits.HeaderBytes,
		},
		queue: make(chan net.Conn),
		done:  make(chan struct{}),
		addr:  f.Listener.Addr(),
	}
	f.fronts = append(f.fronts, t)
	f.wait.Go(func() { f.listen(t.server, t) })
	return t
}

// shut ends all servers of callers: idle connections at once, the others when
// their request has ended, all when ctx ends.
func (f *Forwarder) shut(ctx context.Context) error {
	f.closing.Store(true)
	_ = f.Listener.Close()
	f.mu.Lock()
	fronts := f.fronts
	f.mu.Unlock()
	var (
		wait sync.WaitGroup
		errs = make([]error, len(fronts))
	)
	for i, t := range fronts {
		wait.Go(func() {
			errs[i] = t.server.Shutdown(ctx)
			if errs[i] != nil {
				f.Log.Warn().Str("event", logger.EventCut).Int64("active", f.active.Load()).Err(errs[i]).Send()
				errs[i] = t.server.Close()
			}
		})
	}
	wait.Wait()
	return errors.Join(errs...)
}

// seen remembers the ids of requests that may run once, so that a caller's
// mistaken second use of one is not run.
type seen struct {
	mu  sync.Mutex
	ids map[string]time.Duration
	// order holds the ids by time, oldest first.
	order []string
}

const (
	// seenLimit and seenTime bound the ids remembered.
	seenLimit = 20000
	seenTime  = time.Minute
)

// add notes an id and reports whether it is new.
func (s *seen) add(id string, now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ids == nil {
		s.ids = make(map[string]time.Duration)
	}
	for len(s.order) > 0 && (len(s.order) >= seenLimit || now-s.ids[s.order[0]] > seenTime) {
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
