package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"samphireturn/internal/soak/planner"
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
	spec := fmt.Sprintf(`{"version":%d,"routes":[
{"name":"draft","host":"desk.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":20000,"goalMs":4000,
 "sizes":["small","large"],"backend":"llm","attempts":3,"resumable":true,"gapAimMs":2000},
{"name":"chat","host":"desk.example","pathPrefix":"/chat/","kind":"streaming","timeoutMs":20000,"goalMs":4000,
 "backend":"llm","attempts":3,"gapAimMs":2000},
{"name":"book","host":"desk.example","pathPrefix":"/book/","kind":"unsafe","timeoutMs":3000,"goalMs":300,"backend":"app","attempts":3},
{"name":"find","host":"desk.example","pathPrefix":"/book/find/","kind":"safe","timeoutMs":3000,"goalMs":300,"backend":"app","attempts":2},
{"name":"open","host":"desk.example","pathPrefix":"/open/","kind":"safe","timeoutMs":3000,"goalMs":300,"backend":"app","attempts":2,"noAuth":true},
{"name":%q,"host":"desk.example","pathPrefix":"/%s/","kind":"safe","timeoutMs":3000,"goalMs":300,"backend":"app","attempts":2}],
"backends":[{"name":"llm","healthPath":"/healthz","maxConns":100,"coldS":3,"coldPerS":10,
 "engine":{"slots":8,"kvCapacity":100000,"models":[{"name":"small","cost":0.1},{"name":"large","cost":1}]}},
 {"name":"app","healthPath":"/healthz","maxConns":100}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"alpha","apiKeys":[%q]},{"name":"beta","apiKeys":[%q]}]}`,
		version, routeName(version), routeName(version), constantKey, keyOf(version))
	if err := r.store.Put("config", "main", json.RawMessage(spec)); err != nil {
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
	order := map[string]any{"backend": poolApp, "target": release, "durationS": s.Length.Seconds()}
	if err := r.store.Put("rollouts", poolApp, order); err != nil {
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
	r.store.Delete("rollouts", poolApp)
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
		o := r.store.Get("rollouts", poolApp)
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
