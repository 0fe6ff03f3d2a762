package assembler_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/core/assembler"
	"samphireturn/internal/core/kernel"
	"samphireturn/internal/fleet/announcer"
	"samphireturn/internal/ledger/auditor"
	"samphireturn/internal/standin/keeper"
	"samphireturn/internal/standin/starter"
)

const (
	shutdownDelay = time.Second
	longBody      = `{"model":"small","messages":[{"role":"user","content":"hi"}],"max_tokens":400`
	shortBody     = `{"model":"small","messages":[{"role":"user","content":"hi"}],"max_tokens":4}`
)

// result is the response to a request, or its error.
type result struct {
	status    int
	body      string
	err       error
	connClose bool
}

// sendChat sends a chat request in the background and delivers the result on the channel.
func sendChat(d *starter.Daemon, body string) chan result {
	done := make(chan result, 1)
	go func() {
		status, header, text, err := d.Do(context.Background(), "POST", "/v1/chat/completions", body, "Authorization", bearer)
		done <- result{status, text, err, strings.EqualFold(header.Get("Connection"), "close")}
	}()
	return done
}

// endpointsByHome returns the number of endpoints of each home in the daemon's snapshot.
func endpointsByHome(d *starter.Daemon) map[string]int {
	n := make(map[string]int)
	for _, e := range d.Kernel.Snapshot().Endpoints {
		n[e.Home]++
	}
	return n
}

// TestFaultShutdownCutsNothing shuts a daemon down with requests in flight, also while
// the platform or the peers fail: each request is answered completely, one that comes
// during the shutdown delay too, and the usage of all is billed once.
func TestFaultShutdownCutsNothing(t *testing.T) {
	tests := []struct {
		name  string
		fault func(s *starter.Starter, d *starter.Daemon)
		// usageDelayed is true if only other daemons can write the usage to the
		// platform.
		usageDelayed bool
	}{
		{"no fault", func(*starter.Starter, *starter.Daemon) {}, false},
		{"platform slow", func(s *starter.Starter, _ *starter.Daemon) { s.Objects.SetFaults(keeper.Faults{Delay: time.Second}) }, false},
		{"platform down", func(s *starter.Starter, _ *starter.Daemon) { s.Objects.SetFaults(keeper.Faults{Down: true}) }, true},
		{"answer of the usage's write lost", func(s *starter.Starter, _ *starter.Daemon) { s.Objects.SetFaults(keeper.Faults{DropReplies: 3}) }, false},
		{"cut off from peers", func(s *starter.Starter, d *starter.Daemon) {
			s.Network.Partition(func(from, to string) bool { return d.Involves(from, to) && (strings.HasSuffix(to, ":90")) })
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s, daemons := installWith(t, c, shutdownDelay)
				d := daemons[0]
				var running []chan result
				for range 3 {
					running = append(running, sendChat(d, longBody+`,"stream":true}`), sendChat(d, longBody+`}`))
				}
				time.Sleep(500 * time.Millisecond)
				synctest.Wait()
				tt.fault(s, d)
				closed := make(chan error, 1)
				go func() { closed <- d.Close() }()
				time.Sleep(shutdownDelay / 3)
				status, _, _, err := d.Do(context.Background(), "GET", "/readyz", "")
				c.Check(err, qt.IsNil)
				c.Check(status, qt.Equals, http.StatusServiceUnavailable)
				newRequest := <-sendChat(d, shortBody)
				c.Check(newRequest.err, qt.IsNil)
				c.Check(newRequest.status, qt.Equals, http.StatusOK, qt.Commentf("%s", newRequest.body))
				time.Sleep(shutdownDelay)
				synctest.Wait()
				c.Check(len(running[0])+len(running[1]), qt.Equals, 0, qt.Commentf("the requests must outlast the shutdown delay"))
				err = <-closed
				c.Check(err == nil || tt.usageDelayed, qt.IsTrue, qt.Commentf("%v", err))
				for i, done := range running {
					r := <-done
					c.Check(r.err, qt.IsNil)
					c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
					end := map[bool]string{true: "data: [DONE]", false: "completion_tokens"}[i%2 == 0]
					c.Check(r.body, qt.Contains, end)
				}
				_, _, _, err = d.Do(context.Background(), "GET", "/livez", "")
				c.Check(err, qt.Not(qt.IsNil))
				s.Network.Partition(nil)
				s.Objects.SetFaults(keeper.Faults{})
				if tt.usageDelayed {
					time.Sleep(2 * time.Minute) // another daemon writes its copies once they are a minute old
				}
				c.Check(billedRequests(c, s), qt.Equals, len(running)+1)
				c.Check(s.Close(), qt.IsNil)
			})
		})
	}
}

// billedRequests counts the requests whose usage the platform has.
func billedRequests(c *qt.C, s *starter.Starter) int {
	a, err := auditor.Read(context.Background(), s.Objects)
	c.Assert(err, qt.IsNil)
	return a.Total.Requests
}

