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
	// testCentre is the platform, the engines and the daemons of a data centre.
	testCentre struct {
		*qt.C
		objects     keeper.Objects
		weightLimit rate.Limiter
		retryAfter  time.Duration // Retry-After of the weight store
		engines     map[string]*generator.Generator
		weights     *sharedStore // replaces weightLimit if set

		mu                          sync.Mutex
		config                      *samphireturn.Config
		refusalsLeft                int    // number of further orders that engines refuse
		lastEngine                  string // the engine ordered last
		unreachable                 map[string]time.Time
		maxFence                    uint64
		staleOrders, acceptedOrders int
		weightCalls, weightGrants   int
		doubleLoads, unserved       int
	}

	// node is one daemon and its links to the engines and the platform.
	node struct {
		*orderer.Orderer
		*keeper.Objects
		tc          *testCentre
		id          string
		centre      string
		clockOffset time.Duration
		dead        bool
		fault       func(effect func() error) error
		step        string
		leaseWrites int
		mu          sync.Mutex
	}
)

func version(name, state string, engines int) samphireturn.Version {
	return samphireturn.Version{Name: name, State: state, EnginesPerCentre: engines}
}

func config(versions ...samphireturn.Version) *samphireturn.Config {
	return &samphireturn.Config{Models: []samphireturn.Model{{Name: "m", Versions: versions}}}
}

func newTestCentre(t *testing.T, fenced bool, loaded ...string) *testCentre {
	tc := &testCentre{C: qt.New(t), engines: make(map[string]*generator.Generator), retryAfter: time.Second, unreachable: make(map[string]time.Time)}
	tc.weightLimit = *rate.NewLimiter(1, 2)
	for i, v := range loaded {
		id := fmt.Sprint("e", i)
		g := &generator.Generator{ID: id, Fenced: fenced, LoadTime: loadTime}
		if v != "" {
			g.Versions = []string{v}
		}
		g.RefuseOrder = func(string, string) bool {
			tc.mu.Lock()
			defer tc.mu.Unlock()
			tc.refusalsLeft--
			return tc.refusalsLeft >= 0
		}
		tc.engines[id] = g
	}
	return tc
}

// add starts a daemon.
func (tc *testCentre) add(id, centre string) *node {
	n := &node{tc: tc, Objects: &tc.objects, id: id, centre: centre}
	n.Orderer = &orderer.Orderer{
		Interval: 500 * time.Millisecond,
		Control:  n, Store: n, Weights: n, Now: n.now,
		Leaser: &leaser.Leaser{Store: n, Holder: id + ".1", Now: n.now},
		Client: &http.Client{Transport: n},
	}
	tc.Assert(n.Run(context.Background()), qt.IsNil)
	return n
}

func (n *node) now() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Now().Add(n.clockOffset)
}

// kill makes all further steps of the daemon fail.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead = true
}

