package detector

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
)

type (
	// world plays the platform, the endpoints and the links.
	world struct {
		mu    sync.Mutex
		down  bool
		reads map[string]int
		polls int
		// largest is the size in bytes of the largest message.
		largest int
		vms     []samphireturn.VM
		reports map[string]Report
		daemons map[string]*daemon
	}

	// daemon is one detector with its control state.
	daemon struct {
		world    *world
		self     samphireturn.VM
		handlers map[string]samphireturn.Handler
		mu       sync.Mutex
		state    samphireturn.Snapshot
		*Detector
	}
)

func (d *daemon) Handle(topic string, h samphireturn.Handler) { d.handlers[topic] = h }
func (d *daemon) SetMembers([]samphireturn.VM)                {}

func (d *daemon) Connected() []string {
	var ids []string
	for _, id := range sorted(d.world.daemons) {
		if id != d.self.ID && d.world.daemons[id].self.Centre == d.self.Centre {
			ids = append(ids, id)
		}
	}
	return ids
}

func (d *daemon) Call(ctx context.Context, to, topic string, body, reply any) error {
	data, err := encoder.Marshal(body)
	if err != nil {
		return err
	}
	d.world.mu.Lock()
	d.world.largest = max(d.world.largest, len(data))
	d.world.mu.Unlock()
	answer, err := d.world.daemons[to].handlers[topic](ctx, d.self.ID, data)
	if err != nil || reply == nil {
		return err
	}
	data, _ = encoder.Marshal(answer)
	return encoder.Unmarshal(data, reply)
}

func (d *daemon) VMs(context.Context) ([]samphireturn.VM, error) {
	d.world.mu.Lock()
	defer d.world.mu.Unlock()
	d.world.reads[d.self.ID]++
	if d.world.down {
		return nil, errors.New("down")
	}
	return append([]samphireturn.VM(nil), d.world.vms...), nil
}

func (d *daemon) Post(e samphireturn.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e.Apply(&d.state)
}

func (d *daemon) Snapshot() *samphireturn.Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state
	return &s
}

// RoundTrip answers GET /report of the endpoint whose id is the host.
func (w *world) RoundTrip(r *http.Request) (*http.Response, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.polls++
	report, ok := w.reports[r.URL.Host]
	if !ok {
		return nil, errors.New("refused")
	}
	data, _ := json.Marshal(report)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(data))), Request: r}, nil
}

// change alters the world and waits for the daemons to see it.
func (w *world) change(f func(), wait time.Duration) {
	w.mu.Lock()
	f()
	w.mu.Unlock()
	time.Sleep(wait)
	synctest.Wait()
}

// run starts daemons a to d in centre x and z in y, with engines e and f and
// service s in x, and passes them to the test.
func run(t *testing.T, f func(c *qt.C, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{reads: make(map[string]int), daemons: make(map[string]*daemon)}
		w.vms = []samphireturn.VM{
			{ID: "e", Addr: "e", Role: samphireturn.RoleEngine, Centre: "x"},
			{ID: "f", Addr: "f", Role: samphireturn.RoleEngine, Centre: "x"},
			{ID: "s", Addr: "s", Role: samphireturn.RoleService, Centre: "x", Service: "shop"},
		}
		w.reports = map[string]Report{
			"e": {ID: "e", Start: 1, Versions: []string{"m@1"}, Budget: 10, Warm: true},
			"f": {ID: "f", Start: 1, Versions: []string{"m@1"}, Budget: 10, Warm: true},
			"s": {ID: "s", Start: 1, Budget: 5},
		}
		for _, id := range []string{"a", "b", "c", "d", "z"} {
			self := samphireturn.VM{ID: id, Role: samphireturn.RoleEntry, Centre: "x"}
			if id == "z" {
				self.Centre = "y"
			}
			d := &daemon{world: w, self: self, handlers: make(map[string]samphireturn.Handler)}
			d.state.Self = self
			d.Detector = New(self, zerolog.Nop())
			d.Lister, d.Links, d.Control = d, d, d
			d.Client = &http.Client{Transport: w}
			d.Rand = func() float64 { return 0 }
			d.Register()
			w.daemons[id] = d
			w.vms = append(w.vms, self)
		}
		for _, id := range sorted(w.daemons) {
			qt.Assert(t, w.daemons[id].Run(context.Background()), qt.IsNil)
		}
		defer func() {
			for _, d := range w.daemons {
				_ = d.Detector.Close()
			}
		}()
		w.change(func() {}, 8*time.Second)
		f(qt.New(t), w)
	})
}

