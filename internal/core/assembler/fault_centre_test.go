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
	pinnedBody = `{"model":"small@v1","messages":[{"role":"user","content":"hi"}],"max_tokens":4}`
	// outAt and inAt are when the data centre north is taken out of service and back in,
	// and loadTime is when the load ends, all from the start of the load. drainBound is
	// the time after outAt from which no new work may go to north.
	outAt, inAt, loadTime = 10 * time.Second, 30 * time.Second, 50 * time.Second
	// healAt is when a partition ends. reconnectBound is the longest wait before the
	// next dial, plus the time in which the data centres then announce what they serve.
	reconnectBound  = 6 * time.Second
	healAt          = 24 * time.Second
	drainBound      = 5 * time.Second
	requestInterval = 50 * time.Millisecond
)

type (
	// call is one request of the load and its result.
	call struct {
		at     time.Duration
		daemon string
		status int
		body   string
		// ranInNorth is true if the engine in north ran the request.
		ranInNorth bool
		err        error
	}

	// loadGenerator sends requests to the daemons in turn, at a steady rate.
	loadGenerator struct {
		s       *starter.Starter
		daemons []*starter.Daemon
		engine  *generator.Generator
		start   time.Time
		wait    sync.WaitGroup
		mu      sync.Mutex
		calls   []call
		// arrived are the times of requests at the engine, refused or not.
		arrived []time.Duration
		// refuse makes the engine refuse all requests.
		refuse bool
	}
)

// run sends requests until loadTime has passed and calls each step at its time after the
// start.
func (l *loadGenerator) run(steps map[time.Duration]func()) {
	l.start = time.Now()
	for i := 0; time.Since(l.start) < loadTime; i++ {
		if step := steps[time.Since(l.start)]; step != nil {
			step()
		}
		l.wait.Go(func() { l.send(l.daemons[i%len(l.daemons)]) })
		time.Sleep(requestInterval)
	}
	l.wait.Wait()
}

func (l *loadGenerator) send(d *starter.Daemon) {
	at := time.Since(l.start)
	status, header, body, err := d.Do(context.Background(), "POST", "/v1/chat/completions", pinnedBody, "Authorization", bearer)
	north := err == nil && l.engine.RunCount(header.Get("Samphire-Request")) > 0
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, call{at, d.VM.ID, status, body, north, err})
}

// recordArrival records the time of a request at the engine and returns the fault to
// inject.
func (l *loadGenerator) recordArrival(string) injector.Fault {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrived = append(l.arrived, time.Since(l.start))
	return injector.Fault{Refuse: l.refuse}
}

// countOutcomes counts the requests sent between two times by their outcome, and those
// run in north. A refused request was declared as not run.
func (l *loadGenerator) countOutcomes(from, to time.Duration) (answered, refused, failed, north int) {
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
		if r.ranInNorth {
			north++
		}
	}
	return answered, refused, failed, north
}

// longestGap returns the longest time in which no request sent to the given daemon was
// answered, by the times of sending.
func (l *loadGenerator) longestGap(by string) time.Duration {
	var last, longest time.Duration
	for at := time.Duration(0); at < loadTime; at += requestInterval {
		for _, r := range l.calls {
			if r.at == at && r.daemon == by && r.status == http.StatusOK {
				longest, last = max(longest, at-last), at
			}
		}
	}
	return max(longest, loadTime-last)
}

