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
	onceSettle = 8 * time.Second // time for lists, reports and links to settle
	onceWork   = time.Second     // time that a booking takes
)

// place is a small installation: entry1 and entry2 in north, entry3 in south, and
// a booking service in north.
type place struct {
	*qt.C
	*starter.Starter
	daemons []*starter.Daemon
	tickets *booker.Booker
	engine  *generator.Generator
}

// said is what a caller was told.
type said struct {
	status int
	run    string
	// id names the request, token its session, version what served it.
	id, token, version string
	body               string
}

// open runs f at a fresh place on fake time.
func open(t *testing.T, f func(s *place)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		config, err := os.ReadFile("../../../examples/config.toml")
		c.Assert(err, qt.IsNil)
		base, err := starter.New()
		c.Assert(err, qt.IsNil)
		s := &place{C: c, Starter: base}
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

// heal ends the faults of network and platform.
func (s *place) heal() {
	s.Network.Partition(nil)
	s.Objects.SetFaults(keeper.Faults{})
}

// send sends a request to the daemon with the number.
func (s *place) send(n int, path, body string, header ...string) said {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	header = append([]string{"Authorization", onceBearer, "Samphire-Deadline", "10"}, header...)
	status, h, answer, err := s.daemons[n].Do(ctx, "POST", path, body, header...)
	if err != nil {
		return said{run: "lost"}
	}
	got := said{
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

// book books by an Idempotency-Key or a minted id.
func (s *place) book(n int, header, value string) said {
	return s.send(n, "/v1/services/tickets/bookings", "{}", header, value)
}

// isolate cuts a daemon off from all, as a kill does.
func (s *place) isolate(n int) { s.Network.Partition(s.daemons[n].Involves) }

// TestFaultOnce meets each step of a booking at entry1 with each fault. The
// caller repeats it at entry2 and entry3 while the fault lasts, and at all three
// when it is over. The service runs it once at most; who is told yes is told of
// the one booking.
func TestFaultOnce(t *testing.T) {
	const (
		before = "before"
		during = "during"
		after  = "after"
	)
	none := func(*place) {}
	kill := func(s *place) { s.isolate(0) }
	pause := func(s *place) { s.Network.BlackholeOpen(s.daemons[0].Involves) }
	down := func(s *place) { s.Objects.SetFaults(keeper.Faults{Down: true}) }
	slow := func(s *place) { s.Objects.SetFaults(keeper.Faults{Delay: 800 * time.Millisecond}) }
	lose := func(s *place) { s.Objects.SetFaults(keeper.Faults{DropReplies: 3}) }
	offline := func(s *place) {
		s.Network.Partition(func(from, to string) bool { return from == "entry1" && to == starter.PlatformAddr })
	}
	split := func(s *place) {
		s.Network.Partition(func(from, to string) bool {
			return (from == "entry3") != (to == "entry3:80" || to == "entry3:90") && to != starter.PlatformAddr && from != "caller"
		})
	}
	refuse := func(s *place) { s.tickets.Injector.Set(injector.Faults{Refuse: 1}) }
	reset := func(s *place) { s.tickets.Injector.Set(injector.Faults{ResetAfter: 1}) }
	both := func(f, g func(*place)) func(*place) { return func(s *place) { f(s); g(s) } }
	tests := []struct {
		step, name string
		fault      func(*place)
		// by key and by minted id: what the first caller is told, then entry2's
		// while the fault lasts, then entry2's when it is over.
		key, id [3]string
	}{
		{before, "none", none, [3]string{"yes", "yes", "yes"}, [3]string{"yes", "yes", "yes"}},
		{before, "killed", kill, [3]string{"lost", "yes", "yes"}, [3]string{"lost", "unknown", "yes"}},
		{before, "platform down", down, [3]string{"no", "no", "yes"}, [3]string{"yes", "yes", "yes"}},
		{before, "platform slow", slow, [3]string{"yes", "yes", "yes"}, [3]string{"yes", "yes", "yes"}},
		{before, "answers lost", lose, [3]string{"yes", "yes", "yes"}, [3]string{"yes", "yes", "yes"}},
		{before, "cut from platform", offline, [3]string{"yes", "yes", "yes"}, [3]string{"yes", "yes", "yes"}},
		{before, "centres cut", split, [3]string{"yes", "yes", "yes"}, [3]string{"yes", "yes", "yes"}},
		{before, "service refuses", refuse, [3]string{"no", "no", "yes"}, [3]string{"no", "no", "yes"}},
		{before, "service breaks off", reset, [3]string{"unknown", "unknown", "unknown"}, [3]string{"unknown", "unknown", "unknown"}},
		{before, "service refuses, answers lost", both(refuse, lose), [3]string{"no", "no", "yes"}, [3]string{"no", "no", "yes"}},
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
				open(t, func(s *place) {
					value, want := "lantern-7", tt.key
					if by == "Samphire-Request" {
						value, want = s.mint(0), tt.id
					}
					if tt.step == before {
						tt.fault(s)
					}
					first := make(chan said, 1)
					go func() { first <- s.book(0, by, value) }()
					time.Sleep(onceWork / 2)
					if tt.step == during {
						tt.fault(s)
					}
					told := <-first
					time.Sleep(3 * time.Second)
					if tt.step == after {
						tt.fault(s)
					}
					got := [3]string{told.run, s.book(1, by, value).run}
					s.book(2, by, value)
					s.heal()
					s.tickets.Injector.Set(injector.Faults{})
					time.Sleep(onceSettle)
					last := s.book(1, by, value)
					got[2] = last.run
					s.book(0, by, value)
					s.book(2, by, value)
					s.Check(got, qt.Equals, want, qt.Commentf("%+v", told))
					s.Check(s.tickets.Bookings() <= 1, qt.IsTrue, qt.Commentf("%d bookings", s.tickets.Bookings()))
					s.Check(last.run != "yes" || s.tickets.Bookings() == 1, qt.IsTrue)
				})
			})
		}
	}
}

// mint returns a request id of the daemon with the number.
func (s *place) mint(n int) string {
	var out struct {
		IDs []string `json:"ids"`
	}
	s.Assert(json.Unmarshal([]byte(s.send(n, "/v1/ids", "").body), &out), qt.IsNil)
	return out.IDs[0]
}

// TestFaultOnceTogether sends one booking to all daemons at the same time, with
// the platform's answers lost and without.
func TestFaultOnceTogether(t *testing.T) {
	for _, lose := range []int{0, 1, 5} {
		for _, by := range []string{"Idempotency-Key", "Samphire-Request"} {
			open(t, func(s *place) {
				value := "lantern-8"
				if by == "Samphire-Request" {
					value = s.mint(0)
				}
				s.Objects.SetFaults(keeper.Faults{DropReplies: lose})
				answers := make(chan said, 9)
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

// TestFaultOnceCallerGone lets the caller leave while the booking runs. The
// repeat finds the outcome.
func TestFaultOnceCallerGone(t *testing.T) {
	for _, by := range []string{"Idempotency-Key", "Samphire-Request"} {
		open(t, func(s *place) {
			value := "lantern-9"
			if by == "Samphire-Request" {
				value = s.mint(0)
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
