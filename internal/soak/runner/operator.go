package runner

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"samphireturn/internal/soak/planner"
	"samphireturn/internal/standin/formatter"
	"samphireturn/internal/standin/worker"
)

const (
	rolloutInterval = 50 * time.Millisecond
	// badShare is the part of the answers of a bad release that are failures.
	badShare = 0.6
	// drainDelay is the time after which the endpoints of a release that was rolled back
	// leave.
	drainDelay = time.Second
)

// keyOf returns the key of team beta, and routeName the route, that only one
// configuration has.
func keyOf(version int) string     { return "key-of-beta-" + strconv.Itoa(version) }
func routeName(version int) string { return "only-" + strconv.Itoa(version) }

// configure writes the next configuration.
func (r *Runner) configure() {
	r.configMu.Lock()
	defer r.configMu.Unlock()
	version := int(r.version.Load()) + 1
	table := formatter.Table(version, serviceHost, routeName(version), constantKey, keyOf(version))
	if err := r.store.Put(formatter.Tables, formatter.CurrentTable, table); err != nil {
		r.violate("configuration: %v", err)
	}
	r.judge.Accept(version)
	r.version.Store(int64(version))
}

// rollOut orders a roll-out of the pool of plain services and carries out what the
// fleet concludes.
func (r *Runner) rollOut(ctx context.Context, s planner.Step) {
	if !r.rolling.CompareAndSwap(false, true) {
		return
	}
	defer r.rolling.Store(false)
	release := "v" + strconv.FormatInt(r.releases.Add(1)+1, 10)
	added, err := r.addRelease(release, s.Kind == planner.RolloutBad)
	if err != nil {
		r.violate("release %s: %v", release, err)
		return
	}
	if s.Kind == planner.RolloutBad {
		defer r.judge.OrderBad(poolApp, release)()
	}
	order := formatter.Rollout(poolApp, release, s.Length)
	if err := r.store.Put(formatter.Rollouts, poolApp, order); err != nil {
		r.violate("roll-out: %v", err)
	}
	state := r.awaitState(ctx, release, s.Length)
	r.logf("roll-out of %s: %s", release, state)
	if state == "done" {
		r.replaceReleases(ctx, release)
	}
	r.sleep(ctx, drainDelay)
	for _, slot := range added {
		if slot.take() {
			slot.leave(ctx, true, 0)
			slot.retire()
		}
	}
	r.store.Delete(formatter.Rollouts, poolApp)
}

// addRelease starts one endpoint of a release in each data centre.
func (r *Runner) addRelease(release string, bad bool) ([]*slot, error) {
	var added []*slot
	for _, centre := range centres {
		r.slotsMu.Lock()
		s := r.newSlot(len(r.slots))
		s.pool, s.centre, s.release = poolApp, centre, release
		r.slots = append(r.slots, s)
		r.slotsMu.Unlock()
		added = append(added, s)
		if err := s.open(); err != nil {
			return added, err
		}
		if bad {
			s.inject(worker.FaultFail, badShare)
		}
	}
	return added, nil
}

// awaitState waits until the fleet has concluded a roll-out or its time is over, and
// returns the state that the fleet wrote last.
func (r *Runner) awaitState(ctx context.Context, release string, length time.Duration) string {
	var status struct {
		State  string `json:"state"`
		Target string `json:"target"`
	}
	for deadline := time.Now().Add(length); ctx.Err() == nil && time.Now().Before(deadline); r.sleep(ctx, rolloutInterval) {
		o := r.store.Get(formatter.Rollouts, poolApp)
		if o == nil || json.Unmarshal(o.Status, &status) != nil || status.Target != release {
			continue
		}
		if status.State == "done" || status.State == "rolled_back" {
			break
		}
	}
	return status.State
}

// replaceReleases stops the endpoints of the pool that have another release, and starts
// endpoints of the release there.
func (r *Runner) replaceReleases(ctx context.Context, release string) {
	for _, s := range r.allSlots() {
		if pool, of := s.state(); pool == poolApp && of != release && s.take() {
			s.replace(ctx, 0, "", release)
			s.free()
		}
	}
}