// TestFaultCentreOutAndIn takes a data centre out of service and back in under a steady
// load, with network faults meanwhile. North must get no new work from drainBound after
// it can learn of this, and must get work again afterwards. A request that is not
// answered must be declared as not run, and a session keeps its version.
func TestFaultCentreOutAndIn(t *testing.T) {
	inNorth := func(at string) bool {
		return strings.HasPrefix(at, "entry1") || strings.HasPrefix(at, "entry2") || at == "engine5:80"
	}
	acrossCentres := func(from, to string) bool { return from != "caller" && inNorth(from) != inNorth(to) }
	tests := []struct {
		name string
		// partition matches the connections that are cut from shortly before north is
		// taken out of service until healAt.
		partition func(from, to string) bool
		// northInformed is false if north can't be informed that it is out of service.
		northInformed bool
		// minShare is the smallest share of all requests that must be answered.
		minShare float64
	}{
		{"no fault", nil, true, 1},
		{"one daemon cut off from the platform", func(from, to string) bool {
			return from == "entry1" && to == starter.PlatformAddr
		}, true, 1},
		{"north cut off from the platform", func(from, to string) bool {
			return (from == "entry1" || from == "entry2") && to == starter.PlatformAddr
		}, true, 1},
		{"north cut off from the south", func(from, to string) bool { return to != starter.PlatformAddr && acrossCentres(from, to) }, true, 0.72},
		{"north cut off from all", acrossCentres, false, 0.92},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				l := newLoadGenerator(t, c)
				applyReplaced := func(old, text string) {
					config, err := os.ReadFile("../../../examples/config.toml")
					c.Assert(err, qt.IsNil)
					_, err = l.s.Apply(context.Background(), strings.Replace(string(config), old, text, 1))
					c.Assert(err, qt.IsNil)
				}
				status, header, _, err := l.daemons[0].Do(context.Background(), "POST", "/v1/chat/completions", pinnedBody, "Authorization", bearer)
				c.Assert(err, qt.IsNil)
				c.Assert(status, qt.Equals, http.StatusOK)
				session := header
				continueSession := func() {
					status, header, body, err := l.daemons[0].Do(context.Background(), "POST", "/v1/chat/completions", pinnedBody,
						"Authorization", bearer, "Samphire-Session", session.Get("Samphire-Session"))
					c.Check(err, qt.IsNil)
					if status != http.StatusOK && tt.partition != nil && tt.northInformed && tt.minShare < 1 {
						return
					}
					c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
					c.Check(header.Get("Samphire-Version"), qt.Equals, session.Get("Samphire-Version"))
				}
				l.run(map[time.Duration]func(){
					outAt - time.Second: func() { l.s.Network.Partition(tt.partition) },
					outAt:               func() { applyReplaced(`name = "north"`, "name = \"north\"\nout = true") },
					outAt + drainBound:  func() { l.wait.Go(continueSession) },
					healAt:              func() { l.s.Network.Partition(nil) },
					inAt:                func() { applyReplaced("", "") },
					inAt + drainBound:   func() { l.wait.Go(continueSession) },
				})
				answered, refused, failed, _ := l.countOutcomes(0, loadTime)
				share := float64(answered) / float64(len(l.calls))
				t.Logf("answered %.4f refused %d failed %d, longest gap %s at entry1, %s at entry3", share, refused, failed, l.longestGap("entry1"), l.longestGap("entry3"))
				_, _, _, late := l.countOutcomes(outAt+drainBound, healAt)
				c.Check(late > 0, qt.Equals, !tt.northInformed, qt.Commentf("%d requests ran in north while it was out of service", late))
				_, _, _, late = l.countOutcomes(healAt+drainBound, inAt)
				c.Check(late, qt.Equals, 0, qt.Commentf("ran in north after the partition ended"))
				_, _, _, back := l.countOutcomes(inAt+drainBound, loadTime)
				c.Check(back > 0, qt.IsTrue)
				c.Check(share >= tt.minShare, qt.IsTrue, qt.Commentf("%.4f answered", share))
				c.Check(failed, qt.Equals, 0)
				_, refused, _, _ = l.countOutcomes(healAt+reconnectBound, loadTime)
				c.Check(refused, qt.Equals, 0, qt.Commentf("refused after the partition ended"))
				l.s.Network.Partition(nil)
				c.Check(l.s.Close(), qt.IsNil)
			})
		})
	}
}

// newLoadGenerator returns a load on a small installation whose engine in north, engine5,
// records the requests that reach it.
func newLoadGenerator(t *testing.T, c *qt.C) *loadGenerator {
	t.Helper()
	s, daemons := install(t, c)
	engine := &generator.Generator{ID: "engine5", Incarnation: 1, Versions: []string{"small@v1"}, Quality: 0.6}
	l := &loadGenerator{s: s, daemons: daemons, engine: engine}
	engine.Injector.Hook = l.recordArrival
	c.Assert(s.Unlist("engine1"), qt.IsNil)
	c.Assert(s.Engine("north", engine), qt.IsNil)
	time.Sleep(2 * settleTime)
	return l
}
