package isolator_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/forward/isolator"
)

// daemon is an isolator with a clock of its own.
type daemon struct {
	*isolator.Isolator
	now      time.Duration
	requests int
}

func newDaemon() *daemon {
	d := &daemon{now: time.Hour}
	d.Isolator = isolator.New(func() time.Duration { return d.now }, zerolog.Nop())
	return d
}

// keysOf returns the keys of a prompt whose parts, without the last one, are separated by
// spaces.
func keysOf(prompt string) []isolator.Key {
	var parts []samphireturn.PromptPart
	for id := range strings.SplitSeq(prompt+" own", " ") {
		parts = append(parts, samphireturn.PromptPart{ID: id})
	}
	return isolator.PartKeys(parts)
}

// expect has an endpoint begin the answer to a prompt, in a request that does not come again.
func (d *daemon) expect(h *samphireturn.Host, prompt string) *isolator.Answer {
	d.requests++
	a := d.Expect(h, append([]isolator.Key{isolator.RequestKey(fmt.Sprint(d.requests), "", nil)}, keysOf(prompt)...))
	a.Begin()
	return a
}

// crash has an endpoint crash in its answer to a prompt.
func (d *daemon) crash(endpoint, prompt string) {
	h := &samphireturn.Host{ID: endpoint}
	d.expect(h, prompt).Lose()
	d.recordCrash(h)
}

// recordCrash records that the process of an endpoint has ended.
func (d *daemon) recordCrash(h *samphireturn.Host) {
	if d.StartCheck(h) {
		d.FinishCheck(h, true)
	}
}

// succeed has an endpoint answer a prompt.
func (d *daemon) succeed(prompt string) {
	d.expect(&samphireturn.Host{ID: "e"}, prompt).Succeed()
}

// isolated returns those of some parts that are isolated.
func (d *daemon) isolated(parts string) string {
	var all []string
	for _, k := range keysOf(parts) {
		if d.Isolated([]isolator.Key{k}) > 0 {
			all = append(all, strings.TrimPrefix(string(k), "part "))
		}
	}
	return strings.Join(all, " ")
}

