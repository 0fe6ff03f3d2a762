package follower

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
)

// fakeControl drops all events.
type fakeControl struct{}

func (fakeControl) Post(samphireturn.Event)          {}
func (fakeControl) Snapshot() *samphireturn.Snapshot { return &samphireturn.Snapshot{} }

// source holds the endpoints of a simulated store.
type source struct {
	version samphireturn.Revision
	hosts   map[string]samphireturn.Entry
	// history holds all changes in order.
	history []samphireturn.Entry
}

func newSource(hosts int) *source {
	s := &source{hosts: make(map[string]samphireturn.Entry)}
	for i := range hosts {
		s.put(i)
	}
	return s
}

func (s *source) put(i int) {
	s.version.Number++
	e := samphireturn.Entry{Name: fmt.Sprint("i-", i), Version: s.version}
	e.Host = &samphireturn.Host{
		ID: e.Name, Pool: "shop-assistant", Addr: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), Centre: "north", Release: "v1", Slots: 24,
	}
	s.hosts[e.Name] = e
	s.history = append(s.history, e)
}

func (s *source) remove(i int) {
	name := fmt.Sprint("i-", i)
	if _, ok := s.hosts[name]; !ok {
		return
	}
	s.version.Number++
	delete(s.hosts, name)
	s.history = append(s.history, samphireturn.Entry{Name: name, Version: s.version, Deleted: true})
}

func (s *source) list() samphireturn.Batch {
	batch := samphireturn.Batch{Version: s.version}
	for _, e := range s.hosts {
		batch.Entries = append(batch.Entries, e)
	}
	return batch
}

func (s *source) watch(since samphireturn.Revision) samphireturn.Batch {
	batch := samphireturn.Batch{Version: s.version}
	for _, e := range s.history {
		if e.Version.Newer(since) {
			batch.Entries = append(batch.Entries, e)
		}
	}
	return batch
}

// poller is a follower that is driven by calls of its methods.
type poller struct {
	*Follower
	now *time.Duration
}

func newPoller(now *time.Duration) *poller {
	return &poller{Follower: New(nil, fakeControl{}, func() time.Duration { return *now }, zerolog.Nop()), now: now}
}

// read lists the endpoints or watches them once.
func (p *poller) read(s *source) {
	t := &p.topics[samphireturn.TopicHosts]
	if !t.listed {
		p.replace(t, s.list())
	} else {
		p.update(t, s.watch(t.version))
	}
	p.confirm(t, *p.now)
}

// request returns what the poller asks with.
func (p *poller) request() pollRequest {
	var request pollRequest
	for i := range p.topics {
		if p.topics[i].listed {
			request.Versions[i] = p.topics[i].version
		}
	}
	request.Era, request.KeptHash, request.TableVersion = p.era, p.kept.hash(), p.tableVersion()
	return request
}

// poll polls another daemon and returns the size of the reply in bytes.
func (p *poller) poll(c *qt.C, other *poller) int {
	request := p.request()
	other.noteEra(request.Era, "")
	reply, err := other.buildReply(&request)
	c.Assert(err, qt.IsNil)
	data, err := encoder.Marshal(reply)
	c.Assert(err, qt.IsNil)
	p.noteEra(reply.Era, "")
	for i := range p.topics {
		c.Assert(p.applyState(&p.topics[i], &reply.Topics[i], request.Versions[i], *p.now), qt.IsNil)
	}
	p.mergeKept(reply.Kept)
	return len(data)
}

// names returns the endpoints with the versions of their entries.
func (p *poller) names() map[string]samphireturn.Revision {
	names := make(map[string]samphireturn.Revision)
	for name, e := range p.topics[samphireturn.TopicHosts].entries {
		names[name] = e.Version
	}
	return names
}

// TestChangesAddUp has endpoints come, change and leave while three daemons read the
// store, poll each other in any order or start anew: a daemon that has polled one knows
// what that one knows.
func TestChangesAddUp(t *testing.T) {
	for seed := range uint64(200) {
		c := qt.New(t)
		random := rand.New(rand.NewPCG(seed, 1))
		now := time.Hour
		s := newSource(10)
		daemons := []*poller{newPoller(&now), newPoller(&now), newPoller(&now)}
		for range 200 {
			now += 10 * time.Millisecond
			d := daemons[random.IntN(3)]
			switch random.IntN(8) {
			case 0, 1:
				s.put(random.IntN(20))
			case 2:
				s.remove(random.IntN(20))
			case 3:
				d.read(s)
				c.Assert(len(d.names()), qt.Equals, len(s.hosts))
			case 4:
				if random.IntN(20) == 0 {
					daemons[random.IntN(3)] = newPoller(&now)
				}
			default:
				other := daemons[random.IntN(3)]
				before, listed := d.topics[samphireturn.TopicHosts].version, other.topics[samphireturn.TopicHosts].listed
				d.poll(c, other)
				if listed && other.topics[samphireturn.TopicHosts].version.Compare(before) >= 0 {
					c.Assert(d.names(), qt.DeepEquals, other.names(), qt.Commentf("seed %d", seed))
				}
			}
		}
	}
}

// TestReplySizes bounds what a poll is answered with in a large fleet, so that it fits a
// link of 10 Mbit/s beside the requests (pattern: polls that timed out while each sent a
// table of 1,922 routes anew).
func TestReplySizes(t *testing.T) {
	const (
		hosts, routes = 12000, 2000
		// maxChange is the bound of a reply with one change, and maxTable that of a whole
		// table: 40 ms of the link.
		maxChange, maxTable = 1 << 10, 50 << 10
	)
	c := qt.New(t)
	now := time.Hour
	s := newSource(hosts)
	first, second := newPoller(&now), newPoller(&now)
	first.read(s)
	second.poll(c, first)
	c.Assert(second.names(), qt.HasLen, hosts)
	s.put(7)
	s.remove(8)
	first.read(s)
	size := second.poll(c, first)
	c.Check(size <= maxChange, qt.IsTrue, qt.Commentf("%d bytes", size))
	c.Check(second.names(), qt.DeepEquals, first.names())

	table := &samphireturn.Table{Version: 4}
	for i := range routes {
		table.Routes = append(table.Routes, samphireturn.Route{
			Name: fmt.Sprintf("r-%07x", i*7919), Host: fmt.Sprintf("h%05x.example", i*104729%1048576), Prefix: fmt.Sprintf("/p%04x/", i*31),
			Work: samphireturn.WorkStream, Timeout: 20 * time.Second, Objective: time.Second, MaxAttempts: 3, Steps: []string{"small", "large"},
			Targets: []samphireturn.Target{{Pool: "shop-assistant", Weight: 1}},
		})
	}
	version := samphireturn.Revision{Number: 9}
	top := &first.topics[samphireturn.TopicTable]
	first.replace(top, samphireturn.Batch{Entries: []samphireturn.Entry{{Name: "main", Version: version, Table: table}}, Version: version})
	first.confirm(top, now)
	size = second.poll(c, first)
	c.Check(size <= maxTable, qt.IsTrue, qt.Commentf("%d bytes", size))
	c.Check(second.topics[samphireturn.TopicTable].entries["main"].Table.Routes, qt.HasLen, routes)
}
