// Package runner runs daemons and endpoints as processes of one machine, with callers
// and the store in its own process, disrupts them by a schedule and checks their
// promises.
package runner

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"samphireturn/internal/soak/disruptor"
	"samphireturn/internal/soak/judge"
	"samphireturn/internal/soak/planner"
	"samphireturn/internal/standin/registrar"
)

const (
	recoveryTime = 12 * time.Second
	// measureTime is the span whose requests show that the fleet serves, and minServed
	// the part of them that must be served after recoveryTime. The run ends earlier if
	// each daemon serves recoveredShare.
	measureTime    = time.Second
	minServed      = 0.25
	recoveredShare = 0.75
	// startTime bounds the time in which the daemons become ready at first.
	startTime = 30 * time.Second
	// settleTime is the time for requests in flight to end at the end of a run.
	settleTime    = 2 * time.Second
	checkInterval = 2 * time.Second
	readyInterval = 20 * time.Millisecond

	memoryLimit     = 134 << 20
	descriptorLimit = 4100 - 200
	// stallTime is the time without a processor after which a process counts as slowed.
	stallTime     = 250 * time.Millisecond
	tickInterval  = 20 * time.Millisecond
	waitsInterval = 500 * time.Millisecond

	firstBlock, lastBlock = 16, 250
)

// bounds are the bounds of the promises in the settings of the daemons.
var bounds = judge.Bounds{
	StableWindow: 3 * time.Second, Drain: 2 * time.Second, Revoke: 5 * time.Second, Apply: 2 * time.Second,
	Evacuate: 5 * time.Second, MaxStretch: 5 * time.Second, Grace: 8 * time.Second, Back: 250 * time.Millisecond, LossSlack: 200 * time.Millisecond,
	CanaryShare: 0.15, CanaryExtra: 30, RetryShare: 0.9, RetryExtra: 56, RetryWindow: 10 * time.Second,
}

type (
	// Runner is one run. Set the exported fields before Run; all but Kinds, EarlierProgram,
	// RetryShare, RetryExtra, CloseDelay and Settings are required.
	Runner struct {
		Seed uint64
		// Daemons is the number of daemons; Endpoints is that of each of two pools.
		Daemons, Endpoints int
		// Callers is the number of callers, each with one request in flight.
		Callers int
		// Duration is the time in which faults begin.
		Duration time.Duration
		// Kinds limits the kinds of faults; empty means all.
		Kinds []string
		// DaemonProgram and StandinProgram are the paths of the programs.
		DaemonProgram, StandinProgram string
		// EarlierProgram is the path of a daemon program of another build; empty for none. The
		// daemons start with it and are replaced by DaemonProgram and back.
		EarlierProgram string
		// RetryShare and RetryExtra replace the daemons' bound on retries if RetryShare is above
		// 0.
		RetryShare, RetryExtra float64
		// CloseDelay is how long the address of an endpoint whose process has ended accepts connections.
		CloseDelay time.Duration
		// Settings holds lines that are added to the daemons' settings files.
		Settings []string
		// Dir is an existing directory for settings and logs.
		Dir string
		// Log receives the schedule as it is carried out.
		Log io.Writer

		judge    judge.Judge
		links    disruptor.Disruptor
		store    registrar.Registrar
		block    int
		guard    net.Listener
		daemons  []*daemon
		slotsMu  sync.Mutex
		slots    []*slot
		started  time.Time
		logMu    sync.Mutex
		version  atomic.Int64
		releases atomic.Int64
		// callers is the number of callers so far.
		callers atomic.Int64
		burst   atomic.Int64
		leaving atomic.Int64
		// crashing holds the step in which some requests crash endpoints; nil for none.
		crashing  atomic.Pointer[planner.Step]
		storeBusy atomic.Bool
		closing   atomic.Bool
		rolling   atomic.Bool
		// replaceMu is held while the daemons are replaced.
		replaceMu  sync.Mutex
		wait       sync.WaitGroup
		closeStore func()
		// wrapStore replaces the handler of the store, if not nil.
		wrapStore func(http.Handler) http.Handler
		configMu  sync.Mutex
		ownMu     sync.Mutex
		own       []string
	}

	// Report is the result of a run.
	Report struct {
		Seed uint64
		// Requests and Runs are their numbers; InTouch and Served those of the requests that
		// undisturbed daemons handled and that were answered with success.
		Requests, Runs, InTouch, Served int
		// Recovery is the time from the end of the faults until each daemon served again.
		Recovery time.Duration
		// RetryPeak is the greatest part of the bound on retries that was used in a window.
		RetryPeak float64
		// Violations names the broken promises.
		Violations []string
	}
)