// TestCauses checks which parts are isolated after a sequence of crashes and successes.
func TestCauses(t *testing.T) {
	// step is a crash of an endpoint, or a success if there is none, some time after the last.
	type step struct {
		after            time.Duration
		endpoint, prompt string
	}
	const s = time.Second
	tests := []struct {
		name  string
		steps []step
		want  string
	}{
		{"two crashes", []step{{0, "e1", "a x"}, {s, "e2", "a x"}}, ""},
		{"three crashes", []step{{0, "", "a b"}, {3 * s, "e1", "a x"}, {s, "e2", "a x"}, {s, "", "a b"}, {s, "e3", "a x"}}, "x"},
		{"first part", []step{{0, "e1", "x a"}, {s, "e2", "x b"}, {s, "e3", "x c"}}, "x"},
		{"more specific part", []step{{0, "e1", "a x"}, {s, "e2", "a x"}, {s, "e3", "a x"}}, "x"},
		{"the other part fails too", []step{
			{0, "e1", "a x"}, {s, "e2", "a x"}, {s, "e3", "a x"}, {s, "e4", "a b"}, {s, "e5", "a c"}, {s, "e6", "a d"},
		}, "a"},
		{"part that succeeded before", []step{
			{0, "", "a b"}, {3 * s, "e1", "a x"}, {0, "e1", "a b"}, {s, "e2", "a x"}, {0, "e3", "a b"}, {s, "e4", "a x"}, {s, "e5", "a c"},
		}, "x"},
		{"one endpoint", []step{{0, "e1", "a x"}, {100 * time.Millisecond, "e1", "a x"}, {100 * time.Millisecond, "e1", "a x"}}, ""},
		{"one endpoint that restarts", []step{{0, "e1", "a x"}, {4 * s, "e1", "a x"}, {4 * s, "e1", "a x"}}, "x"},
		{"success between", []step{{0, "e1", "a x"}, {s, "e2", "a x"}, {s, "", "a x"}, {3 * s, "e3", "a x"}}, ""},
		{"success after", []step{{0, "e1", "a x"}, {s, "e2", "a x"}, {s, "e3", "a x"}, {s, "", "a x"}}, ""},
		{"success just before", []step{{0, "", "a x"}, {s, "e1", "a x"}, {0, "e2", "a x"}, {0, "e3", "a x"}}, ""},
		{"success long before", []step{{0, "", "a x"}, {3 * s, "e1", "a x"}, {0, "e2", "a x"}, {0, "e3", "a x"}}, ""},
		{"success long before, settled", []step{{0, "", "a x"}, {3 * s, "e1", "a x"}, {0, "e2", "a x"}, {0, "e3", "a x"}, {s, "e4", "b c"}}, "x"},
		{"success long before, five crashes", []step{
			{0, "", "a x"}, {3 * s, "e1", "a x"}, {0, "e2", "a x"}, {0, "e3", "a x"}, {0, "e4", "a x"}, {0, "e5", "a x"},
		}, "x"},
		{"crashes of different parts", []step{{0, "e1", "a b"}, {s, "e2", "c d"}, {s, "e3", "e f"}, {s, "e4", "g h"}}, ""},
		{"neighbours in flight", []step{
			{0, "e1", "a x"}, {0, "e1", "b c"}, {0, "e1", "b d"}, {s, "e2", "a x"}, {0, "e2", "b c"}, {s, "e3", "a x"}, {0, "e3", "b c"},
			{s, "e4", "a x"},
		}, "x"},
		{"two parts at once", []step{
			{0, "e1", "a x"}, {s, "e2", "a y"}, {s, "e3", "a x"}, {s, "", "a b"}, {s, "e4", "a y"}, {s, "e5", "a x"}, {s, "e6", "a y"}, {s, "", "a b"},
		}, "x y"},
		{"endpoints crash together", []step{
			{0, "e1", "b"}, {0, "e2", "b"}, {0, "e3", "c"}, {0, "e4", "d"}, {5 * s, "e5", "b"}, {0, "e6", "c"}, {0, "e7", "d"}, {0, "e8", "f"},
		}, ""},
		{"most endpoints crash together", []step{{0, "e1", "b"}, {0, "e2", "b"}, {0, "e3", "b"}, {0, "e4", "d"}}, "b"},
		{"no shared part", []step{{0, "e1", ""}, {s, "e2", ""}, {s, "e3", ""}}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newDaemon()
			for _, st := range test.steps {
				d.now += st.after
				if st.endpoint == "" {
					d.succeed(st.prompt)
				} else {
					d.crash(st.endpoint, st.prompt)
				}
			}
			c.Check(d.isolated("a b c d e f g h x y"), qt.Equals, test.want)
		})
	}
}

// TestRequests checks whether a request is isolated that comes again and again, after a sequence
// of crashes and successes.
func TestRequests(t *testing.T) {
	type step struct {
		after                     time.Duration
		endpoint, request, prompt string
	}
	const s = time.Second
	crashed := []step{{0, "e1", "r", ""}, {s, "e2", "r", ""}, {s, "e3", "r", ""}}
	tests := []struct {
		name  string
		steps []step
		// isolated is whether the request r is, and parts are those that are.
		isolated bool
		parts    string
	}{
		{"two crashes", append(crashed[:2:2], step{2 * s, "", "q", ""}), false, ""},
		{"three crashes", append(crashed[:3:3], step{2 * s, "", "q", ""}), true, ""},
		{"three crashes just now", append(crashed[:3:3], step{s / 2, "", "q", ""}), false, ""},
		{"another request", []step{{0, "e1", "r", ""}, {s, "e2", "q", ""}, {s, "e3", "r", ""}, {2 * s, "", "p", ""}}, false, ""},
		{"success between", []step{{0, "e1", "r", ""}, {s, "e2", "r", ""}, {s, "", "r", ""}, {3 * s, "e3", "r", ""}, {2 * s, "", "q", ""}}, false, ""},
		{"success just before", []step{{0, "", "r", ""}, {s, "e1", "r", ""}, {0, "e2", "r", ""}, {0, "e3", "r", ""}, {2 * s, "", "q", ""}}, false, ""},
		{"in the answer", []step{
			{0, "", "p", "a b"}, {0, "e1", "r", "a b"}, {s, "e2", "r", "a b"}, {s, "e3", "r", "a b"}, {2 * s, "", "q", "a b"},
		}, true, ""},
		{"by a part", []step{{0, "e1", "r", "a x"}, {s, "e2", "r", "a x"}, {s, "e3", "r", "a x"}, {2 * s, "", "q", "a"}}, false, "x"},
		{"beside a request with a part", []step{
			{0, "e1", "p", "a x"}, {0, "e1", "r", ""}, {s, "e2", "q", "a x"}, {0, "e2", "r", ""}, {s, "e3", "o", "a x"}, {0, "e3", "r", ""},
			{2 * s, "", "q", "a"},
		}, false, "x"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newDaemon()
			for _, st := range test.steps {
				d.now += st.after
				h := &samphireturn.Host{ID: cmp.Or(st.endpoint, "e")}
				a := d.Expect(h, append([]isolator.Key{isolator.RequestKey(st.request, "team", nil)}, keysOf(st.prompt)...))
				a.Begin()
				if st.endpoint == "" {
					a.Succeed()
					continue
				}
				a.Lose()
				d.recordCrash(h)
			}
			d.Sweep()
			c.Check(d.Isolated([]isolator.Key{isolator.RequestKey("r", "team", nil)}) > 0, qt.Equals, test.isolated)
			c.Check(d.isolated("a b x"), qt.Equals, test.parts)
		})
	}
}

