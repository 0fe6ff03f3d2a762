package follower

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
)

// restore brings the source back from a copy that older holds, in the next era.
func (s *source) restore(older *source) {
	era := s.version.Era + 1
	s.version = samphireturn.Revision{Era: era, Number: older.version.Number}
	s.hosts = make(map[string]samphireturn.Entry, len(older.hosts))
	for name, e := range older.hosts {
		e.Version.Era = era
		s.hosts[name] = e
	}
	s.history = nil
}

// copied returns a copy of the source.
func (s *source) copied() *source {
	return &source{version: s.version, hosts: maps.Clone(s.hosts)}
}

// readEra lists the endpoints in a new era, or else lists or watches them as read does.
func (p *poller) readEra(s *source) {
	p.noteEra(s.version.Era, "")
	t := &p.topics[samphireturn.TopicHosts]
	if !p.current(t) {
		t.listed = false
	}
	p.read(s)
}

// view returns the endpoints that are in use, with whether each is leaving.
func (p *poller) view() map[string]bool {
	snapshot := new(samphireturn.Snapshot)
	p.hosts(&p.topics[samphireturn.TopicHosts]).Apply(snapshot)
	leaving := make(map[string]bool)
	for _, hosts := range snapshot.View.Hosts {
		for _, h := range hosts {
			leaving[h.ID] = h.Leaving
		}
	}
	return leaving
}

// TestErasOnlyRise has a source that comes back from older copies while daemons read it,
// poll each other in any order or start anew: the version of none falls, a poll never hands
// over a state of an older era, and in the end all have the entries of the source.
func TestErasOnlyRise(t *testing.T) {
	for seed := range uint64(200) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 2))
		now := time.Hour
		s := newSource(10)
		older := s.copied()
		daemons := []*poller{newPoller(&now), newPoller(&now), newPoller(&now)}
		version := func(p *poller) samphireturn.Revision { return p.topics[samphireturn.TopicHosts].version }
		for range 300 {
			now += 50 * time.Millisecond
			d := daemons[random.IntN(3)]
			before, era := version(d), d.era
			switch random.IntN(12) {
			case 0, 1:
				s.put(random.IntN(20))
			case 2:
				s.remove(random.IntN(20))
			case 3:
				older = s.copied()
			case 4:
				if random.IntN(5) == 0 {
					s.restore(older)
				}
			case 5, 6:
				d.readEra(s)
			case 7:
				d.dropKept()
				d.removeMissing(&d.topics[samphireturn.TopicHosts])
			default:
				d.poll(c, daemons[random.IntN(3)])
			}
			c.Assert(before.Newer(version(d)), qt.IsFalse, qt.Commentf("seed %d: %v after %v", seed, version(d), before))
			c.Assert(d.era >= era, qt.IsTrue)
		}
		daemons[0].readEra(s)
		for _, d := range daemons {
			d.poll(c, daemons[0])
		}
		now += MissingRetention
		for _, d := range daemons {
			d.removeMissing(&d.topics[samphireturn.TopicHosts])
			c.Assert(d.era, qt.Equals, s.version.Era)
			c.Assert(d.names(), qt.DeepEquals, names(s.hosts), qt.Commentf("seed %d", seed))
		}
	}
}

// names returns the versions of entries by name.
func names(entries map[string]samphireturn.Entry) map[string]samphireturn.Revision {
	versions := make(map[string]samphireturn.Revision)
	for name, e := range entries {
		versions[name] = e.Version
	}
	return versions
}

