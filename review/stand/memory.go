package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["memory"] = memoryScenario }

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// memoryScenario has clients send drafts with long bodies, each within maxBodyBytes: some at a
// time, or 1.7 times as many, beside usual bookings. The platform's part, played here, ends a
// process whose memory exceeds memoryMb.
func memoryScenario(dir string, record *Record, trouble bool) (int, error) {
	const (
		memoryMb = 134     // memoryMb of the site
		bodySize = 4 << 20 // maxBodyBytes
		usual    = 20      // drafts with such a body at a time
		burst    = 1.7     // the largest x of a burst of the site
		rounds   = 4
		bodyTime = 34 * time.Millisecond
		// firstEvent is the time to the first event of a draft; its aim is 4 s.
		firstEvent = 2000 * time.Millisecond
	)
	var (
		mu   sync.Mutex
		runs = make(map[string]string)
	)
	onRun := func(s *Server, r *http.Request, _ []byte) {
		mu.Lock()
		defer mu.Unlock()
		runs[r.Header.Get("Attempt-Id")] = s.ID
	}
	f, _, err := Setup(dir, 3, 3, nil, Plain(60*time.Millisecond), onRun)
	if err != nil {
		return failed, err
	}
	defer f.Stop()
	draft := func(s *Server, c net.Conn, r *http.Request, body []byte) bool {
		time.Sleep(firstEvent)
		return Stream(s, c, r, body)
	}
	if err := f.AddEngines(6, 64, draft, onRun); err != nil {
		return failed, err
	}
	if err := f.Start(); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	d := f.Daemons[0]
	var (
		most   atomic.Int64
		killed atomic.Bool
		stop   = make(chan struct{})
		watch  sync.WaitGroup
	)
	pid := d.cmd.Process.Pid
	watch.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			n := residentBytes(pid)
			most.Store(max(most.Load(), n))
			if n > memoryMb<<20 && !killed.Load() {
				record.Line("%s uses %d bytes of memory, more than %d MiB: the platform ends it", d.Name, n, memoryMb)
				killed.Store(true)
				d.Signal(syscall.SIGKILL)
			}
		}
	})
	type sent struct {
		id, kind string
		kept     bool
		status   int
	}
	var all []*sent
	send := func(c *Conn, kind, prefix string, size int, timeout time.Duration, kept bool) bool {
		q := &sent{id: NewID(), kind: kind, kept: kept}
		mu.Lock()
		all = append(all, q)
		mu.Unlock()
		if err := c.Send(Request{Method: http.MethodPost, Path: prefix + q.id, Host: host, ID: q.id, Header: []string{Auth}, Body: make([]byte, size), Timeout: timeout}); err != nil {
			return false
		}
		res, _, err := c.Receive(http.MethodPost, time.Now().Add(timeout+time.Second))
		if res == nil || err != nil {
			return false
		}
		mu.Lock()
		q.status = res.StatusCode
		mu.Unlock()
		return true
	}
	var clients sync.WaitGroup
	end := make(chan struct{})
	// Other clients book as usual on kept connections.
	for range 24 {
		clients.Go(func() {
			for {
				c, err := Dial(d.Frontend)
				if err != nil {
					return
				}
				for kept := false; send(c, "booking", unsafeP, 600, 1500*time.Millisecond, kept); kept = true {
					select {
					case <-end:
						c.Close()
						return
					case <-time.After(20 * time.Millisecond):
					}
				}
				c.Close()
				if killed.Load() {
					return
				}
			}
		})
	}
	time.Sleep(time.Second)
	n := usual
	if trouble {
		x := burst * usual
		n = int(x)
	}
	for round := range rounds {
		if killed.Load() {
			break
		}
		record.Line("round %d: %d drafts with a body of %d bytes each", round+1, n, bodySize)
		var big sync.WaitGroup
		for range n {
			// A body takes this long at linkMbps, so they don't come at the same moment.
			time.Sleep(bodyTime)
			big.Go(func() {
				c, err := Dial(d.Frontend)
				if err != nil {
					return
				}
				defer c.Close()
				send(c, "draft", streamP, bodySize, 25*time.Second, false)
			})
		}
		big.Wait()
		time.Sleep(500 * time.Millisecond)
	}
	close(end)
	clients.Wait()
	close(stop)
	watch.Wait()
	mu.Lock()
	defer mu.Unlock()
	statuses := make(map[string]int)
	lost := 0
	for _, q := range all {
		server, ran := runs[q.id]
		statuses[fmt.Sprintf("%s: status %d, ran %v", q.kind, q.status, ran)]++
		if q.status == 0 && ran && q.kept {
			lost++
			record.Line("%s %s on a kept connection ran at %s and its connection ended without an answer", q.kind, q.id, server)
		}
	}
	for k, n := range statuses {
		record.Line("%s: %d", k, n)
	}
	record.Line("most memory %d bytes; the process was ended: %v; requests on kept connections lost: %d", most.Load(), killed.Load(), lost)
	if statuses["booking: status 200, ran true"] < 50 {
		return failed, errors.New("too few bookings were answered")
	}
	if killed.Load() && lost > 3 {
		return broken, nil
	}
	return held, nil
}
