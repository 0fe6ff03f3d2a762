package orderer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/time/rate"

	"samphireturn"
	"samphireturn/internal/fleet/leaser"
	"samphireturn/internal/fleet/orderer"
	"samphireturn/internal/standin/generator"
	"samphireturn/internal/standin/keeper"
)

const loadTime = 20 * time.Second

type (
	// world is the platform, engines and daemons that share a data centre.
	world struct {
		*qt.C
		objects keeper.Objects
		store   rate.Limiter
		retry   time.Duration // Retry-After of the weight store
		engines map[string]*generator.Generator
		weights *sharedStore // replaces store if set

		mu              sync.Mutex
		config          *samphireturn.Config
		refuse          int    // orders that engines refuse yet
		ordered         string // the engine ordered last
		cut             map[string]time.Time
		fence           uint64
		stale, accepted int
		asked, granted  int
		loads, unserved int
	}

	// node is one daemon and the link between it and everything else.
	node struct {
		*orderer.Orderer
		*keeper.Objects
		w       *world
		id      string
		centre  string
		ahead   time.Duration
		dead    bool
		fault   func(effect func() error) error
		step    string
		renewed int
		mu      sync.Mutex
	}
)

func version(name, state string, engines int) samphireturn.Version {
	return samphireturn.Version{Name: name, State: state, EnginesPerCentre: engines}
}

func config(versions ...samphireturn.Version) *samphireturn.Config {
	return &samphireturn.Config{Models: []samphireturn.Model{{Name: "m", Versions: versions}}}
}

func newWorld(t *testing.T, fenced bool, loaded ...string) *world {
	w := &world{C: qt.New(t), engines: make(map[string]*generator.Generator), retry: time.Second, cut: make(map[string]time.Time)}
	w.store = *rate.NewLimiter(1, 2)
	for i, v := range loaded {
		id := fmt.Sprint("e", i)
		g := &generator.Generator{ID: id, Fenced: fenced, LoadTime: loadTime}
		if v != "" {
			g.Versions = []string{v}
		}
		g.RefuseOrder = func(string, string) bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.refuse--
			return w.refuse >= 0
		}
		w.engines[id] = g
	}
	return w
}

// add starts a daemon.
func (w *world) add(id, centre string) *node {
	n := &node{w: w, Objects: &w.objects, id: id, centre: centre}
	n.Orderer = &orderer.Orderer{
		Period:  500 * time.Millisecond,
		Control: n, Store: n, Weights: n, Now: n.now,
		Leaser: &leaser.Leaser{Store: n, Holder: id + ".1", Now: n.now},
		Client: &http.Client{Transport: n},
	}
	w.Assert(n.Run(context.Background()), qt.IsNil)
	return n
}

func (n *node) now() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Add(n.ahead)
}

func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
}

// do takes an action that is a step, with the step's fault the first time.
func (n *node) do(step string, effect func() error) error {
	n.mu.Lock()
	dead, fault := n.dead, n.fault
	hit := !dead && fault != nil && step == n.step
	if hit {
		n.fault = nil
	}
	n.mu.Unlock()
	if dead {
		return &samphireturn.Error{Kind: samphireturn.KindUnavailable}
	}
	if hit {
		return fault(effect)
	}
	return effect()
}

// write takes the step that a write is.
func (n *node) write(name string, value []byte, effect func() error) error {
	step := "progress"
	switch {
	case strings.HasPrefix(name, "leases/"):
		n.renewed++
		step = []string{"acquire", "renew"}[min(n.renewed, 2)-1]
	case bytes.Contains(value, []byte(`"loading"`)):
		step = "intent"
	}
	return n.do(step, effect)
}

func (n *node) Create(ctx context.Context, name string, value []byte) (v uint64, err error) {
	err = n.write(name, value, func() (err error) { v, err = n.Objects.Create(context.WithoutCancel(ctx), name, value); return })
	return v, err
}

func (n *node) Update(ctx context.Context, name string, value []byte, old uint64) (v uint64, err error) {
	err = n.write(name, value, func() (err error) {
		v, err = n.Objects.Update(context.WithoutCancel(ctx), name, value, old)
		return
	})
	return v, err
}