// TestRequestKey checks what makes requests the same.
func TestRequestKey(t *testing.T) {
	tests := []struct {
		target, team, body string
		same               bool
	}{
		{"/a?b", "t", "body", true},
		{"/a?c", "t", "body", false},
		{"/b", "t", "body", false},
		{"/a?b", "u", "body", false},
		{"/a?b", "t", "other", false},
		{"/a?bt", "", "body", false},
		{"/a?b", "tbody", "", false},
	}
	c := qt.New(t)
	for _, test := range tests {
		k := isolator.RequestKey(test.target, test.team, []byte(test.body))
		c.Check(k == isolator.RequestKey("/a?b", "t", []byte("body")), qt.Equals, test.same, qt.Commentf("%v", test))
		c.Check(len(k) <= 32, qt.IsTrue)
	}
}

// TestCandidates checks which answers count in a crash of their endpoint.
func TestCandidates(t *testing.T) {
	tests := []struct {
		name string
		// end ends the answer, and wait is the time from then to the crash.
		end  func(a *isolator.Answer)
		wait time.Duration
		want string
	}{
		{"ended", (*isolator.Answer).Lose, 0, "x"},
		{"ended before", (*isolator.Answer).Lose, 400 * time.Millisecond, "x"},
		{"ended long before", (*isolator.Answer).Lose, 600 * time.Millisecond, ""},
		{"not ended", func(*isolator.Answer) {}, 0, ""},
		{"succeeded", (*isolator.Answer).Succeed, 3 * time.Second, ""},
		{"ended after success", func(a *isolator.Answer) { a.Succeed(); a.Lose() }, 0, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newDaemon()
			for i := range isolator.MinCrashes {
				h := &samphireturn.Host{ID: fmt.Sprint("e", i)}
				test.end(d.expect(h, "x"))
				d.now += test.wait
				d.Sweep()
				started := d.StartCheck(h)
				c.Check(started && d.StartCheck(h), qt.IsFalse)
				if started {
					d.FinishCheck(h, true)
				}
				d.now += time.Second
			}
			c.Check(d.isolated("x"), qt.Equals, test.want)
		})
	}
}

// TestSlowCheck checks that a crash counts that is confirmed only a second after the answer
// ended, and that one that is not confirmed leaves nothing.
func TestSlowCheck(t *testing.T) {
	tests := []struct {
		name    string
		crashed bool
		want    string
	}{
		{"confirmed", true, "x"},
		{"not confirmed", false, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newDaemon()
			for i := range isolator.MinCrashes {
				h := &samphireturn.Host{ID: fmt.Sprint("e", i)}
				d.expect(h, "x").Lose()
				c.Assert(d.StartCheck(h), qt.IsTrue)
				d.now += time.Second
				d.Sweep()
				d.FinishCheck(h, test.crashed)
				c.Check(d.StartCheck(h), qt.IsFalse)
			}
			c.Check(d.isolated("x"), qt.Equals, test.want)
		})
	}
}

