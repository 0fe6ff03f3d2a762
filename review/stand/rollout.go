package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["rollout"] = rolloutScenario }

// rolloutScenario brings in a version of which half of the requests fail. With trouble, the
// store is down while daemons find that out, and all daemons are killed and started again
// before it is back. The platform's part, played here, stops the old servers once the
// roll-out is done, and the new ones some seconds after it was rolled back.
func rolloutScenario(dir string, record *Record, trouble bool) (int, error) {
	const (
		duration  = 12 * time.Second // durationS of the order
		failShare = 0.5
		downAt    = 1600 * time.Millisecond // after the order
		downFor   = 8 * time.Second
		killAt    = 8900 * time.Millisecond
		touch     = 3 * time.Second // stableWindowMs
		rollback  = 5 * time.Second // rollbackMs
		length    = 32 * time.Second
		drain     = 3 * time.Second
		clients   = 8
		pause     = 500 * time.Millisecond // of a client between two requests: with 8 as many as on the sheet
	)
	type request struct {
		sent   time.Time
		unsafe bool
	}
	var (
		mu     sync.Mutex
		all    = make(map[string]request)
		failed = make(map[string]bool)
		bad    []time.Time // when the new version gave a bad answer
		late   []string
		calm   atomic.Int64 // when the store and all daemons have been sound for a while
		newRun int
	)
	onRun := func(s *Server, r *http.Request, _ []byte) {
		if s.Version != "v2" {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		newRun++
		id := r.Header.Get("Attempt-Id")
		if q, ok := all[id]; ok && len(bad) >= 50 && q.sent.Sub(bad[49]) > rollback {
			late = append(late, fmt.Sprintf("%s, sent %.3f s after the 50th bad answer", id, q.sent.Sub(bad[49]).Seconds()))
		}
	}
	answer := Plain(60 * time.Millisecond)
	serve := func(s *Server, c net.Conn, r *http.Request, body []byte) bool {
		if s.Version != "v2" || rand.Float64() >= failShare {
			return answer(s, c, r, body)
		}
		time.Sleep(60 * time.Millisecond)
		mu.Lock()
		failed[r.Header.Get("Attempt-Id")] = true
		if at := calm.Load(); at > 0 && time.Now().UnixNano() > at {
			bad = append(bad, time.Now())
		}
		mu.Unlock()
		_, err := fmt.Fprintf(c, "HTTP/1.1 500 Internal Server Error\r\n%sContent-Length: 6\r\n\r\nfailed", s.Seal(r))
		return err == nil
	}
	f, old, err := Setup(dir, 3, 3, nil, serve, onRun)
	if err != nil {
		return couldNotRun, err
	}
	defer f.Stop()
	if err := f.Start(); err != nil {
		return couldNotRun, err
	}
	time.Sleep(3 * time.Second)
	var statuses sync.Map
	count := func(key string) {
		n, _ := statuses.LoadOrStore(key, new(atomic.Int64))
		n.(*atomic.Int64).Add(1)
	}
	end := time.Now().Add(length)
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			for n := i; time.Now().Before(end); n++ {
				time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(pause)))
				c, err := Dial(f.Daemons[n%len(f.Daemons)].Frontend)
				if err != nil {
					count("no connection")
					continue
				}
				q := Request{Method: http.MethodPost, Path: unsafeP, Host: host, ID: NewID(), Header: []string{Auth}, Body: make([]byte, 600), Timeout: 1500 * time.Millisecond}
				if n%3 == 0 {
					q.Method, q.Path, q.Body = http.MethodGet, safeP, nil
				}
				q.Path += q.ID
				mu.Lock()
				all[q.ID] = request{time.Now(), q.Method == http.MethodPost}
				mu.Unlock()
				_ = c.Send(q)
				res, _, err := c.Receive(q.Method, time.Now().Add(2*time.Second))
				c.Close()
				kind := map[bool]string{true: "booking", false: "lookup"}[q.Method == http.MethodPost]
				if res == nil || err != nil {
					count(kind + " no answer")
					continue
				}
				count(fmt.Sprintf("%s %d", kind, res.StatusCode))
			}
		})
	}
	time.Sleep(2 * time.Second)
	var fresh []*Server
	for i := range 3 {
		s, err := NewServer(f.Store, fmt.Sprintf("i-%04x", 0x3c00+i), plain, f.Zones[i], "v2", 6)
		if err != nil {
			return couldNotRun, err
		}
		s.Serve, s.OnRun = serve, onRun
		fresh = append(fresh, s)
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
			for _, s := range fresh {
				s.Heartbeat(f.Store)
			}
		}
	}()
	ordered := f.Store.Put("rollouts", plain, map[string]any{"backend": plain, "target": "v2", "durationS": duration.Seconds()})
	record.Line("roll-out to v2 is ordered")
	calm.Store(ordered.UnixNano())
	state := ""
	var concluded time.Time
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			var status struct {
				State string `json:"state"`
			}
			_ = json.Unmarshal(f.Store.Status("rollouts", plain), &status)
			mu.Lock()
			if status.State != state {
				state = status.State
				record.Line("state of the roll-out, %.2f s after the order: %s", time.Since(ordered).Seconds(), state)
				if state == "done" || state == "rolled_back" {
					concluded = time.Now()
					if state == "done" {
						for _, s := range old {
							s.Stop(f.Store)
						}
					} else {
						time.AfterFunc(drain, func() {
							for _, s := range fresh {
								s.Leave()
							}
						})
					}
				}
			}
			mu.Unlock()
		}
	}()
	if trouble {
		time.Sleep(time.Until(ordered.Add(downAt)))
		f.Store.SetDown(true)
		calm.Store(0)
		record.Line("the store is down")
		time.Sleep(time.Until(ordered.Add(killAt)))
		for _, d := range f.Daemons {
			d.Signal(syscall.SIGKILL)
			<-d.done
		}
		record.Line("all daemons are killed")
		time.Sleep(300 * time.Millisecond)
		for _, d := range f.Daemons {
			if err := d.Restart(); err != nil {
				return couldNotRun, err
			}
		}
		record.Line("all daemons are started again")
		time.Sleep(time.Until(ordered.Add(downAt + downFor)))
		f.Store.SetDown(false)
		calm.Store(time.Now().Add(touch).UnixNano())
		record.Line("the store is back, %.2f s after the order", time.Since(ordered).Seconds())
	}
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	statuses.Range(func(k, v any) bool {
		record.Line("answered %s: %d", k, v.(*atomic.Int64).Load())
		return true
	})
	bookings, lost := 0, 0
	for id, q := range all {
		if q.unsafe {
			bookings++
			if failed[id] {
				lost++
			}
		}
	}
	record.Line("sent: %d requests, of them %d bookings; run by v2: %d; bookings that v2 failed: %d; bad answers while all was sound: %d", len(all), bookings, newRun, lost, len(bad))
	for _, l := range late[:min(len(late), 20)] {
		record.Line("v2 runs %s", l)
	}
	record.Line("requests run by v2 though sent later than %v after its 50th bad answer: %d", rollback, len(late))
	if concluded.IsZero() {
		return couldNotRun, errors.New("the roll-out was not concluded")
	}
	if len(late) > 0 {
		return broken, nil
	}
	return held, nil
}
