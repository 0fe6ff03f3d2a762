package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Daemon is one samphireturnd process on a loopback address of its own.
type Daemon struct {
	Name, IP, Zone string
	Frontend       string
	Readiness      string

	settings, log string
	fds           int
	cmd           *exec.Cmd
	done          chan struct{}
}

// Fleet is a small deployment: a store, daemons and servers.
type Fleet struct {
	Store   *Store
	Daemons []*Daemon
	Dir     string
	Zones   []string
	ports   []int
	ips     string
}

// freePorts returns ports that are free on all the given addresses.
func freePorts(ips []string, n int) ([]int, error) {
	var ports []int
	for len(ports) < n {
		l, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return nil, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		free := true
		for _, ip := range ips {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			l.Close()
		}
		if free {
			ports = append(ports, port)
		}
	}
	return ports, nil
}

// NewFleet starts a store and prepares n daemons in the zones.
func NewFleet(dir string, n int, zones []string, extra map[string]string) (*Fleet, error) {
	base := fmt.Sprintf("127.%d.%d", 20+os.Getpid()%200, (os.Getpid()/200)%250)
	var ips []string
	for i := range n {
		ips = append(ips, fmt.Sprintf("%s.%d", base, i+1))
	}
	ports, err := freePorts(ips, 4)
	if err != nil {
		return nil, err
	}
	store, err := NewStore("127.0.0.1")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Store: store, Dir: dir, Zones: zones, ports: ports, ips: base}
	var seeds []string
	for _, ip := range ips[:min(3, n)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, ports[2]))
	}
	for i, ip := range ips {
		d := &Daemon{
			Name: fmt.Sprintf("frontend-%s-%d", zones[i%len(zones)], i+1), IP: ip, Zone: zones[i%len(zones)],
			Frontend: fmt.Sprintf("%s:%d", ip, ports[0]), Readiness: fmt.Sprintf("%s:%d", ip, ports[1]),
			settings: filepath.Join(dir, fmt.Sprintf("boot-%d.conf", i+1)), log: filepath.Join(dir, fmt.Sprintf("daemon-%d.log", i+1)),
		}
		lines := []string{
			"nodeName=" + d.Name, "role=entry", "machineClass=frontend", "serves=frontend,control",
			"ip=" + ip, "zone=" + d.Zone, "region=montevideo",
		}
		for _, z := range zones {
			lines = append(lines, "zones."+z+"=montevideo")
		}
		lines = append(lines,
			"listen.frontend="+d.Frontend, "listen.readiness="+d.Readiness, fmt.Sprintf("listen.control=%s:%d", ip, ports[2]),
			fmt.Sprintf("portRange=%d,%d", ports[3], ports[3]), "seeds="+strings.Join(seeds, ","),
			"bootstrap=true", "inTolerance=false", "limits.cpuShare=0.4", "limits.cpuCores=1", "limits.memoryMb=134", "limits.maxFds=4100",
			"limits.linkMbps=1000.0", "limits.diskMb=0", "discovery=platform", "entry=vip", "heartbeatMs=1200",
			"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform,rollout",
			"faultTolerance.machines=2", "faultTolerance.zones=1", "faultTolerance.regions=0",
			"contractParams.seedLagS=3", "contractParams.addrReuseS=2", "contractParams.stableWindowMs=3000", "contractParams.ackMs=4000",
			"contractParams.syncS=4", "contractParams.drainMs=2000", "contractParams.graceS=8", "contractParams.lossSlackMs=200",
			"contractParams.configApplyMs=2000", "contractParams.backMs=250", "contractParams.maxStretchMs=5000",
			"contractParams.strictRevoke=true", "contractParams.revokeMs=5000", "contractParams.retryBudgetRatio=0.9",
			"contractParams.budgetWindowS=10", "contractParams.retryBudgetExtra=56", "contractParams.canaryShare=0.15",
			"contractParams.canarySlack=30", "contractParams.rollbackMs=5000", "contractParams.coldOver=1.5", "contractParams.coldSlack=5",
			"contractParams.evacuateMs=5000", "contractParams.recoveryS=12", "contractParams.passMs=120", "contractParams.retryAfterS=10",
			"contractParams.sessionS=5",
			"provider.address="+store.Addr, "provider.form=objects", "provider.writesPerS=400", "provider.readsPerS=2000",
			"provider.historyS=20", "provider.valueBytes=1048576", "provider.ttlMinMs=1000",
		)
		for i, line := range lines {
			name, _, _ := strings.Cut(line, "=")
			if v, ok := extra[name]; ok {
				lines[i] = name + "=" + v
			}
		}
		if err := os.WriteFile(d.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o644); err != nil {
			return nil, err
		}
		f.Daemons = append(f.Daemons, d)
	}
	return f, nil
}

// Start starts the daemon's process with the command of the deploy file.
func (d *Daemon) Start() error {
	out, err := os.OpenFile(d.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	command := "target/samphireturnd"
	if c := os.Getenv("DAEMON"); c != "" {
		command = c
	}
	if d.fds > 0 {
		d.cmd = exec.Command("/bin/bash", "-c", fmt.Sprintf("ulimit -n %d && exec %s --platform", d.fds, command))
	} else {
		d.cmd = exec.Command(command, "--platform")
	}
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SAMPHIRETURN_SETTINGS=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = out, out
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.done = make(chan struct{})
	go func(c *exec.Cmd, done chan struct{}) {
		_ = c.Wait()
		out.Close()
		close(done)
	}(d.cmd, d.done)
	return nil
}

// Restart starts the process again after its end. The fleet doesn't start for the first time.
func (d *Daemon) Restart() error {
	data, err := os.ReadFile(d.settings)
	if err != nil {
		return err
	}
	text := strings.Replace(string(data), "bootstrap=true", "bootstrap=false", 1)
	if err := os.WriteFile(d.settings, []byte(text), 0o644); err != nil {
		return err
	}
	return d.Start()
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) { _ = d.cmd.Process.Signal(s) }

// Alive reports whether the process has not ended.
func (d *Daemon) Alive() bool {
	select {
	case <-d.done:
		return false
	default:
		return true
	}
}

// Ready reports whether the daemon says that it is ready.
func (d *Daemon) Ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + d.Readiness + "/v1/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Start starts all daemons and waits until they are ready.
func (f *Fleet) Start() error {
	for _, d := range f.Daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	end := time.Now().Add(20 * time.Second)
	for _, d := range f.Daemons {
		for !d.Ready() {
			if time.Now().After(end) || !d.Alive() {
				return fmt.Errorf("daemon %s is not ready", d.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Stop ends all daemons.
func (f *Fleet) Stop() {
	for _, d := range f.Daemons {
		if d.cmd != nil && d.Alive() {
			d.Signal(syscall.SIGCONT)
			d.Signal(syscall.SIGKILL)
			<-d.done
		}
	}
}

// PeakKiB returns the greatest resident memory of the process so far in KiB.
func (d *Daemon) PeakKiB() int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.cmd.Process.Pid))
	for line := range strings.SplitSeq(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			n, _ := strconv.Atoi(fields[1])
			return n
		}
	}
	return 0
}