// TestFaultShutdownHomes makes a daemon leave that is the home of endpoints: within the
// bound, another daemon no longer has it as the home of any.
func TestFaultShutdownHomes(t *testing.T) {
	tests := []struct {
		name  string
		leave func(s *starter.Starter, d *starter.Daemon)
		bound time.Duration
	}{
		{"graceful", func(_ *starter.Starter, d *starter.Daemon) { go func() { _ = d.Close() }() }, 600 * time.Millisecond},
		{"killed", func(s *starter.Starter, d *starter.Daemon) { s.Network.Partition(d.Involves) }, 600 * time.Millisecond},
		{"unresponsive", func(s *starter.Starter, d *starter.Daemon) {
			s.Network.Blackhole(d.Involves)
		}, 5 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s, daemons := installWith(t, c, time.Minute)
				leaving, other := daemons[0], daemons[1]
				if endpointsByHome(other)[leaving.VM.ID] == 0 {
					leaving, other = other, leaving
				}
				c.Assert(endpointsByHome(other)[leaving.VM.ID] > 0, qt.IsTrue)
				tt.leave(s, leaving)
				began := time.Now()
				for endpointsByHome(other)[leaving.VM.ID] > 0 && time.Since(began) < tt.bound {
					time.Sleep(50 * time.Millisecond)
					synctest.Wait()
				}
				c.Check(endpointsByHome(other)[leaving.VM.ID], qt.Equals, 0, qt.Commentf("after %s", time.Since(began)))
				t.Logf("homes moved within %s", time.Since(began))
				s.Network.Partition(nil)
				s.Network.Blackhole(nil)
				time.Sleep(2 * time.Minute)
				c.Check(s.Close(), qt.IsNil)
			})
		})
	}
}

// TestFaultShutdownKeepsServing checks that a daemon serves throughout a shutdown delay
// that outlasts its lists, reports and grants, that it announces the closing of kept
// connections, and that the others forget its leave notice after announcer.NoticeTTL.
func TestFaultShutdownKeepsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, daemons := installWith(t, c, time.Minute)
		d := daemons[0]
		conn, err := s.Network.Dial("caller")(context.Background(), "tcp", d.VM.Addr)
		c.Assert(err, qt.IsNil)
		client := &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil }}}
		get := func() bool {
			res, err := client.Get("http://" + d.VM.Addr + "/livez")
			c.Assert(err, qt.IsNil)
			_, _ = io.Copy(io.Discard, res.Body)
			_ = res.Body.Close()
			return res.Close
		}
		c.Check(get(), qt.IsFalse)
		closed := make(chan error, 1)
		go func() { closed <- d.Close() }()
		time.Sleep(30 * time.Second) // longer than lists, reports and grants are valid
		a, err := kernel.Find[*announcer.Announcer](daemons[2].Kernel, assembler.Announcer)
		c.Assert(err, qt.IsNil)
		c.Check(a.IsLeaving(d.VM.ID), qt.IsTrue)
		c.Check(a.ExcludeLeaving([]samphireturn.VM{d.VM, daemons[1].VM}), qt.DeepEquals, []samphireturn.VM{daemons[1].VM})
		r := <-sendChat(d, shortBody)
		c.Check(r.err, qt.IsNil)
		c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
		c.Check(get(), qt.IsTrue, qt.Commentf("the answer must announce that the connection is closed"))
		c.Check(<-closed, qt.IsNil)
		time.Sleep(announcer.NoticeTTL)
		c.Check(a.IsLeaving(d.VM.ID), qt.IsFalse)
		c.Check(s.Close(), qt.IsNil)
	})
}

// TestFaultShutdownKilled checks the effects of a killed daemon: its requests in flight
// end in an error, never in an answer that looks complete, and other daemons continue to
// serve.
func TestFaultShutdownKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, daemons := installWith(t, c, 0)
		stream, whole := sendChat(daemons[0], longBody+`,"stream":true}`), sendChat(daemons[0], longBody+`}`)
		time.Sleep(500 * time.Millisecond)
		s.Network.Partition(daemons[0].Involves)
		for _, done := range []chan result{stream, whole} {
			r := <-done
			c.Check(r.err, qt.Not(qt.IsNil))
			c.Check(strings.Contains(r.body, "[DONE]"), qt.IsFalse)
		}
		// A new home waits until the grants of the killed one have expired. Requests
		// are queued meanwhile.
		longest := time.Duration(0)
		for range 40 {
			began := time.Now()
			r := <-sendChat(daemons[1], shortBody)
			longest = max(longest, time.Since(began))
			c.Check(r.err, qt.IsNil)
			c.Check(r.status, qt.Equals, http.StatusOK, qt.Commentf("%s", r.body))
			time.Sleep(250 * time.Millisecond)
		}
		t.Logf("longest answer after the kill: %s", longest)
		s.Network.Partition(nil)
		c.Check(s.Close(), qt.IsNil)
	})
}
