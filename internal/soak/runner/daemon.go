package runner

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"samphireturn/internal/soak/disruptor"
	"samphireturn/internal/soak/judge"
)

const (
	storeName, callersName = "store", "callers"

	// The parts of the block of addresses: the store, the daemons' own addresses and
	// those that others use, the same of endpoints, and the sources of daemons' calls to the store and to endpoints.
	storeNet, daemonNet, daemonPublicNet, endpointPublicNet, endpointNet, sourceNet = 0, 1, 2, 3, 4, 5

	storePort, listenPort, readinessPort, peerPort, endpointPort = 7000, 8227, 8220, 7340, 8000

	readinessTimeout = 500 * time.Millisecond
)

// rejection matches the lines of a daemon's log that say that it can't read what another
// daemon sent. Connections that break off match no line.
var rejection = regexp.MustCompile(`"service":"messenger".*"reason":"(proof|hello|frame)"|malformed message|unknown version`)

// daemon is one daemon, over all its processes.
type daemon struct {
	runner *Runner
	index  int
	name   string
	path   string

	mu      sync.Mutex
	process *process
	// program is the path of the program of the next process.
	program string
	starts  int
	// down is true while the process is ended and started by a step.
	down     bool
	finished bool
}

func (r *Runner) newDaemon(index int) *daemon {
	name := "d" + strconv.Itoa(index+1)
	program := r.DaemonProgram
	if r.EarlierProgram != "" {
		program = r.EarlierProgram
	}
	return &daemon{runner: r, index: index, name: name, path: r.path(name + ".conf"), program: program}
}

// open relays the connections to the daemon and starts its first process.
func (d *daemon) open() error {
	r := d.runner
	for port, from := range map[int]string{listenPort: callersName, peerPort: ""} {
		if err := r.links.Listen(from, d.name, r.addr(daemonPublicNet, d.index+1, port), r.addr(daemonNet, d.index+1, port)); err != nil {
			return err
		}
	}
	// checkMessages must not find what an earlier run in the same directory logged.
	if err := os.WriteFile(r.path(d.name+".log"), nil, 0o600); err != nil {
		return err
	}
	return d.start(true)
}

// start starts the process.
func (d *daemon) start(first bool) error {
	if err := d.writeSettings(first); err != nil {
		return err
	}
	d.mu.Lock()
	d.starts++
	program := d.program
	d.mu.Unlock()
	p, err := startProcess(d.runner.path(d.name+".log"), []string{"SAMPHIRETURN_SETTINGS=" + d.path}, nil, program, "--platform")
	if err != nil {
		return err
	}
	if d.runner.EarlierProgram != "" {
		d.runner.logf("%s started with %s", d.name, program)
	}
	d.mu.Lock()
	finished := d.finished
	d.process = p
	d.mu.Unlock()
	if finished {
		p.kill()
		return nil
	}
	if !first {
		d.runner.judge.Disrupt(judge.Disruption{Machine: d.name})()
	}
	d.runner.wait.Go(func() {
		<-p.done
		if !p.ended.Load() {
			d.runner.violate("end: %s ended by itself: %v", d.name, p.cmd.ProcessState)
		}
	})
	return nil
}

// take reports whether the daemon runs and no other step ends it, and reserves it.
func (d *daemon) take() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.down || d.finished {
		return false
	}
	d.down = true
	return true
}

// restart ends the process by end, and starts it after pause.
func (d *daemon) restart(ctx context.Context, planned bool, pause time.Duration, end func(*process)) {
	if d.take() {
		d.restartTaken(ctx, planned, pause, end)
	}
}

// replace shuts the daemon down and starts it with a program after pause. If another step has
// ended it, it waits until it runs again. A replacement that has begun when ctx ends is
// completed.
func (d *daemon) replace(ctx context.Context, program string, pause time.Duration) {
	for !d.take() {
		d.runner.sleep(ctx, readyInterval)
		if ctx.Err() != nil {
			return
		}
	}
	d.mu.Lock()
	d.program = program
	d.mu.Unlock()
	d.restartTaken(ctx, true, pause, terminate)
}

// terminate ends a process by SIGTERM, and after the grace time by SIGKILL.
func terminate(p *process) { p.terminate(bounds.Grace) }