var version = samphireturn.VersionRef{Model: "m", Version: "1"}

func TestPools(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		for _, id := range []string{"a", "b", "c", "d"} {
			s := w.daemons[id].Snapshot()
			c.Assert(s.Members, qt.HasLen, 5)
			c.Assert(s.Pools[version], qt.HasLen, 2)
			c.Assert(s.Pools[version][0].Warm, qt.IsTrue)
			c.Assert(s.Services["shop"], qt.HasLen, 1)
			c.Assert(s.Endpoints["e"].Home, qt.Equals, Home("e", s.Members[:4]))
			c.Assert(s.Endpoints["e"].Quota.Allowed.Load(), qt.Equals, int64(0))
		}
		c.Assert(w.daemons["z"].Snapshot().RemoteCentres[version], qt.DeepEquals, []string{"x"})
		polls := w.polls
		clear(w.reads)
		w.change(func() {}, 10*time.Second)
		c.Assert(w.polls-polls, qt.Equals, 3*20)
		readers := 0
		for id := range w.reads {
			if id != "z" {
				readers++
			}
		}
		c.Assert(readers, qt.Equals, listHomes)
	})
}

func TestChanges(t *testing.T) {
	edit := func(f func(r *Report)) func(w *world) {
		return func(w *world) {
			r := w.reports["e"]
			f(&r)
			w.reports["e"] = r
		}
	}
	tests := []struct {
		name   string
		change func(w *world)
		wait   time.Duration
		size   int
	}{
		{"report says leaving", edit(func(r *Report) { r.Leaving = true }), 2 * time.Second, 1},
		{"list says leaving", func(w *world) { w.vms[0].Leaving = true }, 3 * time.Second, 1},
		{"missing for a moment", func(w *world) { w.vms = w.vms[1:] }, 1500 * time.Millisecond, 2},
		{"missing for long", func(w *world) { w.vms = w.vms[1:] }, 5 * time.Second, 1},
		{"does not answer", func(w *world) { delete(w.reports, "e") }, 4 * time.Second, 1},
		{"another's report", edit(func(r *Report) { r.ID = "f" }), 4 * time.Second, 1},
		{"platform down", func(w *world) { w.down = true }, time.Minute, 2},
		{"empty list", func(w *world) { w.vms = nil }, time.Minute, 2},
		{"centre out", func(w *world) {
			for _, d := range w.daemons {
				d.mu.Lock()
				d.state.Config = &samphireturn.Config{Centres: []samphireturn.Centre{{Name: "x", OutOfService: true}}}
				d.mu.Unlock()
			}
		}, 1500 * time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(c *qt.C, w *world) {
				w.change(func() { test.change(w) }, test.wait)
				for _, id := range []string{"a", "b", "c", "d"} {
					c.Assert(w.daemons[id].Snapshot().Pools[version], qt.HasLen, test.size)
				}
				c.Assert(w.daemons["z"].Snapshot().RemoteCentres[version] == nil, qt.Equals, test.name == "centre out")
			})
		})
	}
}

func TestRestart(t *testing.T) {
	run(t, func(c *qt.C, w *world) {
		d := w.daemons["a"]
		gauge := d.Snapshot().Endpoints["e"].Quota
		w.change(func() {
			w.reports["e"] = Report{ID: "e", Start: 1, Versions: []string{"m@1"}, Budget: 20, Warm: true}
		}, time.Second)
		c.Assert(d.Snapshot().Endpoints["e"].Budget, qt.Equals, int64(20))
		c.Assert(d.Snapshot().Endpoints["e"].Quota == gauge, qt.IsTrue)
		w.change(func() {
			w.reports["e"] = Report{ID: "e", Start: 2, Versions: []string{"m@1"}, Budget: 20}
		}, time.Second)
		e := d.Snapshot().Endpoints["e"]
		c.Assert(e.Quota == gauge, qt.IsFalse)
		c.Assert(e.Warm, qt.IsFalse)
	})
}
