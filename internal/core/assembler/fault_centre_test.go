package assembler_test

import (
	"context"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/standin/generator"
	"samphireturn/internal/standin/injector"
	"samphireturn/internal/standin/starter"
)

const (
	pinned = `{"model":"small@v1","messages":[{"role":"user","content":"hi"}],"max_tokens":4}`
	// outAt and inAt are when the north is taken out and back, since the load
	// began; leaveTime is the time after which it must have no new work.
	outAt, inAt, loadTime = 10 * time.Second, 30 * time.Second, 50 * time.Second
	// healAt is when a cut ends; relinkTime is the longest wait before another
	// dial and the time in which the data centres then tell what they serve.
	relinkTime = 6 * time.Second
	healAt     = 24 * time.Second
	leaveTime  = 5 * time.Second
	askTime    = 50 * time.Millisecond
)

type (
	// call is one request of the load.
	call struct {
		at     time.Duration
		by     string
		status int
		body   string
		// north is true if the engine of the north ran it.
		north bool
		err   error
	}

	// load asks daemons in turn, at a steady rate.
	load struct {
		s       *starter.Starter
		daemons []*starter.Daemon
		engine  *generator.Generator
		began   time.Time
		wait    sync.WaitGroup
		mu      sync.Mutex
		calls   []call
		// arrived are the times of requests at the engine, refused or not.
		arrived []time.Duration
		// refuse makes the engine refuse all.
		refuse bool
	}
)

// run asks until loadTime has passed and calls each step at its time.
func (l *load) run(steps map[time.Duration]func()) {
	l.began = time.Now()
	for i := 0; time.Since(l.began) < loadTime; i++ {
		if step := steps[time.Since(l.began)]; step != nil {
			step()
		}
		l.wait.Go(func() { l.ask(l.daemons[i%len(l.daemons)]) })
		time.Sleep(askTime)
	}
	l.wait.Wait()
}

func (l *load) ask(d *starter.Daemon) {
	at := time.Since(l.began)
	status, header, body, err := d.Do(context.Background(), "POST", "/v1/chat/completions", pinned, "Authorization", bearer)
	north := err == nil && l.engine.RunCount(header.Get("Samphire-Request")) > 0
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, call{at, d.VM.ID, status, body, north, err})
}

// arrive notes a request at the engine and returns its fault.
func (l *load) arrive(string) injector.Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived = append(l.arrived, time.Since(l.began))
	return injector.Fault{Refuse: l.refuse}
}

// tally counts the calls of a time by how they ended.
func (l *load) tally(from, to time.Duration) (answered, refused, failed, north int) {
	for _, r := range l.calls {
		switch {
		case r.at < from || r.at >= to:
			continue
		case r.err == nil && r.status == http.StatusOK:
			answered++
		case r.err == nil && strings.Contains(r.body, `"run":"no"`):
			refused++
		default:
			failed++
		}
		if r.north {
			north++
		}
	}
	return answered, refused, failed, north
}

// gap returns the longest time in which no request that was then sent to a
// daemon got an answer.
func (l *load) gap(by string) time.Duration {
	var last, longest time.Duration
	for at := time.Duration(0); at < loadTime; at += askTime {
		for _, r := range l.calls {
			if r.at == at && r.by == by && r.status == http.StatusOK {
				longest, last = max(longest, at-last), at
			}
		}
	}
	return max(longest, loadTime-last)
}