// TestKeptHosts guards against an endpoint that left, or said that it leaves, coming back
// into use by the copy's entry, and against another instance with its id staying out.
func TestKeptHosts(t *testing.T) {
	const id = "i-3"
	host := func(s *source, leaving bool, started int64) {
		s.put(3)
		e := s.hosts[id]
		h := *e.Host
		h.Leaving, h.Started = leaving, started
		e.Host = &h
		s.hosts[id] = e
		s.history[len(s.history)-1] = e
	}
	tests := []struct {
		name string
		// started is the start of the instance in the copy, and then what happens in the new
		// era after its first list.
		started int64
		change  func(s *source)
		then    func(s *source)
		// leaving is whether the endpoint is leaving after the first list, after then, and
		// after keptTime.
		leaving [3]bool
	}{
		{"leaving, silent", 0, func(s *source) { host(s, true, 0) }, func(*source) {}, [3]bool{true, true, false}},
		{"leaving, writes again", 0, func(s *source) { host(s, true, 0) }, func(s *source) { host(s, true, 0) }, [3]bool{true, true, true}},
		{"left, silent", 0, func(s *source) { s.remove(3) }, func(*source) {}, [3]bool{true, true, false}},
		{"left, another writes", 0, func(s *source) { s.remove(3) }, func(s *source) { host(s, false, 0) }, [3]bool{true, false, false}},
		{"instance leaving", 7, func(s *source) { host(s, true, 7) }, func(*source) {}, [3]bool{true, true, true}},
		{"instance leaving, writes that it is ready", 7, func(s *source) { host(s, true, 7) }, func(s *source) { host(s, false, 7) }, [3]bool{true, true, true}},
		{"instance leaving, next one writes", 7, func(s *source) { host(s, true, 7) }, func(s *source) { host(s, false, 8) }, [3]bool{true, false, false}},
		{"next instance known, copy has the one before", 7, func(s *source) { host(s, false, 8) }, func(*source) {}, [3]bool{false, false, false}},
		{"unchanged", 0, func(*source) {}, func(*source) {}, [3]bool{false, false, false}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Hour
			s := newSource(5)
			host(s, false, test.started)
			older := s.copied()
			first, second, fresh := newPoller(&now), newPoller(&now), newPoller(&now)
			first.readEra(s)
			test.change(s)
			first.readEra(s)
			second.poll(c, first)
			s.restore(older)
			check := func(step int) {
				for _, d := range []*poller{first, second, fresh} {
					d.dropKept()
					c.Check(d.view()[id], qt.Equals, test.leaving[step], qt.Commentf("step %d", step))
				}
			}
			first.readEra(s)
			second.poll(c, first)
			// A daemon that starts now reads the copy itself and learns the rest.
			fresh.readEra(s)
			fresh.poll(c, second)
			check(0)
			now += 2 * time.Second
			test.then(s)
			for _, d := range []*poller{first, second, fresh} {
				d.readEra(s)
			}
			check(1)
			now += keptTime
			check(2)
		})
	}
}

// TestLostHosts guards against an endpoint that a copy lacks being taken for one that left
// when the source comes back from another copy, which has it.
func TestLostHosts(t *testing.T) {
	const id = "i-3"
	tests := []struct {
		name string
		// leaves has the endpoint say that it leaves before the source is lost.
		leaves bool
		// wait is the time between the two copies.
		wait time.Duration
	}{
		{"in quick succession", false, time.Second},
		{"after its entry was missed", false, 3 * time.Second},
		{"leaving, in quick succession", true, time.Second},
		{"leaving, after its entry was missed", true, 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Hour
			s := newSource(2)
			without := s.copied()
			s.put(3)
			with := s.copied()
			first, second := newPoller(&now), newPoller(&now)
			first.readEra(s)
			second.poll(c, first)
			if test.leaves {
				e := s.hosts[id]
				h := *e.Host
				h.Leaving = true
				s.put(3)
				e.Host, e.Version = &h, s.version
				s.hosts[id] = e
				s.history[len(s.history)-1] = e
				first.readEra(s)
				second.poll(c, first)
			}
			for _, older := range []*source{without, with} {
				s.restore(older)
				first.readEra(s)
				second.poll(c, first)
				now += test.wait
				for _, d := range []*poller{first, second} {
					d.removeMissing(&d.topics[samphireturn.TopicHosts])
				}
			}
			for _, d := range []*poller{first, second} {
				d.dropKept()
				leaving, listed := d.view()[id]
				c.Check(listed, qt.IsTrue)
				c.Check(leaving, qt.Equals, test.leaves)
			}
		})
	}
}

// TestEarlierInstance guards against an endpoint's next instance being replaced by the one
// before, which the copy has and whose address may be another's now.
func TestEarlierInstance(t *testing.T) {
	c := qt.New(t)
	now := time.Hour
	s := newSource(1)
	started := func(n int64) {
		s.put(0)
		e := s.hosts["i-0"]
		h := *e.Host
		h.Started, h.Addr = n, fmt.Sprint("10.9.9.", n)
		e.Host = &h
		s.hosts["i-0"], s.history[len(s.history)-1] = e, e
	}
	started(1)
	older := s.copied()
	p := newPoller(&now)
	started(2)
	p.readEra(s)
	s.restore(older)
	p.readEra(s)
	c.Check(p.topics[samphireturn.TopicHosts].entries["i-0"].Host.Addr, qt.Equals, "10.9.9.2")
	started(3)
	p.readEra(s)
	c.Check(p.topics[samphireturn.TopicHosts].entries["i-0"].Host.Addr, qt.Equals, "10.9.9.3")
}
