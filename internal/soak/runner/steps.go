package runner

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"samphireturn/internal/soak/disruptor"
	"samphireturn/internal/soak/judge"
	"samphireturn/internal/soak/planner"
	"samphireturn/internal/standin/formatter"
	"samphireturn/internal/standin/registrar"
	"samphireturn/internal/standin/worker"
)

const (
	firstRelease = "v1"
	// stormLength is the number of configurations of a storm, stormGap the time between
	// them.
	stormLength = 5
	stormGap    = 120 * time.Millisecond
	// slowest is the longest delay of the store; the shortest is half of it.
	slowest = 1200 * time.Millisecond
	// refuseStep, times the draw, is the time in which connections are refused after a
	// reset.
	refuseStep = 20 * time.Millisecond
	// copyAgeStep, times the draw, is the age of the copy from which the store comes back,
	// beside the time for which it is away, and writeLostStep, times the draw, the time
	// after which the operator and the endpoints write again what it lacks.
	copyAgeStep   = 50 * time.Millisecond
	writeLostStep = 10 * time.Millisecond
	// restSpan is the number of lengths of pauses that an endpoint may ask for, half a second
	// apart from one second on.
	restSpan = 5
	// surgeFactor times the number of callers join these in a surge. surgeGapStep, times the
	// draw, is the time until the next one.
	surgeFactor  = 4
	surgeGapStep = 80 * time.Millisecond
	// replaceReadyTime bounds the wait for a replaced daemon to be ready, which other faults
	// may prevent.
	replaceReadyTime = 3 * time.Second
)

// do carries out one step of the schedule.
func (r *Runner) do(ctx context.Context, s planner.Step) {
	r.logf("%v", s)
	switch name, _, _ := strings.Cut(s.Kind, "_"); name {
	case "daemon", "daemons":
		r.doDaemon(ctx, s)
	case "endpoint", "endpoints":
		r.doEndpoint(ctx, s)
	case "store":
		r.doStore(ctx, s)
	case "link":
		r.doLink(ctx, s)
	default:
		r.doChange(ctx, s)
	}
}

func (r *Runner) doDaemon(ctx context.Context, s planner.Step) {
	d := r.daemons[s.Target]
	switch s.Kind {
	case planner.DaemonTerm:
		d.restart(ctx, true, s.Length, terminate)
	case planner.DaemonKill:
		d.restart(ctx, false, s.Length, (*process).kill)
	case planner.DaemonStop:
		p := d.current()
		over := r.judge.Disrupt(judge.Disruption{Machine: d.name})
		p.signal(syscall.SIGSTOP)
		r.sleep(ctx, s.Length)
		p.signal(syscall.SIGCONT)
		over()
	case planner.DaemonHup:
		if err := d.writeSettings(false); err != nil {
			r.violate("settings of %s: %v", d.name, err)
		}
		r.judge.Reload(d.name)
		d.current().signal(syscall.SIGHUP)
	case planner.DaemonsKill:
		done := make(chan struct{})
		for _, d := range r.daemons {
			go func() {
				d.restart(ctx, false, s.Length, (*process).kill)
				done <- struct{}{}
			}()
		}
		for range r.daemons {
			<-done
		}
	case planner.DaemonsRoll:
		for _, d := range r.daemons {
			d.restart(ctx, true, s.Length, terminate)
		}
	case planner.DaemonsUpgrade:
		r.replaceDaemons(ctx, s, r.DaemonProgram)
	case planner.DaemonsDowngrade:
		r.replaceDaemons(ctx, s, r.EarlierProgram)
	}
}

// replaceDaemons starts all daemons again with a program, one after the other from the target
// of the step on. By the draw it waits, a time, until each is ready.
func (r *Runner) replaceDaemons(ctx context.Context, s planner.Step, program string) {
	r.replaceMu.Lock()
	defer r.replaceMu.Unlock()
	for i := range r.daemons {
		if ctx.Err() != nil {
			return
		}
		d := r.daemons[(s.Target+i)%len(r.daemons)]
		d.replace(ctx, program, s.Length)
		if s.Draw%2 == 0 {
			continue
		}
		readyCtx, cancel := context.WithTimeout(ctx, replaceReadyTime)
		for readyCtx.Err() == nil && !d.ready(readyCtx) {
			r.sleep(readyCtx, readyInterval)
		}
		cancel()
	}
}