// Run carries out the schedule of the seed. It returns early with the violations found
// when a promise is broken.
func (r *Runner) Run(ctx context.Context) (report Report, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer r.close()
	defer cancel()
	report.Seed = r.Seed
	r.judge.Bounds = bounds
	if r.RetryShare > 0 {
		r.judge.Bounds.RetryShare, r.judge.Bounds.RetryExtra = r.RetryShare, r.RetryExtra
	}
	if err := r.open(ctx); err != nil {
		return report, err
	}
	r.started = time.Now()
	r.wait.Go(func() { r.watchStalls(ctx) })
	r.wait.Go(func() { r.watchWaits(ctx) })
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	for range r.Callers {
		r.addCaller(callersCtx)
	}
	violations := r.carryOut(ctx)
	if len(violations) == 0 {
		report.Recovery, violations = r.recover(ctx)
	}
	stopCallers()
	r.sleep(ctx, settleTime)
	report.Requests, report.Runs, report.InTouch = r.judge.Counts()
	report.RetryPeak = r.judge.RetryPeak()
	report.Served, _ = r.judge.Served("", r.started, time.Now())
	for _, d := range r.daemons {
		if err := d.checkMessages(); err != nil {
			return report, err
		}
	}
	violations = append(violations, r.violations()...)
	slices.Sort(violations)
	report.Violations = slices.Compact(violations)
	return report, ctx.Err()
}

// addCaller adds a caller that sends requests until ctx ends.
func (r *Runner) addCaller(ctx context.Context) {
	i := int(r.callers.Add(1)) - 1
	c := &caller{runner: r, index: i, random: rand.New(rand.NewPCG(r.Seed, uint64(i)+1))}
	r.wait.Go(func() { c.run(ctx) })
}

// surge adds callers for a time.
func (r *Runner) surge(ctx context.Context, length time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	for range surgeFactor * r.Callers {
		r.addCaller(ctx)
	}
	<-ctx.Done()
}

// carryOut carries out the schedule and returns the first violations.
func (r *Runner) carryOut(ctx context.Context) []string {
	steps := planner.Plan(r.Seed, r.size())
	var wait sync.WaitGroup
	stepsCtx, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		wait.Wait()
	}()
	next := r.started.Add(checkInterval)
	for _, s := range steps {
		for at := r.started.Add(s.At); time.Now().Before(at) && ctx.Err() == nil; {
			r.sleep(ctx, min(time.Until(at), time.Until(next)))
			if time.Now().Before(next) {
				continue
			}
			if v := r.violations(); len(v) > 0 {
				return v
			}
			next = time.Now().Add(checkInterval)
		}
		wait.Go(func() { r.do(stepsCtx, s) })
	}
	wait.Wait()
	r.sleep(ctx, time.Until(r.started.Add(r.Duration)))
	return nil
}

func (r *Runner) size() planner.Size {
	return planner.Size{Daemons: r.Daemons, Endpoints: 2 * r.Endpoints, Duration: r.Duration, Kinds: r.Kinds, Replace: r.EarlierProgram != ""}
}

// recover waits until each daemon serves again, and returns how long that took, or what
// is not served after recoveryTime.
func (r *Runner) recover(ctx context.Context) (time.Duration, []string) {
	end := time.Now()
	for {
		from := time.Now()
		r.sleep(ctx, measureTime)
		if r.recovered(from, time.Now()) {
			return time.Since(end), nil
		}
		if ctx.Err() != nil || time.Since(end) > recoveryTime {
			break
		}
	}
	from := time.Now()
	r.sleep(ctx, measureTime+settleTime)
	served, ended := r.judge.Served("", from, from.Add(measureTime))
	if float64(served) < minServed*float64(ended) || ended == 0 {
		return time.Since(end), []string{fmt.Sprintf("recover: %d of %d requests served %v after the faults", served, ended, time.Since(end))}
	}
	return time.Since(end), nil
}

// recovered reports whether each daemon served recoveredShare of its requests.
func (r *Runner) recovered(from, to time.Time) bool {
	for _, d := range r.daemons {
		served, ended := r.judge.Served(d.name, from, to)
		if ended == 0 || float64(served) < recoveredShare*float64(ended) {
			return false
		}
	}
	return true
}

// violations returns all violations so far.
func (r *Runner) violations() []string {
	for _, d := range r.daemons {
		d.checkLimits()
	}
	r.ownMu.Lock()
	own := slices.Clone(r.own)
	r.ownMu.Unlock()
	return append(r.judge.Violations(), own...)
}

// violate records a violation that the judge doesn't see.
func (r *Runner) violate(format string, args ...any) {
	r.ownMu.Lock()
	defer r.ownMu.Unlock()
	r.own = append(r.own, fmt.Sprintf(format, args...))
}

