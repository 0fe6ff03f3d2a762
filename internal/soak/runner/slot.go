package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"samphireturn/internal/soak/judge"
	"samphireturn/internal/standin/formatter"
	"samphireturn/internal/standin/worker"
)

const (
	poolApp, poolModel = "app", "llm"
	// events is the number of events of a stream.
	events = 6
	// expiryTime is the time after which the entry of an endpoint that sends nothing
	// expires.
	expiryTime = 3 * 1200 * time.Millisecond
	dialWait   = 5 * time.Second
	// crashPause is the time from a crash by a request until the next endpoint starts.
	crashPause = 3 * time.Second
	// exitTime is the time in which an endpoint ends after SIGTERM.
	exitTime = 3 * time.Second
)

var (
	pools   = []string{poolApp, poolModel}
	centres = []string{"north", "south"}
)

// slot is a machine for endpoints, which run there one after the other. Its mutex
// guards the fields below it.
type slot struct {
	runner *Runner
	name   string
	index  int

	mu                    sync.Mutex
	pool, centre, release string
	id                    string
	starts                int
	// startedAt is when the process started, in Unix milliseconds.
	startedAt      int64
	process        *process
	busy, finished bool
}

func (r *Runner) newSlot(index int) *slot {
	return &slot{runner: r, index: index, name: "e" + strconv.Itoa(index+1), release: firstRelease}
}

// open relays the connections to the slot and starts its first endpoint.
func (s *slot) open() error {
	r := s.runner
	if err := r.links.Listen("", s.name, r.addr(endpointPublicNet, s.index+1, endpointPort), r.addr(endpointNet, s.index+1, endpointPort)); err != nil {
		return err
	}
	return s.start()
}

// take reserves the slot for one step.
func (s *slot) take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy || s.finished || s.process == nil {
		return false
	}
	s.busy = true
	return true
}

func (s *slot) free() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = false
}

// start starts an endpoint with a new id, waits until it listens and writes its entry.
func (s *slot) start() error {
	r := s.runner
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished {
		return nil
	}
	s.starts++
	s.startedAt = time.Now().UnixMilli()
	s.id = fmt.Sprintf("i-%s-%d", s.name, s.starts)
	addr := r.addr(endpointNet, s.index+1, endpointPort)
	args := []string{"server", "--listen", addr, "--id", s.id, "--seed", strconv.FormatUint(r.Seed, 10)}
	if s.pool == poolModel {
		args = append(args, "--events", strconv.Itoa(events))
	}
	record := judge.Run{Endpoint: s.id, Slot: s.name, Pool: s.pool, Centre: s.centre, Release: s.release}
	p, err := startProcess(r.path(s.name+".log"), nil, func(line []byte) {
		run := record
		if err := json.Unmarshal(line, &run.Run); err != nil {
			// The last line of a killed process may be cut.
			return
		}
		run.Daemon = r.daemonAt(run.From)
		r.judge.AddRun(run)
	}, r.StandinProgram, args...)
	if err != nil {
		return err
	}
	s.process = p
	go s.watch(p, s.id)
	for deadline := time.Now().Add(dialWait); time.Now().Before(deadline); time.Sleep(readyInterval) {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			_ = c.Close()
			break
		}
	}
	if err := r.links.SetDown(s.name, false); err != nil {
		return err
	}
	r.judge.Disrupt(judge.Disruption{Machine: s.name})()
	return s.putEntry(false)
}

// putEntry writes the entry of the endpoint. The caller holds mu.
func (s *slot) putEntry(leaving bool) error {
	return s.runner.store.Put(formatter.Servers, s.id, formatter.Server{
		Pool: s.pool, Addr: s.runner.addr(endpointPublicNet, s.index+1, endpointPort), Centre: s.centre,
		Release: s.release, Slots: 8, Leaving: leaving, Writes: s.starts, Started: s.startedAt,
	})
}

// crash kills the endpoint. Its entry expires later.
func (s *slot) crash() (over func()) {
	s.mu.Lock()
	id, p := s.id, s.process
	s.mu.Unlock()
	over = s.runner.judge.Disrupt(judge.Disruption{Machine: s.name})
	p.kill()
	time.AfterFunc(expiryTime, func() { s.runner.store.Delete(formatter.Servers, id) })
	return over
}

