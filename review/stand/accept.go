package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["accept"] = acceptScenario }

// kindOfRequest is a kind of request of the sheet that names maxFds 3,075: requests a second
// of the whole deployment.
type kindOfRequest struct {
	name, method, prefix string
	perSecond            float64
	body                 int
	timeout              time.Duration
}

var sheet = []kindOfRequest{
	{"long-transcript", http.MethodPost, streamP, 49.2, 12000, 25 * time.Second},
	{"brief-summary", http.MethodPost, streamP, 77.8, 830, 20 * time.Second},
	{"urgency-tag", http.MethodPost, streamP, 70.8, 2400, 5 * time.Second},
	{"callback-file", http.MethodPost, unsafeP, 49.4, 600, 600 * time.Millisecond},
	{"message-lookup", http.MethodGet, safeP, 19.8, 0, 600 * time.Millisecond},
}

// Stream answers with a short stream of events.
func Stream(s *Server, c net.Conn, r *http.Request, _ []byte) bool {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", s.Seal(r)); err != nil {
		return false
	}
	for i := from + 1; i <= 8; i++ {
		event := fmt.Sprintf("id: %d\ndata: %s\n\n", i, r.Header.Get("Attempt-Id"))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return false
		}
		time.Sleep(20 * time.Millisecond)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// acceptScenario has the traffic of a sheet come to three daemons or, with the loss of the
// others, to one. Each request comes on a connection of its own, which its client keeps open
// until the daemon closes it. Afterwards new clients try.
func acceptScenario(dir string, record *Record, trouble bool) (int, error) {
	const (
		lost      = 16 * time.Second       // the loss lasts
		touch     = 4 * time.Second        // stableWindowMs of the sheet
		fds       = 3075                   // the least maxFds of the sheet
		memoryMb  = 120                    // the least memoryMb of the sheet
		tries     = 20                     // clients that try a new connection afterwards
		pause     = 400 * time.Millisecond // between two of them
		afterLoss = 6 * time.Second
		needed    = 6000 // descriptors of this program
	)
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Max < needed {
		return failed, fmt.Errorf("this program may open %d files and needs %d: %v", limit.Max, needed, err)
	}
	var ran atomic.Int64
	onRun := func(*Server, *http.Request, []byte) { ran.Add(1) }
	f, _, err := Setup(dir, 3, 3, map[string]string{
		"limits.maxFds": strconv.Itoa(fds), "limits.memoryMb": strconv.Itoa(memoryMb), "contractParams.stableWindowMs": "4000", "contractParams.ackMs": "6000",
		"contractParams.syncS": "6", "contractParams.drainMs": "3000", "contractParams.configApplyMs": "3000", "contractParams.maxStretchMs": "6000",
		"contractParams.canaryShare": "0.12", "contractParams.recoveryS": "15", "contractParams.passMs": "200", "contractParams.sessionS": "6.5",
	}, Plain(15*time.Millisecond), onRun)
	if err != nil {
		return failed, err
	}
	defer f.Stop()
	if err := f.AddEngines(6, 64, Stream, onRun); err != nil {
		return failed, err
	}
	for _, d := range f.Daemons {
		d.fds = fds
	}
	if err := f.Start(); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	record.Line("%d daemons are ready, each with %d descriptors", len(f.Daemons), fds)
	var (
		mu       sync.Mutex
		statuses = make(map[string]int)
		open     atomic.Int64
		most     atomic.Int64
		clients  sync.WaitGroup
		next     atomic.Int64
	)
	live := f.Daemons
	request := func(k kindOfRequest, d *Daemon) {
		defer clients.Done()
		c, err := Dial(d.Frontend)
		if err != nil {
			mu.Lock()
			statuses[k.name+" no connection"]++
			mu.Unlock()
			return
		}
		if n := open.Add(1); n > most.Load() {
			most.Store(n)
		}
		defer open.Add(-1)
		defer c.Close()
		id := NewID()
		_ = c.Send(Request{Method: k.method, Path: k.prefix + id, Host: host, ID: id, Header: []string{Auth}, Body: make([]byte, k.body), Timeout: k.timeout})
		res, _, err := c.Receive(k.method, time.Now().Add(k.timeout))
		mu.Lock()
		switch {
		case res == nil:
			statuses[k.name+" no answer"]++
		case err != nil:
			statuses[fmt.Sprintf("%s %d cut", k.name, res.StatusCode)]++
		default:
			statuses[fmt.Sprintf("%s %d", k.name, res.StatusCode)]++
		}
		mu.Unlock()
		if res == nil {
			return
		}
		// The connection stays open for a next request until the daemon closes it.
		_ = c.SetReadDeadline(time.Now().Add(15 * time.Second))
		_, _ = c.r.Peek(1)
	}
	if trouble {
		for _, d := range f.Daemons[1:] {
			d.Signal(syscall.SIGKILL)
			record.Line("%s is lost", d.Name)
		}
		live = f.Daemons[:1]
	}
	end := time.Now().Add(lost)
	var senders sync.WaitGroup
	for _, k := range sheet {
		senders.Go(func() {
			tick := time.NewTicker(time.Duration(float64(time.Second) / k.perSecond))
			defer tick.Stop()
			for time.Now().Before(end) {
				<-tick.C
				clients.Add(1)
				go request(k, live[int(next.Add(1))%len(live)])
			}
		})
	}
	senders.Wait()
	record.Line("traffic of %d daemons ends; at most %d connections of clients were open", len(live), most.Load())
	if trouble {
		for _, d := range f.Daemons[1:] {
			if err := d.Restart(); err != nil {
				return failed, err
			}
			record.Line("%s is started again", d.Name)
		}
	}
	clients.Wait()
	record.Line("all connections of clients are closed: %d", open.Load())
	mu.Lock()
	for k, n := range statuses {
		record.Line("answered %s: %d", k, n)
	}
	mu.Unlock()
	record.Line("run by servers: %d", ran.Load())
	d := f.Daemons[0]
	record.Line("%s used at most %d KiB of memory; its limit is %d MiB", d.Name, d.PeakKiB(), memoryMb)
	time.Sleep(afterLoss)
	var (
		taken, notReady atomic.Int64
		trying          sync.WaitGroup
	)
	start := time.Now()
	for i := range tries {
		trying.Go(func() {
			ready := d.Ready()
			if !ready {
				notReady.Add(1)
			}
			id := NewID()
			status := "no connection"
			if c, err := Dial(d.Frontend); err == nil {
				status = "not read within 1 s"
				_ = c.Send(Request{Method: http.MethodGet, Path: safeP + id, Host: host, ID: id, Header: []string{Auth}, Timeout: 600 * time.Millisecond})
				if res, _, err := c.Receive(http.MethodGet, time.Now().Add(time.Second)); res != nil && err == nil {
					status = strconv.Itoa(res.StatusCode)
					taken.Add(1)
				}
				c.Close()
			}
			record.Line("client %d sends %s on a new connection to %s, ready %v: %s", i+1, id, d.Name, ready, status)
		})
		time.Sleep(pause)
	}
	trying.Wait()
	span := time.Since(start)
	record.Line("%d of %d clients were taken within %.1f s; not ready %d times; the process runs: %v", taken.Load(), tries, span.Seconds(), notReady.Load(), d.Alive())
	if notReady.Load() > 0 || !d.Alive() {
		return failed, errors.New("the daemon was not ready")
	}
	if taken.Load() == 0 && span >= touch {
		return broken, nil
	}
	return held, nil
}
