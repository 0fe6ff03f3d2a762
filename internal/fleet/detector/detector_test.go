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
	// fakeFleet is the platform, the endpoints and the links between daemons.
	fakeFleet struct {
		mu          sync.Mutex
		down        bool
		listReads   map[string]int
		reportReads int
		// largestMessage is the size of the largest message in bytes.
		largestMessage int
		vms            []samphireturn.VM
		reports        map[string]Report
		daemons        map[string]*daemon
	}

	// daemon is one detector with its control state.
	daemon struct {
		fleet    *fakeFleet
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
	for _, id := range sortedKeys(d.fleet.daemons) {
		if id != d.self.ID && d.fleet.daemons[id].self.Centre == d.self.Centre {
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
	d.fleet.mu.Lock()
	d.fleet.largestMessage = max(d.fleet.largestMessage, len(data))
	d.fleet.mu.Unlock()
	answer, err := d.fleet.daemons[to].handlers[topic](ctx, d.self.ID, data)
	if err != nil || reply == nil {
		return err
	}
	data, _ = encoder.Marshal(answer)
	return encoder.Unmarshal(data, reply)
}

func (d *daemon) VMs(context.Context) ([]samphireturn.VM, error) {
	d.fleet.mu.Lock()
	defer d.fleet.mu.Unlock()
	d.fleet.listReads[d.self.ID]++
	if d.fleet.down {
		return nil, errors.New("down")
	}
	return append([]samphireturn.VM(nil), d.fleet.vms...), nil
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
func (ff *fakeFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	ff.mu.Lock()
	defer ff.mu.Unlock()
	ff.reportReads++
	report, ok := ff.reports[r.URL.Host]
	if !ok {
		return nil, errors.New("refused")
	}
	data, _ := json.Marshal(report)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(string(data))), Request: r}, nil
}

// change calls f with mu held, then waits for the daemons to react.
func (ff *fakeFleet) change(f func(), wait time.Duration) {
	ff.mu.Lock()
	f()
	ff.mu.Unlock()
	time.Sleep(wait)
	synctest.Wait()
}

// run starts daemons a to d in data centre x and z in y, with engines e and f
// and service s in x, and passes them to f.
func run(t *testing.T, f func(c *qt.C, ff *fakeFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ff := &fakeFleet{listReads: make(map[string]int), daemons: make(map[string]*daemon)}
		ff.vms = []samphireturn.VM{
			{ID: "e", Addr: "e", Role: samphireturn.RoleEngine, Centre: "x"},
			{ID: "f", Addr: "f", Role: samphireturn.RoleEngine, Centre: "x"},
			{ID: "s", Addr: "s", Role: samphireturn.RoleService, Centre: "x", Service: "shop"},
		}
		ff.reports = map[string]Report{
			"e": {ID: "e", Incarnation: 1, Versions: []string{"m@1"}, Budget: 10, Warm: true},
			"f": {ID: "f", Incarnation: 1, Versions: []string{"m@1"}, Budget: 10, Warm: true},
			"s": {ID: "s", Incarnation: 1, Budget: 5},
		}
		for _, id := range []string{"a", "b", "c", "d", "z"} {
			self := samphireturn.VM{ID: id, Role: samphireturn.RoleEntry, Centre: "x"}
			if id == "z" {
				self.Centre = "y"
			}
			d := &daemon{fleet: ff, self: self, handlers: make(map[string]samphireturn.Handler)}
			d.state.Self = self
			d.Detector = New(self, zerolog.Nop())
			d.Lister, d.Links, d.Control = d, d, d
			d.Client = &http.Client{Transport: ff}
			d.Rand = func() float64 { return 0 }
			d.Register()
			ff.daemons[id] = d
			ff.vms = append(ff.vms, self)
		}
		for _, id := range sortedKeys(ff.daemons) {
			qt.Assert(t, ff.daemons[id].Run(context.Background()), qt.IsNil)
		}
		defer func() {
			for _, d := range ff.daemons {
				_ = d.Detector.Close()
			}
		}()
		ff.change(func() {}, 8*time.Second)
		f(qt.New(t), ff)
	})
}

var version = samphireturn.VersionRef{Model: "m", Version: "1"}

