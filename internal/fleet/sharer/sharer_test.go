package sharer_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/fleet/recorder"
	"samphireturn/internal/fleet/sharer"
	"samphireturn/internal/forward/balancer"
	"samphireturn/internal/forward/isolator"
	"samphireturn/internal/forward/stager"
)

const (
	pool, release = "llm", "v2"
	// perCentre is the number of daemons of each of the two data centres.
	perCentre = 4
)

type (
	// fleet is a set of daemons that exchange reports over a network of calls.
	fleet struct {
		mu      sync.Mutex
		members []samphireturn.VM
		daemons map[string]*daemon
		// cut holds the daemons that reach no other.
		cut       map[string]bool
		instances uint64
		calls     int
		// sent holds the bytes that each daemon sent, and largest is the size of the largest
		// message.
		sent    map[string]int
		largest int
	}

	// daemon is one instance of a daemon. It implements samphireturn.Peers and
	// samphireturn.Control.
	daemon struct {
		*fleet
		id       string
		handlers map[string]samphireturn.Handler
		stager   *stager.Stager
		recorder *recorder.Recorder
		isolator *isolator.Isolator
		links    *links
		sharer   *sharer.Sharer
		view     *samphireturn.View
	}
)

func (d *daemon) Handle(topic string, h samphireturn.Handler) { d.handlers[topic] = h }

func (d *daemon) Connected() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []string
	for id := range d.daemons {
		if id != d.id && !d.cut[id] && !d.cut[d.id] {
			ids = append(ids, id)
		}
	}
	return ids
}

func (d *daemon) Call(ctx context.Context, to, topic string, body, reply any) error {
	d.mu.Lock()
	target, cut := d.daemons[to], d.cut[to] || d.cut[d.id]
	d.calls++
	d.mu.Unlock()
	if cut || target == nil {
		return &samphireturn.Error{Op: "call", Kind: samphireturn.KindUnavailable}
	}
	data, err := encoder.Marshal(body)
	if err != nil {
		return err
	}
	d.count(d.id, data)
	answer, err := target.handlers[topic](ctx, d.id, data)
	if err != nil || reply == nil {
		return err
	}
	if data, err = encoder.Marshal(answer); err != nil {
		return err
	}
	d.count(to, data)
	return encoder.Unmarshal(data, reply)
}

// count counts a message that a daemon sends.
func (fl *fleet) count(sender string, message []byte) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.sent[sender] += len(message)
	fl.largest = max(fl.largest, len(message))
}

func (d *daemon) Post(samphireturn.Event) {}

func (d *daemon) Snapshot() *samphireturn.Snapshot {
	return &samphireturn.Snapshot{Members: d.members, View: d.view}
}

func newFleet() *fleet {
	fl := &fleet{daemons: make(map[string]*daemon), cut: make(map[string]bool), sent: make(map[string]int)}
	for i := range 2 * perCentre {
		fl.members = append(fl.members, samphireturn.VM{ID: fmt.Sprint("d", i), Centre: []string{"north", "south"}[i%2]})
	}
	return fl
}

// start starts a new instance of a daemon.
func (fl *fleet) start(vm samphireturn.VM) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.instances++
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) + time.Hour }
	d := &daemon{fleet: fl, id: vm.ID, handlers: make(map[string]samphireturn.Handler)}
	d.stager = stager.New(clock, zerolog.Nop())
	d.stager.Instance = fl.instances
	d.stager.CanaryShare, d.stager.CanaryExtra = 0.13, 27
	d.view = &samphireturn.View{
		Hosts:    map[string][]*samphireturn.Host{pool: {{ID: "old", Pool: pool, Release: "v1"}, {ID: "new", Pool: pool, Release: release}}},
		Rollouts: map[string]*samphireturn.Rollout{pool: {Pool: pool, Release: release, Duration: time.Minute, Version: samphireturn.Revision{Number: 1}}},
	}
	d.stager.Hosts(d.view, pool, "", "x")
	d.recorder = recorder.New(d, clock, zerolog.Nop())
	d.isolator = isolator.New(clock, zerolog.Nop())
	d.links = new(links)
	d.sharer = &sharer.Sharer{
		Peers: d, Control: d, Balancer: balancer.New(vm.ID, vm.Centre, clock), Stager: d.stager, Recorder: d.recorder, Isolator: d.isolator, Links: d.links, Self: vm, Clock: clock, Log: zerolog.Nop(),
	}
	d.sharer.Register()
	_ = d.sharer.Run(context.Background())
	fl.daemons[vm.ID] = d
}