// watch waits for the end of an endpoint's process, whose address refuses connections then. If a
// request crashed it, another is started after crashPause.
func (s *slot) watch(p *process, id string) {
	<-p.done
	time.Sleep(s.runner.CloseDelay)
	s.mu.Lock()
	if s.process == p {
		if err := s.runner.links.SetDown(s.name, true); err != nil {
			s.runner.violate("end of %s: %v", s.name, err)
		}
	}
	s.mu.Unlock()
	if p.ended.Load() {
		return
	}
	over := s.runner.judge.Disrupt(judge.Disruption{Machine: s.name})
	defer over()
	time.AfterFunc(expiryTime, func() { s.runner.store.Delete(formatter.Servers, id) })
	for time.Sleep(crashPause); !s.take(); time.Sleep(readyInterval) {
		s.mu.Lock()
		replaced := s.finished || s.process != p
		s.mu.Unlock()
		if replaced {
			return
		}
	}
	defer s.free()
	s.mu.Lock()
	replaced := s.process != p
	s.mu.Unlock()
	if !replaced {
		s.restart("", "")
	}
}

// replace kills the endpoint and starts another, after pause, in a pool and of a
// release. Empty ones don't change.
func (s *slot) replace(ctx context.Context, pause time.Duration, pool, release string) {
	over := s.crash()
	s.runner.sleep(ctx, pause)
	s.restart(pool, release)
	over()
}

// restart starts another endpoint.
func (s *slot) restart(pool, release string) {
	s.mu.Lock()
	if pool != "" {
		s.pool = pool
	}
	if release != "" {
		s.release = release
	}
	s.mu.Unlock()
	if err := s.start(); err != nil {
		s.runner.violate("start of %s: %v", s.name, err)
	}
}

// leave takes the endpoint out of service: it announces that it leaves, or its entry
// ends. It serves on for a time and exits.
func (s *slot) leave(ctx context.Context, announce bool, serve time.Duration) {
	s.mu.Lock()
	id, p := s.id, s.process
	if announce {
		if err := s.putEntry(true); err != nil {
			s.runner.violate("entry of %s: %v", s.name, err)
		}
	} else {
		s.runner.store.Delete(formatter.Servers, id)
	}
	s.mu.Unlock()
	s.runner.judge.Leave(id)
	s.runner.sleep(ctx, max(serve, bounds.Drain+time.Second/2))
	over := s.runner.judge.Disrupt(judge.Disruption{Machine: s.name})
	p.terminate(exitTime)
	over()
	s.runner.store.Delete(formatter.Servers, id)
}

// inject makes the endpoint give a part of its answers with a fault, until the next
// call.
func (s *slot) inject(fault string, share float64) { s.injectPause(fault, share, "") }

// injectPause is inject of a fault whose refusals ask for a pause, in seconds.
func (s *slot) injectPause(fault string, share float64, pause string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line, err := json.Marshal(map[string]any{"fault": fault, "share": share, "pause": pause})
	if err == nil && s.process != nil {
		_, _ = s.process.stdin.Write(append(line, '\n'))
	}
}

// pause stops the process for a time.
func (s *slot) pause(ctx context.Context, length time.Duration) {
	s.mu.Lock()
	p := s.process
	s.mu.Unlock()
	over := s.runner.judge.Disrupt(judge.Disruption{Machine: s.name})
	p.signal(syscall.SIGSTOP)
	s.runner.sleep(ctx, length)
	p.signal(syscall.SIGCONT)
	over()
}

// faults returns the faults that answers of the endpoint can have.
func (s *slot) faults() []string {
	common := []string{worker.FaultShed, worker.FaultFail, worker.FaultTruncated, worker.FaultNoAnswer, worker.FaultUnsealed, worker.FaultBusy, worker.FaultEncoded}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool == poolApp {
		return append(common, worker.FaultExtra, worker.FaultUnframed)
	}
	return common
}

// close ends the slot for good.
func (s *slot) close() {
	s.mu.Lock()
	s.finished = true
	p := s.process
	s.mu.Unlock()
	if p != nil {
		p.kill()
	}
}

// retire takes the slot out of use.
func (s *slot) retire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished, s.pool = true, ""
}

// state returns the pool and the release of the endpoint.
func (s *slot) state() (pool, release string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool, s.release
}

// involves matches the connections to the slot.
func (s *slot) involves(_, to string) bool { return to == s.name }

// allSlots returns all slots.
func (r *Runner) allSlots() []*slot {
	r.slotsMu.Lock()
	defer r.slotsMu.Unlock()
	return append([]*slot(nil), r.slots...)
}

// processes returns the running processes by the name of their machine.
func (r *Runner) processes() map[string]*process {
	named := make(map[string]*process)
	for _, d := range r.daemons {
		if p := d.current(); p != nil && p.running() {
			named[d.name] = p
		}
	}
	for _, s := range r.allSlots() {
		s.mu.Lock()
		if s.process != nil && s.process.running() {
			named[s.name] = s.process
		}
		s.mu.Unlock()
	}
	return named
}