func (r *Runner) doEndpoint(ctx context.Context, s planner.Step) {
	e := r.allSlots()[s.Target]
	if s.Kind == planner.EndpointCut {
		defer r.judge.Disrupt(judge.Disruption{Machine: e.name})()
		r.hold(ctx, &disruptor.Fault{Match: e.involves, HoldUp: true, HoldDown: true}, s.Length)
		return
	}
	switch s.Kind {
	case planner.EndpointsStop:
		r.withPool(pools[s.Target%len(pools)], func(e *slot) { e.pause(ctx, s.Length) })
		return
	case planner.EndpointsShed:
		r.withPool(pools[s.Target%len(pools)], func(e *slot) {
			e.inject(worker.FaultShed, 1)
			r.sleep(ctx, s.Length)
			e.inject("", 0)
		})
		return
	}
	if !e.take() {
		return
	}
	defer e.free()
	switch s.Kind {
	case planner.EndpointCrash:
		e.replace(ctx, s.Length, "", "")
	case planner.EndpointSwap:
		pool, _ := e.state()
		other := pools[0]
		if pool == other {
			other = pools[1]
		}
		if r.count(pool) <= 2 {
			other = pool
		}
		e.replace(ctx, s.Length, other, "")
	case planner.EndpointDrain, planner.EndpointVanish:
		e.leave(ctx, s.Kind == planner.EndpointDrain, s.Length)
		e.restart("", "")
	case planner.EndpointStop:
		e.pause(ctx, s.Length)
	case planner.EndpointRest:
		seconds := strconv.FormatFloat(1+float64(s.Draw%restSpan)/2, 'f', 1, 64)
		r.logf("%s: asks for pauses of %s s", e.name, seconds)
		e.injectPause(worker.FaultShed, float64(percent-s.Draw/2)/percent, seconds)
		r.sleep(ctx, s.Length)
		e.inject("", 0)
	case planner.EndpointFault:
		faults := e.faults()
		fault := faults[s.Draw%len(faults)]
		r.logf("%s: %s", e.name, fault)
		e.inject(fault, float64(percent-s.Draw/2)/percent)
		r.sleep(ctx, s.Length)
		e.inject("", 0)
	}
}

// withPool carries out a step at the same time at each endpoint of a pool that no other step
// uses.
func (r *Runner) withPool(pool string, step func(*slot)) {
	var wait sync.WaitGroup
	for _, e := range r.allSlots() {
		if p, _ := e.state(); p == pool && e.take() {
			wait.Go(func() {
				defer e.free()
				step(e)
			})
		}
	}
	wait.Wait()
}

// count returns the number of slots of a pool.
func (r *Runner) count(pool string) int {
	n := 0
	for _, s := range r.allSlots() {
		if p, _ := s.state(); p == pool {
			n++
		}
	}
	return n
}

func (r *Runner) doStore(ctx context.Context, s planner.Step) {
	toStore := func(_, to string) bool { return to == storeName }
	switch s.Kind {
	case planner.StoreForget:
		r.store.Compact()
		r.judge.Disrupt(judge.Disruption{Machine: judge.Core, Forgets: true})()
	case planner.StoreSilence:
		r.judge.Disrupt(judge.Disruption{Machine: judge.Core})()
		r.links.Silence(toStore)
	case planner.StoreGarble:
		name := "odd-" + strconv.Itoa(s.Draw)
		objects := formatter.Unusable(name)
		r.store.PutRaw(formatter.Servers, name, objects[s.Draw%len(objects)])
		r.sleep(ctx, s.Length)
		r.store.Delete(formatter.Servers, name)
	default:
		if !r.storeBusy.CompareAndSwap(false, true) {
			return
		}
		defer r.storeBusy.Store(false)
		faults, machine := r.storeFaults(s)
		defer r.judge.Disrupt(judge.Disruption{Machine: machine})()
		r.store.SetFaults(faults)
		r.sleep(ctx, s.Length)
		if s.Kind == planner.StoreRestore {
			r.store.Restore(s.Length + time.Duration(s.Draw)*copyAgeStep)
		}
		r.store.SetFaults(registrar.Faults{})
		if s.Kind == planner.StoreRestore {
			r.sleep(ctx, time.Duration(s.Draw)*writeLostStep)
			r.store.WriteLost()
		}
	}
}