// TestFaultCentreOutAndIn takes a data centre out and back under a steady load.
func TestFaultCentreOutAndIn(t *testing.T) {
	north := func(at string) bool {
		return strings.HasPrefix(at, "entry1") || strings.HasPrefix(at, "entry2") || at == "engine5:80"
	}
	parted := func(from, to string) bool { return from != "caller" && north(from) != north(to) }
	tests := []struct {
		name string
		// cut is the fault while the north is out.
		cut func(from, to string) bool
		// reached is false if the north can't learn that it is out.
		reached bool
		// share is the least part of all requests that is answered.
		share float64
	}{
		{"no fault", nil, true, 1},
		{"one daemon cut off from the platform", func(from, to string) bool {
			return from == "entry1" && to == starter.PlatformAddr
		}, true, 1},
		{"north cut off from the platform", func(from, to string) bool {
			return (from == "entry1" || from == "entry2") && to == starter.PlatformAddr
		}, true, 1},
		{"north cut off from the south", func(from, to string) bool { return to != starter.PlatformAddr && parted(from, to) }, true, 0.72},
		{"north cut off from all", parted, false, 0.92},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				l := newLoad(t, c)
				apply := func(old, text string) {
					config, err := os.ReadFile("../../../examples/config.toml")
					c.Assert(err, qt.IsNil)
					_, err = l.s.Apply(context.Background(), strings.Replace(string(config), old, text, 1))
					c.Assert(err, qt.IsNil)
				}
				status, header, _, err := l.daemons[0].Do(context.Background(), "POST", "/v1/chat/completions", pinned, "Authorization", bearer)
				c.Assert(err, qt.IsNil)
				c.Assert(status, qt.Equals, http.StatusOK)
				session := header
				follow := func() {
					status, header, body, err := l.daemons[0].Do(context.Background(), "POST", "/v1/chat/completions", pinned,
						"Authorization", bearer, "Samphire-Session", session.Get("Samphire-Session"))
					c.Check(err, qt.IsNil)
					if status != http.StatusOK && tt.cut != nil && tt.reached && tt.share < 1 {
						return
					}
					c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
					c.Check(header.Get("Samphire-Version"), qt.Equals, session.Get("Samphire-Version"))
				}
				l.run(map[time.Duration]func(){
					outAt - time.Second: func() { l.s.Network.Partition(tt.cut) },
					outAt:               func() { apply(`name = "north"`, "name = \"north\"\nout = true") },
					outAt + leaveTime:   func() { l.wait.Go(follow) },
					healAt:              func() { l.s.Network.Partition(nil) },
					inAt:                func() { apply("", "") },
					inAt + leaveTime:    func() { l.wait.Go(follow) },
				})
				answered, refused, failed, _ := l.tally(0, loadTime)
				share := float64(answered) / float64(len(l.calls))
				t.Logf("answered %.4f refused %d failed %d, longest gap %s at entry1, %s at entry3", share, refused, failed, l.gap("entry1"), l.gap("entry3"))
				_, _, _, late := l.tally(outAt+leaveTime, healAt)
				c.Check(late > 0, qt.Equals, !tt.reached, qt.Commentf("%d requests ran in the north while it was out", late))
				_, _, _, late = l.tally(healAt+leaveTime, inAt)
				c.Check(late, qt.Equals, 0, qt.Commentf("ran in the north after the cut"))
				_, _, _, back := l.tally(inAt+leaveTime, loadTime)
				c.Check(back > 0, qt.IsTrue)
				c.Check(share >= tt.share, qt.IsTrue, qt.Commentf("%.4f answered", share))
				c.Check(failed, qt.Equals, 0)
				_, refused, _, _ = l.tally(healAt+relinkTime, loadTime)
				c.Check(refused, qt.Equals, 0, qt.Commentf("refused after the cut"))
				l.s.Network.Partition(nil)
				c.Check(l.s.Close(), qt.IsNil)
			})
		})
	}
}

// newLoad returns a load on a small installation whose northern engine it knows.
func newLoad(t *testing.T, c *qt.C) *load {
	t.Helper()
	s, daemons := install(t, c)
	engine := &generator.Generator{ID: "engine5", Incarnation: 1, Versions: []string{"small@v1"}, Quality: 0.6}
	l := &load{s: s, daemons: daemons, engine: engine}
	engine.Injector.Hook = l.arrive
	c.Assert(s.Unlist("engine1"), qt.IsNil)
	c.Assert(s.Engine("north", engine), qt.IsNil)
	time.Sleep(2 * settle)
	return l
}