// restartTaken is restart of a daemon that take has reserved.
func (d *daemon) restartTaken(ctx context.Context, planned bool, pause time.Duration, end func(*process)) {
	over := d.runner.judge.Disrupt(judge.Disruption{Machine: d.name, Planned: planned})
	end(d.current())
	over()
	d.runner.logf("%s ended", d.name)
	d.runner.sleep(ctx, pause)
	if err := d.start(false); err != nil {
		d.runner.violate("start of %s: %v", d.name, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = false
}

// current returns the process.
func (d *daemon) current() *process {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.process
}

// number returns the number of the process.
func (d *daemon) number() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.starts
}

// close ends the daemon for good.
func (d *daemon) close() {
	d.mu.Lock()
	d.finished = true
	p := d.process
	d.mu.Unlock()
	if p != nil {
		p.kill()
	}
}

// involves matches the connections from and to the daemon.
func (d *daemon) involves(from, to string) bool { return from == d.name || to == d.name }

// checkLimits records a violation if the process uses more than its limits.
func (d *daemon) checkLimits() {
	p := d.current()
	if p == nil || !p.running() {
		return
	}
	if peak := p.peakMemory(); peak > memoryLimit {
		d.runner.violate("memory: %s used %d MB", d.name, peak>>20)
	}
	if n := p.descriptors(); n > descriptorLimit {
		d.runner.violate("descriptors: %s has %d", d.name, n)
	}
}

// checkMessages records a violation if the daemon rejected messages of others.
func (d *daemon) checkMessages() error {
	log, err := os.ReadFile(d.runner.path(d.name + ".log"))
	if err != nil {
		return err
	}
	rejected, first := 0, ""
	for line := range strings.Lines(string(log)) {
		if !rejection.MatchString(line) {
			continue
		}
		if rejected++; rejected == 1 {
			first = strings.TrimSpace(line)
		}
	}
	if rejected > 0 {
		d.runner.violate("messages: %s rejected %d of other daemons, first %s", d.name, rejected, first)
	}
	return nil
}

// ready reports whether the daemon's readiness check succeeds.
func (d *daemon) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.runner.addr(daemonNet, d.index+1, readinessPort)+"/v1/ready", nil)
	if err != nil {
		return false
	}
	t := &http.Transport{DisableKeepAlives: true}
	res, err := t.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// writeSettings writes the settings file of the process.
func (d *daemon) writeSettings(first bool) error {
	r := d.runner
	ip := fmt.Sprintf("127.%d.%d.%d", r.block, daemonNet, d.index+1)
	var seeds bytes.Buffer
	for i := range min(r.Daemons, 3) {
		if i != d.index {
			_, _ = fmt.Fprintf(&seeds, "%s,", r.addr(daemonPublicNet, i+1, peerPort))
		}
	}
	text := fmt.Sprintf(`nodeName=%s
ip=%s
zone=%s
listen.frontend=%s:%d
listen.readiness=%s:%d
portRange=%d,%d
seeds=%s
bootstrap=%t
limits.cpuShare=0.4
limits.cpuCores=1
limits.memoryMb=%d
contractParams.strictRevoke=true
contractParams.drainMs=%d
contractParams.graceS=%v
contractParams.configApplyMs=%d
contractParams.revokeMs=%d
contractParams.retryBudgetRatio=%v
contractParams.budgetWindowS=%v
contractParams.retryBudgetExtra=%v
contractParams.canaryShare=%v
contractParams.canarySlack=%v
contractParams.sessionS=5
provider.address=%s
`, d.name, ip, centres[d.index%2], ip, listenPort, ip, readinessPort, peerPort, peerPort+15, bytes.TrimSuffix(seeds.Bytes(), []byte(",")), first,
		memoryLimit>>20, bounds.Drain.Milliseconds(), bounds.Grace.Seconds(), bounds.Apply.Milliseconds(), bounds.Revoke.Milliseconds(),
		r.judge.Bounds.RetryShare, bounds.RetryWindow.Seconds(), r.judge.Bounds.RetryExtra, bounds.CanaryShare, bounds.CanaryExtra, r.addr(storeNet, 1, storePort))
	for _, line := range r.Settings {
		text += line + "\n"
	}
	return os.WriteFile(d.path, []byte(text), 0o600)
}

// identify names the daemon at the remote end of a connection, or the callers.
func (r *Runner) identify(remote net.Addr) string {
	pids := make([]int, len(r.daemons))
	for i, d := range r.daemons {
		if p := d.current(); p != nil {
			pids[i] = p.pid()
		}
	}
	if i := disruptor.Owner(remote, pids); i >= 0 {
		return r.daemons[i].name
	}
	return ""
}

// source returns the address from which a daemon's calls reach the store and the endpoints.
func (r *Runner) source(from, to string) net.Addr {
	if to != storeName && r.isDaemon(to) {
		return nil
	}
	for _, d := range r.daemons {
		if d.name == from {
			return &net.TCPAddr{IP: net.ParseIP(fmt.Sprintf("127.%d.%d.%d", r.block, sourceNet, d.index+1))}
		}
	}
	return nil
}

// daemonAt returns the name of the daemon whose calls come from an address, or "".
func (r *Runner) daemonAt(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return ""
	}
	for _, d := range r.daemons {
		if host == fmt.Sprintf("127.%d.%d.%d", r.block, sourceNet, d.index+1) {
			return d.name
		}
	}
	return ""
}

// translate replaces the own addresses of daemons in what they write to the store by
// those that are relayed.
func (r *Runner) translate(h http.Handler) http.Handler {
	own, public := fmt.Sprintf("127.%d.%d.", r.block, daemonNet), fmt.Sprintf("127.%d.%d.", r.block, daemonPublicNet)
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.Method != http.MethodGet {
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			req.Body = io.NopCloser(bytes.NewReader(bytes.ReplaceAll(body, []byte(own), []byte(public))))
		}
		h.ServeHTTP(w, req)
	})
}
