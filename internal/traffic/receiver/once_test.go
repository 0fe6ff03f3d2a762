package receiver_test

import (
	"context"
	"encoding/json"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/standin/booker"
	"samphireturn/internal/standin/generator"
	"samphireturn/internal/standin/injector"
	"samphireturn/internal/standin/keeper"
	"samphireturn/internal/standin/starter"
)

const (
	onceBearer = "Bearer counter-key"
	onceSettle = 8 * time.Second // time for listings, reports and links to settle
	onceWork   = time.Second     // duration of a booking
)

// onceSite is a small installation: the daemons entry1 and entry2 in north and
// entry3 in south, an engine in each, and a booking service in north.
type onceSite struct {
	*qt.C
	*starter.Starter
	daemons []*starter.Daemon
	tickets *booker.Booker
	engine  *generator.Generator
}

// callResult is the part of an answer that the tests check. Run is "lost" if the
// caller got no answer.
type callResult struct {
	status int
	run    string
	// id is the request's id, token its session token, and version what served it.
	id, token, version string
	body               string
}

// withSite runs f on a new onceSite under fake time.
func withSite(t *testing.T, f func(s *onceSite)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		config, err := os.ReadFile("../../../examples/config.toml")
		c.Assert(err, qt.IsNil)
		base, err := starter.New()
		c.Assert(err, qt.IsNil)
		s := &onceSite{C: c, Starter: base}
		_, err = s.Apply(t.Context(), string(config))
		c.Assert(err, qt.IsNil)
		s.tickets = &booker.Booker{ID: "tickets1", Incarnation: 1, Budget: 8, WorkTime: onceWork}
		c.Assert(s.Service("north", "tickets", s.tickets), qt.IsNil)
		s.engine = &generator.Generator{ID: "engine1", Incarnation: 1, Versions: []string{"small@v1", "small@v2", "small@v3", "small@v4", "large@v1"}}
		c.Assert(s.Engine("north", s.engine), qt.IsNil)
		c.Assert(s.Engine("south", &generator.Generator{ID: "engine2", Incarnation: 1, Versions: []string{"small@v1", "small@v2", "small@v3", "small@v4", "large@v1"}}), qt.IsNil)
		for _, d := range []struct{ id, centre string }{{"entry1", "north"}, {"entry2", "north"}, {"entry3", "south"}} {
			daemon, err := s.Daemon(context.Background(), d.id, d.centre)
			c.Assert(err, qt.IsNil)
			s.daemons = append(s.daemons, daemon)
		}
		time.Sleep(onceSettle)
		f(s)
		s.heal()
		c.Check(s.Close(), qt.IsNil)
	})
}

// heal ends the faults of the network and the platform.
func (s *onceSite) heal() {
	s.Network.Partition(nil)
	s.Objects.SetFaults(keeper.Faults{})
}