// logf prints a line with the time since the start of the schedule.
func (r *Runner) logf(format string, args ...any) {
	r.logMu.Lock()
	defer r.logMu.Unlock()
	at := 0.0
	if !r.started.IsZero() {
		at = time.Since(r.started).Seconds()
	}
	_, _ = fmt.Fprintf(r.Log, "%s %7.2f s %s\n", time.Now().Format("15:04:05.000"), at, fmt.Sprintf(format, args...))
}

// open starts the store, the endpoints and the daemons, and waits until they serve.
func (r *Runner) open(ctx context.Context) error {
	if err := r.takeBlock(); err != nil {
		return err
	}
	for i := range r.Daemons {
		r.daemons = append(r.daemons, r.newDaemon(i))
	}
	r.links.Identify = r.identify
	r.links.Source = r.source
	if err := r.openStore(); err != nil {
		return err
	}
	r.store.StartEra(1)
	r.configure()
	for i := range 2 * r.Endpoints {
		s := r.newSlot(i)
		s.pool, s.centre = pools[i%2], centres[i/2%2]
		r.slotsMu.Lock()
		r.slots = append(r.slots, s)
		r.slotsMu.Unlock()
		if err := s.open(); err != nil {
			return err
		}
	}
	for _, d := range r.daemons {
		if err := d.open(); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	for _, d := range r.daemons {
		for !d.ready(ctx) {
			r.sleep(ctx, readyInterval)
			if ctx.Err() != nil {
				return errors.Errorf("%s is not ready after %v", d.name, startTime)
			}
		}
	}
	return nil
}

// takeBlock takes a block of loopback addresses that no other run uses.
func (r *Runner) takeBlock() error {
	for b := firstBlock; b <= lastBlock; b++ {
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.2:6999", b))
		if err == nil {
			r.block, r.guard = b, ln
			return nil
		}
	}
	return errors.New("no free block of loopback addresses")
}

// addr returns an address of the block.
func (r *Runner) addr(net, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", r.block, net, host, port)
}

// openStore serves the store.
func (r *Runner) openStore() error {
	ln, err := net.Listen("tcp", r.addr(storeNet, 1, storePort+1))
	if err != nil {
		return err
	}
	h := r.translate(&r.store)
	if r.wrapStore != nil {
		h = r.wrapStore(h)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	r.wait.Go(func() { _ = s.Serve(ln) })
	r.closeStore = func() { _ = s.Close() }
	return r.links.Listen("", storeName, r.addr(storeNet, 1, storePort), ln.Addr().String())
}

// close ends all processes and goroutines of the run.
func (r *Runner) close() {
	for _, d := range r.daemons {
		d.close()
	}
	for _, s := range r.allSlots() {
		s.close()
	}
	r.links.Close()
	if r.closeStore != nil {
		r.closeStore()
	}
	r.wait.Wait()
	if r.guard != nil {
		_ = r.guard.Close()
	}
}

// watchStalls records when the whole machine stalls.
func (r *Runner) watchStalls(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		r.sleep(ctx, tickInterval)
		now := time.Now()
		if now.Sub(last) > stallTime {
			r.logf("the machine stalled for %v", now.Sub(last))
			r.judge.Disrupt(judge.Disruption{Machine: judge.Everything, From: last})()
		}
		last = now
	}
}

// watchWaits records when a process waits for a processor.
func (r *Runner) watchWaits(ctx context.Context) {
	last := make(map[string]time.Duration)
	for ctx.Err() == nil {
		from := time.Now()
		r.sleep(ctx, waitsInterval)
		for name, p := range r.processes() {
			for task, wait := range p.waits() {
				before, ok := last[task]
				last[task] = wait
				if ok && wait-before > stallTime {
					r.logf("%s waited %v for a processor", name, wait-before)
					r.judge.Disrupt(judge.Disruption{Machine: name, From: from})()
				}
			}
		}
	}
}

// sleep waits for d or until ctx ends.
func (*Runner) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (r *Runner) path(name string) string { return filepath.Join(r.Dir, name) }

// String returns the report as text, with a line for each violation.
func (r Report) String() string {
	text := fmt.Sprintf("seed %d: %d requests (%d in touch), %d runs, %d served, retries up to %.0f %% of their bound, recovered in %v, %d violations",
		r.Seed, r.Requests, r.InTouch, r.Runs, r.Served, percent*r.RetryPeak, r.Recovery.Round(time.Millisecond), len(r.Violations))
	for _, v := range r.Violations {
		text += "\n  " + v
	}
	return text
}