// TestExpiry checks that a part is tried again once its crashes are too old, and isolated
// again by as many.
func TestExpiry(t *testing.T) {
	c := qt.New(t)
	d := newDaemon()
	for range 2 {
		for i := range isolator.MinCrashes {
			d.crash(fmt.Sprint("e", i), "a x")
			d.now += time.Second
		}
		left := d.Isolated(keysOf("x"))
		c.Check(left, qt.Equals, isolator.CrashTTL-isolator.MinCrashes*time.Second)
		d.now += left
		d.Sweep()
		c.Check(d.isolated("a x"), qt.Equals, "")
		d.now += time.Minute
	}
}

// TestFlood has many other requests meet crashes after a part was isolated: it stays isolated, as
// long as its crashes count.
func TestFlood(t *testing.T) {
	c := qt.New(t)
	d := newDaemon()
	for i := range isolator.MinCrashes {
		d.crash(fmt.Sprint("e", i), "a x")
	}
	for i := range 2000 {
		d.crash(fmt.Sprint("f", i), fmt.Sprint("b", i))
	}
	c.Check(d.isolated("a x"), qt.Equals, "x")
	d.now += isolator.CrashTTL
	d.Sweep()
	c.Check(d.isolated("a x"), qt.Equals, "")
}

// TestPartNames checks that a part's id can't be taken for the key of a request.
func TestPartNames(t *testing.T) {
	c := qt.New(t)
	d := newDaemon()
	key := isolator.RequestKey("/a", "team", nil)
	for i := range 5 {
		h := &samphireturn.Host{ID: fmt.Sprint("e", i)}
		parts := isolator.PartKeys([]samphireturn.PromptPart{{ID: string(key)}, {ID: "own"}})
		a := d.Expect(h, append([]isolator.Key{isolator.RequestKey(fmt.Sprint(i), "other", nil)}, parts...))
		a.Begin()
		a.Lose()
		d.recordCrash(h)
	}
	c.Check(d.Isolated([]isolator.Key{key}) == 0, qt.IsTrue)
}

// tell exchanges what two daemons lack of each other, some time on the way.
func tell(from, to *daemon, since uint64, transit time.Duration) uint64 {
	told, change := from.Since(since)
	for _, d := range []*daemon{from, to} {
		d.now += transit
	}
	to.Add(told)
	return change
}

// TestExchange has each of four daemons see one crash or success, and tell each other in any
// order and more than once: all isolate the same parts.
func TestExchange(t *testing.T) {
	tests := []struct {
		name, success, want string
	}{
		{"crashes", "", "x"},
		{"success", "a x", ""},
		{"success of the other part", "a b", "x"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var fleet []*daemon
			for range 4 {
				fleet = append(fleet, newDaemon())
			}
			for i, d := range fleet[:3] {
				d.crash(fmt.Sprint("e", i), "a x")
			}
			for _, d := range fleet {
				d.now += time.Second
			}
			if test.success != "" {
				fleet[3].succeed(test.success)
			}
			for round := range 3 {
				for i, d := range fleet {
					tell(d, fleet[(i+round+1)%len(fleet)], 0, time.Millisecond)
				}
			}
			for _, d := range fleet {
				c.Check(d.isolated("a b x"), qt.Equals, test.want)
			}
		})
	}
}

// TestSuccessAges has daemons tell each other a success in circles for longer than it counts:
// crashes after it isolate the part at all of them.
func TestSuccessAges(t *testing.T) {
	c := qt.New(t)
	fleet := []*daemon{newDaemon(), newDaemon(), newDaemon()}
	fleet[0].succeed("x")
	for _, d := range fleet {
		d.crash("e0", "x")
	}
	for range 100 {
		for i, d := range fleet {
			tell(d, fleet[(i+1)%len(fleet)], 0, 20*time.Millisecond)
		}
	}
	for i := range isolator.MinCrashes {
		fleet[0].crash(fmt.Sprint("e", i+1), "x")
		for _, d := range fleet {
			d.now += time.Second
		}
	}
	tell(fleet[0], fleet[1], 0, 0)
	for _, d := range fleet {
		d.Sweep()
	}
	for _, d := range fleet[:2] {
		c.Check(d.isolated("x"), qt.Equals, "x")
	}
}