// TestPools checks that all daemons of a data centre build the same pools from
// the list and the reports, and that another data centre learns which versions
// are served. Only one daemon reads an endpoint's report, and only listReaders
// daemons read the list.
func TestPools(t *testing.T) {
	run(t, func(c *qt.C, ff *fakeFleet) {
		for _, id := range []string{"a", "b", "c", "d"} {
			s := ff.daemons[id].Snapshot()
			c.Assert(s.Members, qt.HasLen, 5)
			c.Assert(s.Pools[version], qt.HasLen, 2)
			c.Assert(s.Pools[version][0].Warm, qt.IsTrue)
			c.Assert(s.Services["shop"], qt.HasLen, 1)
			c.Assert(s.Endpoints["e"].Home, qt.Equals, Home("e", s.Members[:4]))
			c.Assert(s.Endpoints["e"].Quota.Allowed.Load(), qt.Equals, int64(0))
		}
		c.Assert(ff.daemons["z"].Snapshot().RemoteCentres[version], qt.DeepEquals, []string{"x"})
		polls := ff.reportReads
		clear(ff.listReads)
		ff.change(func() {}, 10*time.Second)
		c.Assert(ff.reportReads-polls, qt.Equals, 3*20)
		readers := 0
		for id := range ff.listReads {
			if id != "z" {
				readers++
			}
		}
		c.Assert(readers, qt.Equals, listReaders)
	})
}

// TestChanges checks how many endpoints a pool has after a change of the list, a
// report or the configuration: an endpoint that leaves or fails is removed in
// time, one that is missing for a moment stays, and an outage of the platform
// or an empty list removes none.
func TestChanges(t *testing.T) {
	edit := func(f func(r *Report)) func(ff *fakeFleet) {
		return func(ff *fakeFleet) {
			r := ff.reports["e"]
			f(&r)
			ff.reports["e"] = r
		}
	}
	tests := []struct {
		name   string
		change func(ff *fakeFleet)
		wait   time.Duration
		size   int
	}{
		{"report says leaving", edit(func(r *Report) { r.Leaving = true }), 2 * time.Second, 1},
		{"list says leaving", func(ff *fakeFleet) { ff.vms[0].Leaving = true }, 3 * time.Second, 1},
		{"missing for a moment", func(ff *fakeFleet) { ff.vms = ff.vms[1:] }, 1500 * time.Millisecond, 2},
		{"missing for long", func(ff *fakeFleet) { ff.vms = ff.vms[1:] }, 5 * time.Second, 1},
		{"does not answer", func(ff *fakeFleet) { delete(ff.reports, "e") }, 4 * time.Second, 1},
		{"report of another endpoint", edit(func(r *Report) { r.ID = "f" }), 4 * time.Second, 1},
		{"platform down", func(ff *fakeFleet) { ff.down = true }, time.Minute, 2},
		{"empty list", func(ff *fakeFleet) { ff.vms = nil }, time.Minute, 2},
		{"data centre out of service", func(ff *fakeFleet) {
			for _, d := range ff.daemons {
				d.mu.Lock()
				d.state.Config = &samphireturn.Config{Centres: []samphireturn.Centre{{Name: "x", OutOfService: true}}}
				d.mu.Unlock()
			}
		}, 1500 * time.Millisecond, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			run(t, func(c *qt.C, ff *fakeFleet) {
				ff.change(func() { test.change(ff) }, test.wait)
				for _, id := range []string{"a", "b", "c", "d"} {
					c.Assert(ff.daemons[id].Snapshot().Pools[version], qt.HasLen, test.size)
				}
				c.Assert(ff.daemons["z"].Snapshot().RemoteCentres[version] == nil, qt.Equals, test.name == "data centre out of service")
			})
		})
	}
}

// TestRestart checks that an endpoint keeps its quota when only its report
// changes. After a restart it gets a new quota and counts as cold.
func TestRestart(t *testing.T) {
	run(t, func(c *qt.C, ff *fakeFleet) {
		d := ff.daemons["a"]
		quota := d.Snapshot().Endpoints["e"].Quota
		ff.change(func() {
			ff.reports["e"] = Report{ID: "e", Incarnation: 1, Versions: []string{"m@1"}, Budget: 20, Warm: true}
		}, time.Second)
		c.Assert(d.Snapshot().Endpoints["e"].Budget, qt.Equals, int64(20))
		c.Assert(d.Snapshot().Endpoints["e"].Quota == quota, qt.IsTrue)
		ff.change(func() {
			ff.reports["e"] = Report{ID: "e", Incarnation: 2, Versions: []string{"m@1"}, Budget: 20}
		}, time.Second)
		e := d.Snapshot().Endpoints["e"]
		c.Assert(e.Quota == quota, qt.IsFalse)
		c.Assert(e.Warm, qt.IsFalse)
	})
}
