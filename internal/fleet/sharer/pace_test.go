package sharer_test

import (
	"encoding/hex"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/fleet/ranker"
	"samphireturn/internal/fleet/sharer"
	"samphireturn/internal/forward/balancer"
	"samphireturn/internal/forward/stager"
)

// reportPace has an endpoint report a pace in responses to a daemon.
func (fl *fleet) reportPace(id string, h *samphireturn.Host, pace float64, responses int) {
	for range responses {
		r := fl.pickFrom(id, h)
		r.ObserveHead(samphireturn.ResponseMeta{Pace: pace})
		r.Done()
	}
}

// paces returns the pace of an endpoint at each daemon.
func (fl *fleet) paces(h *samphireturn.Host) map[string]float64 {
	all := make(map[string]float64)
	for id, d := range fl.daemons {
		all[id] = d.sharer.Balancer.Pace(h)
	}
	return all
}

// TestPaceReachesAll has an endpoint report a pace of 4 a few times to each daemon, too few for
// one alone: all daemons of both data centres estimate the same as one that received all reports,
// which guards against contributions that are lost or counted twice. Then one daemon after
// another, an aggregator too, is lost: the estimate falls to 1 without a jump.
func TestPaceReachesAll(t *testing.T) {
	for _, lost := range []string{"none", "north", "south"} {
		t.Run(lost, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				fl := newFleet()
				for _, vm := range fl.members {
					fl.start(vm)
				}
				h := &samphireturn.Host{ID: "h1", Pool: pool, Centre: "north", Slots: 8}
				for _, vm := range fl.members {
					fl.reportPace(vm.ID, h, 4, 3)
				}
				alone := balancer.New("x", "north", fl.daemons["d0"].sharer.Clock)
				for range 3 * len(fl.members) {
					r := alone.Pick(&balancer.Request{Pool: &samphireturn.Pool{Name: pool}, Hosts: []*samphireturn.Host{h}})
					r.ObserveHead(samphireturn.ResponseMeta{Pace: 4})
					r.Done()
				}
				time.Sleep(4*sharer.PaceInterval + time.Second)
				if lost != "none" {
					aggregator := ranker.Rank("share/"+lost, ranker.InCentre(lost, fl.members))[0]
					fl.stop(aggregator)
				}
				before := fl.paces(h)
				for range 90 {
					want := alone.Pace(h)
					for id, pace := range fl.paces(h) {
						c.Check(pace <= before[id]*1.02, qt.IsTrue, qt.Commentf("daemon %s: %.3f after %.3f", id, pace, before[id]))
						c.Check(pace > want*0.9 && pace < want*1.1, qt.IsTrue, qt.Commentf("daemon %s: %.3f, want %.3f", id, pace, want))
						before[id] = pace
					}
					time.Sleep(time.Second)
				}
				for id, pace := range fl.paces(h) {
					c.Check(pace, qt.Equals, 1.0, qt.Commentf("daemon %s", id))
				}
				for id := range fl.paces(h) {
					fl.stop(id)
				}
			})
		})
	}
}

// TestPaceCountsOnce guards against a daemon whose own reports come back to it in a sum: each
// endpoint reports to one daemon only, and all estimate the same as that one alone.
func TestPaceCountsOnce(t *testing.T) {
	const reports = 3
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fl := newFleet()
		alone := balancer.New("x", "north", nil)
		for _, vm := range fl.members {
			fl.start(vm)
			alone.Clock = fl.daemons[vm.ID].sharer.Clock
		}
		var hosts []*samphireturn.Host
		for _, vm := range fl.members {
			h := &samphireturn.Host{ID: "at-" + vm.ID, Pool: pool, Centre: "north", Slots: 8}
			hosts = append(hosts, h)
			for id := range fl.daemons {
				fl.reportPace(id, h, 0, 1)
			}
			fl.reportPace(vm.ID, h, 4, reports)
		}
		for range reports {
			r := alone.Pick(&balancer.Request{Pool: &samphireturn.Pool{Name: pool}, Hosts: hosts[:1]})
			r.ObserveHead(samphireturn.ResponseMeta{Pace: 4})
			r.Done()
		}
		for range 10 {
			time.Sleep(sharer.PaceInterval)
			for _, h := range hosts {
				for id, pace := range fl.paces(h) {
					c.Check(pace < 1.05*alone.Pace(hosts[0]), qt.IsTrue, qt.Commentf("daemon %s of %s: %.3f", id, h.ID, pace))
				}
			}
		}
		for _, vm := range fl.members {
			fl.stop(vm.ID)
		}
	})
}

// oldReport is the Report of commit 7fc650c.
type oldReport struct {
	Loads    balancer.Loads  `cbor:"3,keyasint,omitempty"`
	Tallies  []stager.Tally  `cbor:"2,keyasint,omitempty"`
	Limits   balancer.Limits `cbor:"4,keyasint,omitempty"`
	Unlinked []string        `cbor:"5,keyasint,omitempty"`
}

// TestReportEncodings guards against reports that builds before and after paces don't read from
// each other: a recorded one of commit 7fc650c, and one with paces read by the old type.
func TestReportEncodings(t *testing.T) {
	const recorded = "a30347e4e36755030a0204a11ae10cb230a301f502fb4004000000000000031a3b9aca000581626433"
	c := qt.New(t)
	loads := balancer.Loads{balancer.KeyOf("h1"): {Requests: 3, MemoryTokens: 640, Backlog: 2000}}
	limits := balancer.Limits{balancer.KeyOf("h2"): {Limited: true, Rate: 2.5, Age: time.Second}}
	unlinked := []string{"d3"}

	data, err := hex.DecodeString(recorded)
	c.Assert(err, qt.IsNil)
	var got sharer.Report
	c.Assert(encoder.Unmarshal(data, &got), qt.IsNil)
	c.Check(got, qt.DeepEquals, sharer.Report{Loads: loads, Limits: limits, Unlinked: unlinked})
	again, err := encoder.Marshal(got)
	c.Assert(err, qt.IsNil)
	c.Check(fmt.Sprintf("%x", again), qt.Equals, recorded)

	got.Paces = balancer.Paces{balancer.KeyOf("h1"): {Weight: 3, Logs: 1.5}}
	data, err = encoder.Marshal(got)
	c.Assert(err, qt.IsNil)
	var old oldReport
	c.Assert(encoder.Unmarshal(data, &old), qt.IsNil)
	c.Check(old, qt.DeepEquals, oldReport{Loads: loads, Limits: limits, Unlinked: unlinked})
	var same sharer.Report
	c.Assert(encoder.Unmarshal(data, &same), qt.IsNil)
	c.Check(same, qt.DeepEquals, got)
}
