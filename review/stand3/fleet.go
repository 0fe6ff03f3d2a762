package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	frontPort, readinessPort, controlPort, peerPort, storePort = 8227, 8220, 8229, 7340, 8223
	readyTime                                                  = 20 * time.Second
)

// fleet is a small deployment: the store and daemons, which are processes of their own.
type fleet struct {
	// block is the second number of its loopback addresses.
	block   int
	guard   net.Listener
	dir     string
	program string
	memory  int
	store   *store
	daemons []*daemon
}

// daemon is one daemon over all its processes.
type daemon struct {
	fleet *fleet
	name  string
	ip    string
	zone  string

	mu      sync.Mutex
	command *exec.Cmd
	// ended is closed when the process has ended; asked is true if the case ended it.
	ended chan struct{}
	asked bool
	// died counts the ends that the case did not ask for.
	died int
}

// newFleet takes a free block of loopback addresses and serves the store there.
func newFleet(dir string) (*fleet, error) {
	for block := 60; block < 250; block++ {
		guard, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", block, storePort))
		if err != nil {
			continue
		}
		f := &fleet{block: block, guard: guard, dir: dir, program: "target/samphireturnd", memory: 134, store: newStore()}
		go f.store.serve(guard)
		return f, nil
	}
	return nil, fmt.Errorf("no free block of loopback addresses")
}

// serverIP returns the address of a server by number.
func (f *fleet) serverIP(n int) string { return fmt.Sprintf("127.%d.3.%d", f.block, n) }

// start starts the given number of daemons, in three zones by turns, and waits until they are ready.
func (f *fleet) start(count int) error {
	zones := []string{"mvd-centro", "mvd-prado", "mvd-carrasco"}
	for i := range count {
		d := &daemon{fleet: f, name: fmt.Sprintf("frontend-%d", i+1), ip: fmt.Sprintf("127.%d.1.%d", f.block, i+1), zone: zones[i%len(zones)]}
		f.daemons = append(f.daemons, d)
	}
	for _, d := range f.daemons {
		if err := d.start(true); err != nil {
			return err
		}
	}
	for _, d := range f.daemons {
		if !d.awaitReady(readyTime) {
			return fmt.Errorf("%s is not ready after %v", d.name, readyTime)
		}
	}
	return nil
}

// settings returns the settings file of a daemon.
func (d *daemon) settings(first bool) string {
	f := d.fleet
	var seeds []string
	for _, other := range f.daemons[:min(len(f.daemons), 3)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", other.ip, controlPort))
	}
	lines := []string{
		"nodeName=" + d.name, "role=entry", "machineClass=frontend", "serves=frontend,control", "ip=" + d.ip, "zone=" + d.zone, "region=montevideo",
		"zones.mvd-centro=montevideo", "zones.mvd-prado=montevideo", "zones.mvd-carrasco=montevideo",
		fmt.Sprintf("listen.frontend=%s:%d", d.ip, frontPort), fmt.Sprintf("listen.readiness=%s:%d", d.ip, readinessPort),
		fmt.Sprintf("listen.control=%s:%d", d.ip, controlPort), fmt.Sprintf("portRange=%d,%d", peerPort, peerPort+15),
		"seeds=" + strings.Join(seeds, ","), fmt.Sprintf("bootstrap=%v", first), "inTolerance=false",
		"limits.cpuShare=0.4", "limits.cpuCores=1", fmt.Sprintf("limits.memoryMb=%d", f.memory), "limits.maxFds=4100", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=vip", "heartbeatMs=1200",
		"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,rollout",
		"faultTolerance.machines=2", "faultTolerance.zones=1", "faultTolerance.regions=0",
		"contractParams.seedLagS=3", "contractParams.addrReuseS=2", "contractParams.stableWindowMs=3000", "contractParams.ackMs=4000", "contractParams.syncS=4",
		"contractParams.drainMs=2000", "contractParams.graceS=8", "contractParams.lossSlackMs=200", "contractParams.configApplyMs=2000", "contractParams.backMs=250",
		"contractParams.maxStretchMs=5000", "contractParams.strictRevoke=true", "contractParams.revokeMs=5000", "contractParams.retryBudgetRatio=0.9",
		"contractParams.budgetWindowS=10", "contractParams.retryBudgetExtra=56", "contractParams.canaryShare=0.15", "contractParams.canarySlack=30",
		"contractParams.rollbackMs=5000", "contractParams.coldOver=1.5", "contractParams.coldSlack=5", "contractParams.evacuateMs=5000", "contractParams.recoveryS=12",
		"contractParams.passMs=120", "contractParams.retryAfterS=10", "contractParams.sessionS=5",
		fmt.Sprintf("provider.address=127.%d.0.1:%d", f.block, storePort), "provider.form=objects", "provider.writesPerS=400", "provider.readsPerS=2000",
		"provider.historyS=20", "provider.valueBytes=1048576", "provider.ttlMinMs=1000",
	}
	return strings.Join(lines, "\n") + "\n"
}

// start starts the process of a daemon with the command of the deploy file.
func (d *daemon) start(first bool) error {
	path := filepath.Join(d.fleet.dir, d.name+".conf")
	if err := os.WriteFile(path, []byte(d.settings(first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.fleet.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(d.fleet.program, "--platform")
	c.Env = []string{"SAMPHIRETURN_SETTINGS=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.command, d.ended, d.asked = c, ended, false
	d.mu.Unlock()
	go func() {
		_ = c.Wait()
		d.mu.Lock()
		if !d.asked {
			d.died++
		}
		d.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		d.asked = true
	}
	_ = d.command.Process.Signal(s)
}

// address is where clients connect.
func (d *daemon) address() string { return fmt.Sprintf("%s:%d", d.ip, frontPort) }

// ready reports whether the daemon says that it is ready.
func (d *daemon) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/ready", d.ip, readinessPort), nil)
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// awaitReady waits until the daemon says that it is ready.
func (d *daemon) awaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.ready() {
			return true
		}
	}
	return false
}

// stop ends all daemons.
func (f *fleet) stop() {
	for _, d := range f.daemons {
		d.mu.Lock()
		started := d.command != nil
		d.mu.Unlock()
		if started {
			d.signal(syscall.SIGKILL)
			<-d.ended
		}
	}
	_ = f.guard.Close()
}