// TestBounds checks that neither callers nor peers make the state grow without bound.
func TestBounds(t *testing.T) {
	c := qt.New(t)
	long := strings.Repeat("f", 100)
	d := newDaemon()
	for i := range 10000 {
		d.succeed(fmt.Sprintf("%s%d b%d", long, i, i))
	}
	for i := range 1000 {
		d.crash(fmt.Sprint("e", i), fmt.Sprintf("%s%d b%d", long, i, i))
	}
	d.crash("e", strings.TrimSuffix(strings.Repeat("p ", 200), " "))
	told, _ := d.Since(0)
	c.Check(len(told.Crashes), qt.Equals, 512)
	for _, told := range told.Crashes {
		c.Check(len(told.Keys) <= 17, qt.IsTrue)
		c.Check(slices.ContainsFunc(told.Keys, func(k isolator.Key) bool { return len(k) > 32 }), qt.IsFalse)
	}
	c.Check(len(told.Successes) <= 4096, qt.IsTrue)
	peer := newDaemon()
	for i := range isolator.MinCrashes {
		id := uint64(10 * (i + 1))
		endpoint := fmt.Sprint("e", i)
		peer.Add(isolator.Observations{Crashes: []isolator.Crash{
			{ID: id, Endpoint: endpoint, Keys: keysOf("x"), Age: -1},
			{ID: id + 1, Endpoint: endpoint, Keys: keysOf("x"), Age: isolator.CrashTTL.Microseconds()},
			{ID: id + 2, Endpoint: endpoint, Keys: append(keysOf("x"), isolator.Key(long))},
			{ID: id + 3, Endpoint: endpoint, Keys: slices.Repeat(keysOf("x"), 18)},
		}})
	}
	c.Check(peer.isolated("x"), qt.Equals, "")
}

// TestPartialView guards against the isolation of a sound part by a daemon that has not heard yet
// what else was in flight at the crashes that it saw.
func TestPartialView(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name     string
		hasPeers bool
		crashes  int
		// wait is the time after the last crash, and told is true if a peer tells meanwhile that
		// the endpoints were running requests with the part x.
		wait time.Duration
		told bool
		want string
	}{
		{"no peers", false, 3, 0, false, "b"},
		{"peers may know more", true, 3, 0, false, ""},
		{"a peer knows more", true, 3, time.Second, true, "x"},
		{"peers know no more", true, 3, time.Second, false, "b"},
		{"five crashes, peers may know more", true, 5, 0, false, ""},
		{"five crashes, peers know no more", true, 5, 800 * time.Millisecond, false, "b"},
		{"five crashes, no peers", false, 5, 0, false, "b"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d, peer := newDaemon(), newDaemon()
			d.HasPeers = func() bool { return test.hasPeers }
			for i := range test.crashes + 1 {
				endpoint := fmt.Sprint("e", i)
				if i < test.crashes {
					d.now += s / 10
					d.crash(endpoint, "b")
				}
				peer.now = d.now
				peer.crash(endpoint, "x")
			}
			d.now += test.wait
			if test.told {
				told, _ := peer.Since(0)
				d.Add(told)
			}
			d.Sweep()
			c.Check(d.isolated("b x"), qt.Equals, test.want)
		})
	}
}

// TestUndecided guards against crashes that are forgotten because no daemon can tell them from a cut of
// the network at first: what was in flight counts once any daemon confirms the crash, and
// nothing is isolated before.
func TestUndecided(t *testing.T) {
	const (
		confirmedHere = iota
		confirmedByPeer
		confirmedLate
		notConfirmed
	)
	tests := []struct {
		name      string
		confirmed int
		want      string
	}{
		{"confirmed here", confirmedHere, "x"},
		{"confirmed by a peer that saw another request", confirmedByPeer, "x"},
		{"confirmed after it was dropped", confirmedLate, ""},
		{"not confirmed", notConfirmed, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d, peer := newDaemon(), newDaemon()
			for _, one := range []*daemon{d, peer} {
				one.HasPeers = func() bool { return true }
			}
			var endpoints []*samphireturn.Host
			for i := range isolator.MinCrashes {
				h := &samphireturn.Host{ID: fmt.Sprint("e", i)}
				endpoints = append(endpoints, h)
				d.expect(h, "a x").Lose()
				peer.expect(h, "a b").Lose()
				for _, one := range []*daemon{d, peer} {
					c.Assert(one.StartCheck(h), qt.IsTrue)
					one.Undecided(h)
					one.now += time.Second
				}
			}
			tell(d, peer, 0, time.Millisecond)
			c.Check(d.isolated("a b x")+peer.isolated("a b x"), qt.Equals, "")
			if test.confirmed == confirmedLate {
				d.now, peer.now = d.now+10*time.Second, peer.now+10*time.Second
				d.Sweep()
				peer.Sweep()
			}
			for _, h := range endpoints {
				switch test.confirmed {
				case confirmedHere:
					d.FinishCheck(h, true)
				case confirmedByPeer, confirmedLate:
					peer.FinishCheck(h, true)
				}
			}
			tell(peer, d, 0, time.Millisecond)
			tell(d, peer, 0, time.Millisecond)
			for _, one := range []*daemon{d, peer} {
				one.now += 2 * time.Second
				one.Sweep()
				c.Check(one.isolated("a b x"), qt.Equals, test.want)
			}
		})
	}
}

