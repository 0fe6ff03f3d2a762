package runner

import (
	"bufio"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// maxLineBytes bounds a line of a process, which may hold the longest body.
const maxLineBytes = 8 << 20

// process is a process that the runner started.
type process struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser
	// done is closed when the process has ended.
	done chan struct{}
	// ended is true once the runner has sent a signal to end it.
	ended atomic.Bool
}

// startProcess starts a program, whose standard error, and standard output unless
// onLine is nil, is appended to the file log. It ends with the runner.
func startProcess(log string, env []string, onLine func([]byte), program string, args ...string) (*process, error) {
	file, err := os.OpenFile(filepath.Clean(log), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	p := &process{cmd: exec.Command(program, args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stderr = file
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	lines := make(chan struct{})
	if onLine == nil {
		p.cmd.Stdout = file
		close(lines)
	} else {
		out, err := p.cmd.StdoutPipe()
		if err != nil {
			return nil, err
		}
		go func() {
			defer close(lines)
			scanner := bufio.NewScanner(out)
			scanner.Buffer(nil, maxLineBytes)
			for scanner.Scan() {
				onLine(scanner.Bytes())
			}
		}()
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		<-lines
		_ = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// signal sends a signal, unless the process has ended.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.ended.Store(true)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// terminate ends the process by SIGTERM, and after grace by SIGKILL, and waits for its
// end. It reports whether the process ended by itself.
func (p *process) terminate(grace time.Duration) bool {
	p.ended.Store(true)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return true
	case <-time.After(grace):
		p.kill()
		return false
	}
}

// running reports whether the process runs.
func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// pid returns the id of the process.
func (p *process) pid() int { return p.cmd.Process.Pid }

// memory and peakMemory return the resident memory of the process and the highest so far in bytes, or 0.
func (p *process) memory() int64     { return p.status("VmRSS:") }
func (p *process) peakMemory() int64 { return p.status("VmHWM:") }

// status returns the bytes that the kernel names for the process, or 0.
func (p *process) status(name string) int64 {
	data, err := os.ReadFile(p.path("status"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), name)
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kib, err := strconv.ParseInt(fields[0], 10, 64)
	if err != nil {
		return 0
	}
	return kib << 10
}

// descriptors returns the number of open files of the process.
func (p *process) descriptors() int {
	entries, err := os.ReadDir(p.path("fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// waits returns, for each thread, how long it has waited for a processor.
func (p *process) waits() map[string]time.Duration {
	tasks, err := filepath.Glob(p.path("task/*/schedstat"))
	if err != nil {
		return nil
	}
	waits := make(map[string]time.Duration)
	for _, task := range tasks {
		data, err := os.ReadFile(filepath.Clean(task))
		if err != nil {
			continue
		}
		if fields := strings.Fields(string(data)); len(fields) > 1 {
			if ns, err := strconv.ParseInt(fields[1], 10, 64); err == nil {
				waits[task] = time.Duration(ns)
			}
		}
	}
	return waits
}

func (p *process) path(name string) string {
	return "/proc/" + strconv.Itoa(p.pid()) + "/" + name
}
