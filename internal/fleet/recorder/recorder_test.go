package recorder_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/fleet/recorder"
)

// daemon is a recorder with its control state, which events change at once.
type daemon struct {
	*recorder.Recorder
	snapshot samphireturn.Snapshot
}

func (d *daemon) Post(e samphireturn.Event)        { e.Apply(&d.snapshot) }
func (d *daemon) Snapshot() *samphireturn.Snapshot { return &d.snapshot }

func newDaemon(now *time.Duration) *daemon {
	d := new(daemon)
	d.Recorder = recorder.New(d, func() time.Duration { return *now }, zerolog.Nop())
	return d
}

// leaving reports whether the view says that an instance leaves.
func (d *daemon) leaving(h *samphireturn.Host) bool {
	return d.snapshot.View != nil && d.snapshot.View.Leaving(h)
}

// listing returns endpoints as a view lists them.
func listing(hosts ...*samphireturn.Host) map[string][]*samphireturn.Host {
	return map[string][]*samphireturn.Host{"app": hosts}
}

// TestLifetime checks when a departure is forgotten: not while its instance is listed, for
// however long, and not when it is listed again soon after; but once it was not listed for
// a while.
func TestLifetime(t *testing.T) {
	host := &samphireturn.Host{ID: "s1", Started: 1000}
	again := &samphireturn.Host{ID: "s1", Started: 2000}
	tests := []struct {
		name string
		// listed is what each view after the announcement lists, one second apart.
		listed func(second int) map[string][]*samphireturn.Host
		length int
		want   bool
	}{
		{"listed for an hour", func(int) map[string][]*samphireturn.Host { return listing(host) }, 3600, true},
		{"gone for a short time", func(int) map[string][]*samphireturn.Host { return listing() }, 59, true},
		{"gone", func(int) map[string][]*samphireturn.Host { return listing() }, 61, false},
		{"listed again by older views", func(second int) map[string][]*samphireturn.Host {
			if second%50 == 0 {
				return listing(host)
			}
			return listing()
		}, 149, true},
		{"started again", func(int) map[string][]*samphireturn.Host { return listing(again) }, 61, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Hour
			d := newDaemon(&now)
			d.Record(host)
			c.Check(d.leaving(host), qt.IsTrue)
			c.Check(d.leaving(again), qt.IsFalse)
			for second := range test.length {
				now += time.Second
				d.Retain(test.listed(second + 1))
			}
			c.Check(d.leaving(host), qt.Equals, test.want)
		})
	}
}

// TestCircle has daemons tell each other a departure in circles, by messages that take a
// while: it is forgotten by all about as soon as by one, and no later told by one to another.
func TestCircle(t *testing.T) {
	const (
		step, delay = 100 * time.Millisecond, 900 * time.Millisecond
		daemons     = 3
	)
	type message struct {
		at   time.Duration
		to   int
		told []recorder.Departure
	}
	c := qt.New(t)
	now := time.Hour
	host := &samphireturn.Host{ID: "s1", Started: 1000}
	var all []*daemon
	for range daemons {
		all = append(all, newDaemon(&now))
	}
	all[0].Record(host)
	var messages []message
	for now < time.Hour+2*recorder.TTL {
		now += step
		for len(messages) > 0 && messages[0].at <= now {
			all[messages[0].to].Add(messages[0].told)
			messages = messages[1:]
		}
		for i, d := range all {
			told, _ := d.Since(0)
			messages = append(messages, message{now + delay, (i + 1) % daemons, told})
			d.Retain(listing())
		}
		for i, d := range all {
			elapsed := now - time.Hour
			if elapsed > daemons*time.Second && elapsed < recorder.TTL-daemons*time.Second {
				c.Check(d.leaving(host), qt.IsTrue, qt.Commentf("daemon %d after %s", i, elapsed))
			}
			if elapsed > recorder.TTL+time.Second {
				c.Check(d.leaving(host), qt.IsFalse, qt.Commentf("daemon %d after %s", i, elapsed))
			}
		}
	}
}

// TestSince checks that a peer is told each departure once, and those that it can't use
// are left out.
func TestSince(t *testing.T) {
	c := qt.New(t)
	now := time.Hour
	d := newDaemon(&now)
	d.Record(&samphireturn.Host{ID: "s1", Started: 1000})
	told, change := d.Since(0)
	c.Check(told, qt.DeepEquals, []recorder.Departure{{ID: "s1", Started: 1000}})
	d.Record(&samphireturn.Host{ID: "s1", Started: 1000})
	told, change = d.Since(change)
	c.Check(told, qt.HasLen, 0)
	now += 2 * time.Second
	d.Record(&samphireturn.Host{ID: "s1", Started: 2000})
	d.Record(&samphireturn.Host{ID: "s1", Started: 1000})
	told, _ = d.Since(change)
	c.Check(told, qt.DeepEquals, []recorder.Departure{{ID: "s1", Started: 2000}})
	other := newDaemon(&now)
	other.Add([]recorder.Departure{{ID: "old", Age: recorder.TTL.Microseconds()}, {ID: "bad", Age: -1}})
	told, _ = other.Since(0)
	c.Check(told, qt.HasLen, 0)
}