// TestDoubted guards against crashes that are forgotten because a daemon found the endpoint alive: its
// address may accept connections for a moment after the crash. Another daemon that finds it gone knows better.
func TestDoubted(t *testing.T) {
	tests := []struct {
		name string
		// later is the time from the answer that a daemon lost to the one that its peer lost.
		later time.Duration
		want  string
	}{
		{"at once", 0, "x"},
		{"a moment later", 200 * time.Millisecond, "x"},
		{"another crash", time.Second, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d, peer := newDaemon(), newDaemon()
			for i := range isolator.MinCrashes {
				h := &samphireturn.Host{ID: fmt.Sprint("e", i)}
				d.expect(h, "x").Lose()
				_, before := d.Since(0)
				c.Assert(d.StartCheck(h), qt.IsTrue)
				d.FinishCheck(h, false)
				_, after := d.Since(0)
				c.Check(after, qt.Equals, before)
				peer.now += test.later
				d.now += test.later
				peer.crash(h.ID, fmt.Sprint("b", i))
				tell(peer, d, 0, time.Millisecond)
				tell(d, peer, 0, time.Millisecond)
				d.now += 5 * time.Second
				peer.now += 5 * time.Second
			}
			for _, one := range []*daemon{d, peer} {
				one.Sweep()
				c.Check(one.isolated("x b0 b1 b2"), qt.Equals, test.want)
			}
		})
	}
}

// TestLateObservations guards against keys that a daemon isolates by the observations of the first
// peer that it hears after a start: those of the others are still on their way. What a peer
// isolates that had them all is isolated at once.
func TestLateObservations(t *testing.T) {
	c := qt.New(t)
	first, second, started := newDaemon(), newDaemon(), newDaemon()
	first.HasPeers = func() bool { return true }
	started.HasPeers = first.HasPeers
	for i := range isolator.MinCrashes {
		first.crash(fmt.Sprint("e", i), "b")
		second.crash(fmt.Sprint("e", i), "x")
	}
	for _, d := range []*daemon{first, second, started} {
		d.now += time.Minute
	}
	tell(first, started, 0, 0)
	started.Sweep()
	c.Check(started.isolated("b x"), qt.Equals, "")
	tell(second, started, 0, 0)
	c.Check(started.isolated("b x"), qt.Equals, "x")
}

// TestProgress guards against an answer that counts as a success before the endpoint survived what
// crashes others, and against long streams that never do.
func TestProgress(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		// ran is the time from the head to each of two crashes, and lives that of a stream that goes
		// on then. A third crash follows.
		ran, lives time.Duration
		want       string
	}{
		{"as long as before a crash", 100 * ms, 200 * ms, "x"},
		{"longer", 100 * ms, 1300 * ms, ""},
		{"crash late in the answer", 1000 * ms, 1300 * ms, "x"},
		{"longer than before a late crash", 1000 * ms, 4100 * ms, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := newDaemon()
			crashAfter := func(endpoint string) {
				h := &samphireturn.Host{ID: endpoint}
				a := d.expect(h, "x")
				d.now += test.ran
				a.Lose()
				d.recordCrash(h)
			}
			crashAfter("e1")
			crashAfter("e2")
			a := d.expect(&samphireturn.Host{ID: "e4"}, "x")
			d.now += test.lives
			a.Progress()
			crashAfter("e3")
			c.Check(d.isolated("x"), qt.Equals, test.want)
		})
	}
}