// Weights implements orderer.Weights.
func (n *node) Weights(ctx context.Context, name string) error {
	if n.w.weights != nil {
		return n.w.weights.Weights(ctx, name)
	}
	return n.do("weights", func() error {
		n.w.mu.Lock()
		defer n.w.mu.Unlock()
		n.w.asked++
		if !n.w.store.AllowN(time.Now(), 1) {
			return &samphireturn.Error{Kind: samphireturn.KindLimited, RetryAfter: n.w.retry}
		}
		n.w.granted++
		return nil
	})
}

// RoundTrip implements http.RoundTripper. It minds no time-out of the request
// once it is under way, as the kernel of a paused process does not.
func (n *node) RoundTrip(r *http.Request) (res *http.Response, err error) {
	step := "report"
	if r.Method == http.MethodPost {
		step = "order"
	}
	n.w.mu.Lock()
	silent := time.Now().Before(n.w.cut[r.URL.Host])
	if step == "order" {
		n.w.ordered = r.URL.Host
	}
	n.w.mu.Unlock()
	if silent {
		return nil, lost()
	}
	err = n.do(step, func() error {
		body := []byte(nil)
		if r.Body != nil {
			if body, err = io.ReadAll(r.Body); err != nil {
				return err
			}
		}
		rec := httptest.NewRecorder()
		n.w.engines[r.URL.Host].ServeHTTP(rec, httptest.NewRequest(r.Method, r.URL.Path, bytes.NewReader(body)))
		if step == "order" && rec.Code == http.StatusOK {
			n.w.order(body)
		}
		res = rec.Result()
		return nil
	})
	if err != nil {
		return nil, err
	}
	return res, nil
}

// order notes an order that was carried out.
func (w *world) order(body []byte) {
	var o struct{ Fence uint64 }
	w.Check(json.Unmarshal(body, &o), qt.IsNil)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted++
	if o.Fence < w.fence {
		w.stale++
	}
	w.fence = max(w.fence, o.Fence)
}

// Post implements samphireturn.Control.
func (n *node) Post(samphireturn.Event) {}

// Snapshot implements samphireturn.Control.
func (n *node) Snapshot() *samphireturn.Snapshot {
	n.w.mu.Lock()
	cfg := n.w.config
	n.w.mu.Unlock()
	s := &samphireturn.Snapshot{
		Config: cfg, Self: samphireturn.VM{ID: n.id, Centre: n.centre},
		Endpoints: make(map[string]*samphireturn.Endpoint), Pools: make(map[samphireturn.VersionRef][]*samphireturn.Endpoint),
	}
	for id := range n.w.engines {
		e := &samphireturn.Endpoint{VM: samphireturn.VM{ID: id, Role: samphireturn.RoleEngine, Centre: n.centre, Addr: id}}
		versions, _ := n.w.engines[id].Loaded()
		for _, v := range versions {
			model, name, _ := strings.Cut(v, "@")
			ref := samphireturn.VersionRef{Model: model, Version: name}
			e.Versions = append(e.Versions, ref)
			s.Pools[ref] = append(s.Pools[ref], e)
		}
		s.Endpoints[id] = e
	}
	return s
}

// watch counts, until the returned function is called, the times when more than
// one engine loads, and those when a version has no engine.
func (w *world) watch(v string) func() {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Second):
			}
			if _, loading := w.count(""); loading > 1 {
				w.loads++
			}
			if n, _ := w.count(v); n == 0 {
				w.unserved++
			}
		}
	})
	return func() { close(done); wait.Wait() }
}

// count returns the engines that have a version and those that load.
func (w *world) count(v string) (have, loading int) {
	for id := range w.engines {
		versions, load := w.engines[id].Loaded()
		for _, u := range versions {
			if u == v {
				have++
			}
		}
		if load != "" {
			loading++
		}
	}
	return have, loading
}

// sharedStore is a weight store of several data centres.
type sharedStore struct {
	limit          *rate.Limiter
	asked, granted *int
}

var shared sync.Mutex

// Weights implements orderer.Weights.
func (s *sharedStore) Weights(context.Context, string) error {
	shared.Lock()
	defer shared.Unlock()
	*s.asked++
	if !s.limit.AllowN(time.Now(), 1) {
		return &samphireturn.Error{Kind: samphireturn.KindLimited, RetryAfter: 10 * time.Second}
	}
	*s.granted++
	return nil
}