// stop ends the instance of a daemon.
func (fl *fleet) stop(id string) {
	fl.mu.Lock()
	d := fl.daemons[id]
	delete(fl.daemons, id)
	fl.mu.Unlock()
	_ = d.sharer.Close()
}

// setCut cuts a daemon off from all others, or links it again.
func (fl *fleet) setCut(id string, cut bool) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	fl.cut[id] = cut
}

// answer counts answers of the new release at a daemon, of which some fail.
func (fl *fleet) answer(id string, answers, failed int) {
	h := &samphireturn.Host{ID: "new", Pool: pool, Release: release}
	for i := range answers {
		fl.daemons[id].stager.RecordAnswer(h, "r", i < failed, 50*time.Millisecond)
	}
}

// known returns the number of answers of the new release that a daemon knows of.
func (fl *fleet) known(id string) int {
	evidence, _ := fl.daemons[id].stager.Evidence(0, 0)
	n := 0
	for _, e := range evidence {
		for _, c := range e.Counts {
			n += c.Count.Answers
		}
	}
	return n
}

// TestEvidenceReachesAll has daemons restart, be cut off and come back, aggregators
// included, while all receive answers of a new release. In the end each daemon knows of
// each answer once, also of those that instances counted and told before they ended.
func TestEvidenceReachesAll(t *testing.T) {
	for first := range 2 * perCentre {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			fl := newFleet()
			for _, vm := range fl.members {
				fl.start(vm)
			}
			want := 0
			for step := range 2 * perCentre {
				victim := fl.members[(first+3*step)%len(fl.members)]
				for _, vm := range fl.members {
					fl.answer(vm.ID, 2, 0)
					want += 2
				}
				time.Sleep(2 * time.Second)
				if step%2 == 0 {
					fl.stop(victim.ID)
					fl.start(victim)
					continue
				}
				fl.setCut(victim.ID, true)
				fl.answer(victim.ID, 1, 0)
				want++
				time.Sleep(3 * time.Second)
				fl.setCut(victim.ID, false)
			}
			time.Sleep(4 * time.Second)
			for _, vm := range fl.members {
				c.Check(fl.known(vm.ID), qt.Equals, want, qt.Commentf("daemon %s, first victim %d", vm.ID, first))
				fl.stop(vm.ID)
			}
		})
	}
}

// TestVerdictReachesAll has one daemon find a release faulty: all daemons of both data
// centres know a quarter of a second after its next report, with one message for each pair at most.
func TestVerdictReachesAll(t *testing.T) {
	for finder := range 2 * perCentre {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			fl := newFleet()
			for _, vm := range fl.members {
				fl.start(vm)
			}
			time.Sleep(time.Second)
			fl.answer(fl.members[finder].ID, 40, 40)
			for len(fl.daemons[fl.members[finder].ID].stager.Verdicts()) == 0 {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(sharer.ReportInterval + 250*time.Millisecond)
			for _, vm := range fl.members {
				c.Check(fl.daemons[vm.ID].stager.Verdicts(), qt.HasLen, 1, qt.Commentf("daemon %s", vm.ID))
				fl.stop(vm.ID)
			}
		})
	}
}

// TestDepartureReachesAll has endpoints announce their leaving to one daemon after another,
// while daemons restart, are cut off and come back, aggregators included: in the end each
// daemon knows of all.
func TestDepartureReachesAll(t *testing.T) {
	for first := range 2 * perCentre {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			fl := newFleet()
			for _, vm := range fl.members {
				fl.start(vm)
			}
			for step := range 2 * perCentre {
				victim := fl.members[(first+3*step)%len(fl.members)]
				receiver := fl.members[(first+step)%len(fl.members)]
				fl.daemons[receiver.ID].recorder.Record(&samphireturn.Host{ID: fmt.Sprint("h", step)})
				time.Sleep(2 * time.Second)
				if step%2 == 0 {
					fl.stop(victim.ID)
					fl.start(victim)
					continue
				}
				fl.setCut(victim.ID, true)
				time.Sleep(time.Second)
				fl.setCut(victim.ID, false)
			}
			time.Sleep(4 * time.Second)
			for _, vm := range fl.members {
				departures, _ := fl.daemons[vm.ID].recorder.Since(0)
				c.Check(departures, qt.HasLen, 2*perCentre, qt.Commentf("daemon %s, first victim %d", vm.ID, first))
				fl.stop(vm.ID)
			}
		})
	}
}