// send sends a request to daemon n.
func (s *onceSite) send(n int, path, body string, header ...string) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	header = append([]string{"Authorization", onceBearer, "Samphire-Deadline", "10"}, header...)
	status, h, answer, err := s.daemons[n].Do(ctx, "POST", path, body, header...)
	if err != nil {
		return callResult{run: "lost"}
	}
	got := callResult{
		status: status, run: "yes", body: answer,
		id: h.Get("Samphire-Request"), token: h.Get("Samphire-Session"), version: h.Get("Samphire-Version"),
	}
	var refused struct {
		Error struct {
			Run string `json:"run"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(answer), &refused) == nil && refused.Error.Run != "" {
		got.run = refused.Error.Run
	}
	return got
}

// book sends a booking to daemon n with an idempotency key or an issued id.
func (s *onceSite) book(n int, header, value string) callResult {
	return s.send(n, "/v1/services/tickets/bookings", "{}", header, value)
}

// isolate cuts all connections of daemon n, as if its process were killed.
func (s *onceSite) isolate(n int) { s.Network.Partition(s.daemons[n].Involves) }

// TestFaultOnce injects each fault before, during and after a booking at entry1. The
// caller repeats the booking at entry2 and entry3 while the fault lasts, and at all
// three once it is over. The service must run the booking at most once, and a
// caller who is answered "yes" must receive the answer of that one booking.
func TestFaultOnce(t *testing.T) {
	const (
		before = "before"
		during = "during"
		after  = "after"
	)
	none := func(*onceSite) {}
	kill := func(s *onceSite) { s.isolate(0) }
	pause := func(s *onceSite) { s.Network.BlackholeOpen(s.daemons[0].Involves) }
	down := func(s *onceSite) { s.Objects.SetFaults(keeper.Faults{Down: true}) }
	slow := func(s *onceSite) { s.Objects.SetFaults(keeper.Faults{Delay: 800 * time.Millisecond}) }
	dropReplies := func(s *onceSite) { s.Objects.SetFaults(keeper.Faults{DropReplies: 3}) }
	partitionPlatform := func(s *onceSite) {
		s.Network.Partition(func(from, to string) bool { return from == "entry1" && to == starter.PlatformAddr })
	}
	partitionCentres := func(s *onceSite) {
		s.Network.Partition(func(from, to string) bool {
			return (from == "entry3") != (to == "entry3:80" || to == "entry3:90") && to != starter.PlatformAddr && from != "caller"
		})
	}
	refuse := func(s *onceSite) { s.tickets.Injector.Set(injector.Faults{Refuse: 1}) }
	reset := func(s *onceSite) { s.tickets.Injector.Set(injector.Faults{ResetAfter: 1}) }
	both := func(f, g func(*onceSite)) func(*onceSite) { return func(s *onceSite) { f(s); g(s) } }
	tests := []struct {
		step, name string
		fault      func(*onceSite)
		// The values of "run" by idempotency key and by issued id: of the first request,
		// of entry2's repeat while the fault lasts, and of its repeat afterwards.
		key, id [3]string
	}{
		{before, "none", none, [3]string{"yes", "yes", "yes"}, [3]string{"yes", "yes", "yes"}},
		{before, "killed", kill, [3]string{"lost", "yes", "yes"}, [3]string{"lost", "unknown", "yes"}},
		{before, "platform down", down, [3]string{"no", "no", "yes"}, [3]string{"yes", "yes", "yes"}},
		{before, "platform slow", slow, [3]string{"yes", "yes", "yes"}, [3]string{"yes", "yes", "yes"}},
		{before, "answers dropped", dropReplies, [3]string{"yes", "yes", "yes"}, [3]string{"yes", "yes", "yes"}},
		{before, "partitioned from platform", partitionPlatform, [3]string{"yes", "yes", "yes"}, [3]string{"yes", "yes", "yes"}},
		{before, "centres partitioned", partitionCentres, [3]string{"yes", "yes", "yes"}, [3]string{"yes", "yes", "yes"}},
		{before, "service refuses", refuse, [3]string{"no", "no", "yes"}, [3]string{"no", "no", "yes"}},
		{before, "service resets connection", reset, [3]string{"unknown", "unknown", "unknown"}, [3]string{"unknown", "unknown", "unknown"}},
		{before, "service refuses, answers dropped", both(refuse, dropReplies), [3]string{"no", "no", "yes"}, [3]string{"no", "no", "yes"}},
		{during, "killed", kill, [3]string{"lost", "unknown", "unknown"}, [3]string{"lost", "unknown", "unknown"}},
		{during, "paused", pause, [3]string{"lost", "unknown", "unknown"}, [3]string{"lost", "unknown", "unknown"}},
		{during, "platform down", down, [3]string{"yes", "no", "yes"}, [3]string{"yes", "yes", "yes"}},
		{during, "killed, platform down", both(down, kill), [3]string{"lost", "no", "unknown"}, [3]string{"lost", "unknown", "unknown"}},
		{after, "killed", kill, [3]string{"yes", "yes", "yes"}, [3]string{"yes", "unknown", "yes"}},
		{after, "platform down", down, [3]string{"yes", "yes", "yes"}, [3]string{"yes", "yes", "yes"}},
	}
	for _, tt := range tests {
		for _, by := range []string{"Idempotency-Key", "Samphire-Request"} {
			t.Run(tt.step+"/"+tt.name+"/"+by, func(t *testing.T) {
				withSite(t, func(s *onceSite) {
					value, want := "lantern-7", tt.key
					if by == "Samphire-Request" {
						value, want = s.issueID(0), tt.id
					}
					if tt.step == before {
						tt.fault(s)
					}
					first := make(chan callResult, 1)
					go func() { first <- s.book(0, by, value) }()
					time.Sleep(onceWork / 2)
					if tt.step == during {
						tt.fault(s)
					}
					firstAnswer := <-first
					time.Sleep(3 * time.Second)
					if tt.step == after {
						tt.fault(s)
					}
					got := [3]string{firstAnswer.run, s.book(1, by, value).run}
					s.book(2, by, value)
					s.heal()
					s.tickets.Injector.Set(injector.Faults{})
					time.Sleep(onceSettle)
					last := s.book(1, by, value)
					got[2] = last.run
					s.book(0, by, value)
					s.book(2, by, value)
					s.Check(got, qt.Equals, want, qt.Commentf("%+v", firstAnswer))
					s.Check(s.tickets.Bookings() <= 1, qt.IsTrue, qt.Commentf("%d bookings", s.tickets.Bookings()))
					s.Check(last.run != "yes" || s.tickets.Bookings() == 1, qt.IsTrue)
				})
			})
		}
	}
}

// issueID returns a request id issued by daemon n.
func (s *onceSite) issueID(n int) string {
	var out struct {
		IDs []string `json:"ids"`
	}
	s.Assert(json.Unmarshal([]byte(s.send(n, "/v1/ids", "").body), &out), qt.IsNil)
	return out.IDs[0]
}

// TestFaultOnceTogether guards against a booking that runs twice when it is sent to
// all daemons at the same time, with and without dropped answers of the platform.
func TestFaultOnceTogether(t *testing.T) {
	for _, dropped := range []int{0, 1, 5} {
		for _, by := range []string{"Idempotency-Key", "Samphire-Request"} {
			withSite(t, func(s *onceSite) {
				value := "lantern-8"
				if by == "Samphire-Request" {
					value = s.issueID(0)
				}
				s.Objects.SetFaults(keeper.Faults{DropReplies: dropped})
				answers := make(chan callResult, 9)
				for n := range 9 {
					go func() { answers <- s.book(n%3, by, value) }()
				}
				for range 9 {
					got := <-answers
					s.Check(got.run == "yes" || got.run == "unknown", qt.IsTrue, qt.Commentf("%+v", got))
				}
				s.Check(s.tickets.Bookings(), qt.Equals, 1)
			})
		}
	}
}

// TestFaultOnceCallerGone guards against losing the outcome of a booking whose
// caller leaves while it runs: the repeat must find it.
func TestFaultOnceCallerGone(t *testing.T) {
	for _, by := range []string{"Idempotency-Key", "Samphire-Request"} {
		withSite(t, func(s *onceSite) {
			value := "lantern-9"
			if by == "Samphire-Request" {
				value = s.issueID(0)
			}
			ctx, cancel := context.WithTimeout(context.Background(), onceWork/2)
			defer cancel()
			_, _, _, err := s.daemons[0].Do(ctx, "POST", "/v1/services/tickets/bookings", "{}", "Authorization", onceBearer, by, value)
			s.Check(err, qt.IsNotNil)
			time.Sleep(3 * time.Second)
			s.Check(s.book(1, by, value).run, qt.Equals, "yes")
			s.Check(s.tickets.Bookings(), qt.Equals, 1)
		})
	}
}