// doStep runs the effect of a step; the first time at the step of the fault,
// the fault runs it.
func (n *node) doStep(step string, effect func() error) error {
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

// doWrite runs a write as the step that its name and value stand for.
func (n *node) doWrite(name string, value []byte, effect func() error) error {
	step := "progress"
	switch {
	case strings.HasPrefix(name, "leases/"):
		n.leaseWrites++
		step = []string{"acquire", "renew"}[min(n.leaseWrites, 2)-1]
	case bytes.Contains(value, []byte(`"loading"`)):
		step = "intent"
	}
	return n.doStep(step, effect)
}

func (n *node) Create(ctx context.Context, name string, value []byte) (v uint64, err error) {
	err = n.doWrite(name, value, func() (err error) { v, err = n.Objects.Create(context.WithoutCancel(ctx), name, value); return })
	return v, err
}

func (n *node) Update(ctx context.Context, name string, value []byte, old uint64) (v uint64, err error) {
	err = n.doWrite(name, value, func() (err error) {
		v, err = n.Objects.Update(context.WithoutCancel(ctx), name, value, old)
		return
	})
	return v, err
}

// FetchWeights implements orderer.Weights.
func (n *node) FetchWeights(ctx context.Context, name string) error {
	if n.tc.weights != nil {
		return n.tc.weights.FetchWeights(ctx, name)
	}
	return n.doStep("weights", func() error {
		n.tc.mu.Lock()
		defer n.tc.mu.Unlock()
		n.tc.weightCalls++
		if !n.tc.weightLimit.AllowN(time.Now(), 1) {
			return &samphireturn.Error{Kind: samphireturn.KindLimited, RetryAfter: n.tc.retryAfter}
		}
		n.tc.weightGrants++
		return nil
	})
}

// RoundTrip implements http.RoundTripper. It ignores the timeout of a request
// that is in flight, as the kernel of a paused process does.
func (n *node) RoundTrip(r *http.Request) (res *http.Response, err error) {
	step := "report"
	if r.Method == http.MethodPost {
		step = "order"
	}
	n.tc.mu.Lock()
	unreachable := time.Now().Before(n.tc.unreachable[r.URL.Host])
	if step == "order" {
		n.tc.lastEngine = r.URL.Host
	}
	n.tc.mu.Unlock()
	if unreachable {
		return nil, unknownOutcome()
	}
	err = n.doStep(step, func() error {
		body := []byte(nil)
		if r.Body != nil {
			if body, err = io.ReadAll(r.Body); err != nil {
				return err
			}
		}
		rec := httptest.NewRecorder()
		n.tc.engines[r.URL.Host].ServeHTTP(rec, httptest.NewRequest(r.Method, r.URL.Path, bytes.NewReader(body)))
		if step == "order" && rec.Code == http.StatusOK {
			n.tc.recordOrder(body)
		}
		res = rec.Result()
		return nil
	})
	if err != nil {
		return nil, err
	}
	return res, nil
}

// recordOrder records an order that was carried out.
func (tc *testCentre) recordOrder(body []byte) {
	var o struct{ Fence uint64 }
	tc.Check(json.Unmarshal(body, &o), qt.IsNil)
	tc.mu.Lock()
	defer tc.mu.Unlock()
	tc.acceptedOrders++
	if o.Fence < tc.maxFence {
		tc.staleOrders++
	}
	tc.maxFence = max(tc.maxFence, o.Fence)
}

// Post implements samphireturn.Control.
func (n *node) Post(samphireturn.Event) {}

// Snapshot implements samphireturn.Control.
func (n *node) Snapshot() *samphireturn.Snapshot {
	n.tc.mu.Lock()
	cfg := n.tc.config
	n.tc.mu.Unlock()
	s := &samphireturn.Snapshot{
		Config: cfg, Self: samphireturn.VM{ID: n.id, Centre: n.centre},
		Endpoints: make(map[string]*samphireturn.Endpoint), Pools: make(map[samphireturn.VersionRef][]*samphireturn.Endpoint),
	}
	for id := range n.tc.engines {
		e := &samphireturn.Endpoint{VM: samphireturn.VM{ID: id, Role: samphireturn.RoleEngine, Centre: n.centre, Addr: id}}
		versions, _ := n.tc.engines[id].Loaded()
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

// watch counts, until the returned function is called, how often more than one
// engine was loading and how often no engine had the version v.
func (tc *testCentre) watch(v string) func() {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Second):
			}
			if _, loading := tc.count(""); loading > 1 {
				tc.doubleLoads++
			}
			if n, _ := tc.count(v); n == 0 {
				tc.unserved++
			}
		}
	})
	return func() { close(done); wait.Wait() }
}

// count returns the number of engines that have the version v and the number
// that are loading.
func (tc *testCentre) count(v string) (have, loading int) {
	for id := range tc.engines {
		versions, load := tc.engines[id].Loaded()
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

// sharedStore is a weight store that several data centres share.
type sharedStore struct {
	limit         *rate.Limiter
	calls, grants *int
}

var sharedMu sync.Mutex

// FetchWeights implements orderer.Weights.
func (s *sharedStore) FetchWeights(context.Context, string) error {
	sharedMu.Lock()
	defer sharedMu.Unlock()
	*s.calls++
	if !s.limit.AllowN(time.Now(), 1) {
		return &samphireturn.Error{Kind: samphireturn.KindLimited, RetryAfter: 10 * time.Second}
	}
	*s.grants++
	return nil
}
