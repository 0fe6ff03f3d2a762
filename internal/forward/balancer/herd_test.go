package balancer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/forward/balancer"
)

// herd is a fleet of balancers that send prompts to engines, which read them one after
// the other.
type herd struct {
	now       time.Duration
	random    *rand.Rand
	balancers []*balancer.Balancer
	hosts     []*samphireturn.Host
	// reported holds the loads of the balancers at the last exchange.
	reported []balancer.Loads
	// free is when each engine has read all prompts that it was sent.
	free map[string]time.Duration
	// reading holds the prompts that are being read, in order of their ends.
	reading []prompt
}

// prompt is a prompt that an engine has read at end.
type prompt struct {
	end         time.Duration
	reservation *balancer.Reservation
}

func newHerd(daemons, engines, centres int) *herd {
	h := &herd{now: time.Hour, random: rand.New(rand.NewPCG(1, 2)), free: make(map[string]time.Duration)}
	for i := range daemons {
		b := balancer.New(fmt.Sprint("d", i), fmt.Sprint("c", i%centres), func() time.Duration { return h.now })
		b.Rand = h.random.Float64
		h.balancers = append(h.balancers, b)
	}
	for i := range engines {
		h.hosts = append(h.hosts, &samphireturn.Host{ID: fmt.Sprint("e", i), Pool: "llm", Centre: fmt.Sprint("c", i%centres), Slots: 24})
	}
	return h
}

// share gives each balancer the loads that all others had at the last call: reports
// cross the fleet in two steps.
func (h *herd) share() {
	reported := h.reported
	h.reported = nil
	for _, b := range h.balancers {
		h.reported = append(h.reported, b.LocalLoads())
	}
	for i, b := range h.balancers {
		sum := make(balancer.Loads)
		for j, loads := range reported {
			if i != j {
				sum.Add(loads)
			}
		}
		b.SetRemoteLoads(sum)
	}
}

// send sends a prompt from a random daemon and returns how long it waits until it is read.
func (h *herd) send(readTime time.Duration) time.Duration {
	r := h.balancers[h.random.IntN(len(h.balancers))].Pick(&balancer.Request{
		Pool: &samphireturn.Pool{Name: "llm", Slots: 24, MemoryTokens: 500000}, Hosts: h.hosts,
		MemoryTokens: 2500, PromptTokens: 2400, LatencyClass: "tag", Objective: time.Second,
		Exclude: make(map[string]bool),
	})
	end := max(h.free[r.Host.ID], h.now) + readTime
	h.free[r.Host.ID] = end
	at := len(h.reading)
	for at > 0 && h.reading[at-1].end > end {
		at--
	}
	h.reading = append(h.reading, prompt{})
	copy(h.reading[at+1:], h.reading[at:])
	h.reading[at] = prompt{end, r}
	return end - h.now
}

// advance lets time pass and ends the prompts that are read by then.
func (h *herd) advance(d time.Duration) {
	h.now += d
	for len(h.reading) > 0 && h.reading[0].end <= h.now {
		h.reading[0].reservation.ObserveHead(samphireturn.ResponseMeta{})
		h.reading[0].reservation.Done()
		h.reading = h.reading[1:]
	}
}

// TestHerd loads a fleet of 69 daemons and 90 engines to six tenths, with loads that are
// 0.6 to 1.2 s old: few prompts wait for longer than the objective of a second (pattern: all
// daemons sent to the engine that looked idle to all of them, where a fifth of all prompts
// found six and more before them).
func TestHerd(t *testing.T) {
	const (
		daemons, engines, centres = 69, 90, 4
		readTime                  = 100 * time.Millisecond
		shareInterval             = 600 * time.Millisecond
		duration                  = 20 * time.Second
		// maxLate is the share of prompts that may wait for longer than a second: a tenth
		// of the 5 in 100 answers that may begin late for any reason.
		maxLate = 0.005
	)
	c := qt.New(t)
	h := newHerd(daemons, engines, centres)
	interval := readTime * 10 / (engines * 6)
	late, sent := 0, 0
	for begin, shared := h.now, h.now; h.now < begin+duration; {
		h.advance(interval)
		if h.now-shared >= shareInterval {
			shared = h.now
			h.share()
		}
		// At 0.6 of what the engines can read. The first second teaches the daemons how long prompts take.
		if wait := h.send(readTime); h.now-begin > time.Second {
			sent++
			if wait > time.Second {
				late++
			}
		}
	}
	c.Check(float64(late) <= maxLate*float64(sent), qt.IsTrue, qt.Commentf("%d of %d late", late, sent))
}