// storeFaults returns the faults of the store in a step, and the machine that they
// disrupt.
func (r *Runner) storeFaults(s planner.Step) (registrar.Faults, string) {
	status := http.StatusServiceUnavailable
	if s.Draw%2 == 0 {
		status = http.StatusTooManyRequests
	}
	switch s.Kind {
	case planner.StoreReset, planner.StoreRestore:
		return registrar.Faults{Reset: true}, judge.Core
	case planner.StoreSlow:
		return registrar.Faults{Delay: slowDelay(s)}, judge.Core
	case planner.StoreLost:
		return registrar.Faults{DropReplies: true}, judge.Core
	case planner.StoreRefuse:
		d := r.daemons[s.Target]
		return registrar.Faults{Status: status, From: fmt.Sprintf("127.%d.%d.%d:", r.block, sourceNet, d.index+1)}, d.name
	}
	return registrar.Faults{Status: http.StatusServiceUnavailable}, judge.Core
}

// slowDelay returns the delay of a step.
func slowDelay(s planner.Step) time.Duration {
	return slowest * time.Duration(percent+s.Draw) / (2 * percent)
}

func (r *Runner) doLink(ctx context.Context, s planner.Step) {
	d := r.daemons[s.Target]
	defer r.judge.Disrupt(judge.Disruption{Machine: d.name})()
	f := &disruptor.Fault{Match: d.involves}
	switch s.Kind {
	case planner.LinkReset:
		r.links.Reset(d.involves)
		if s.Draw%2 == 0 {
			return
		}
		f.Refuse, s.Length = true, refuseStep*time.Duration(s.Draw)
	case planner.LinkSilence:
		r.links.Silence(d.involves)
		return
	case planner.LinkCut:
		f.HoldUp, f.HoldDown = true, true
	case planner.LinkCutIn:
		// Data that others send first reaches the daemon no longer, nor answers to it.
		f.Match = func(_, to string) bool { return to == d.name }
		f.HoldUp = true
	case planner.LinkCutStore:
		f.Match = func(from, to string) bool { return from == d.name && to == storeName }
		f.HoldUp, f.HoldDown = s.Draw%2 == 0, true
	case planner.LinkCutPeers:
		f.Match = func(from, to string) bool { return d.involves(from, to) && r.isDaemon(from) && r.isDaemon(to) }
		f.HoldUp, f.HoldDown = true, s.Draw%2 == 0
	case planner.LinkSlow:
		f.Delay = slowDelay(s) / 4
	}
	r.hold(ctx, f, s.Length)
}

// isDaemon reports whether a name is that of a daemon.
func (r *Runner) isDaemon(name string) bool {
	return slices.ContainsFunc(r.daemons, func(d *daemon) bool { return d.name == name })
}

// hold keeps a fault of links for a time.
func (r *Runner) hold(ctx context.Context, f *disruptor.Fault, length time.Duration) {
	r.links.Begin(f)
	defer r.links.End(f)
	r.sleep(ctx, length)
}

func (r *Runner) doChange(ctx context.Context, s planner.Step) {
	switch s.Kind {
	case planner.Configure:
		r.configure()
	case planner.ConfigureStorm:
		for range stormLength {
			r.configure()
			r.sleep(ctx, stormGap)
		}
	case planner.CentreClose:
		if !r.closing.CompareAndSwap(false, true) {
			return
		}
		defer r.closing.Store(false)
		centre := centres[s.Draw%len(centres)]
		if err := r.store.Put(formatter.Closures, centre, map[string]any{}); err != nil {
			r.violate("closure: %v", err)
		}
		over := r.judge.CloseCentre(centre)
		r.sleep(ctx, s.Length)
		over()
		r.store.Delete(formatter.Closures, centre)
	case planner.RolloutGood, planner.RolloutBad:
		r.rollOut(ctx, s)
	case planner.Burst:
		r.burst.Add(1)
		r.sleep(ctx, s.Length)
		r.burst.Add(-1)
	case planner.Surge:
		r.surge(ctx, s.Length)
		r.sleep(ctx, time.Duration(s.Draw)*surgeGapStep)
		r.surge(ctx, s.Length)
	case planner.RequestsCrash:
		r.crashing.Store(&s)
		r.sleep(ctx, s.Length)
		r.crashing.Store(nil)
	case planner.Leave:
		r.leaving.Add(1)
		r.sleep(ctx, s.Length)
		r.leaving.Add(-1)
	}
}
