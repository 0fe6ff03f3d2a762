package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["parts"] = playParts }

const (
	// headerMemory is memoryMb of the site's small machines, and headerCallers the number of callers, each
	// with one stream in flight.
	headerMemory, headerCallers = 112, 736
	// headerParts is the number of parts that a prompt names, each with partTokens tokens: the whole header
	// of a request stays below maxHeaderBytes, 16,384.
	headerParts, partTokens = 3180, 8
	// bookers is the number of clients that book on kept connections.
	bookers      = 24
	headerEvents = 36
	eventGap     = 500 * time.Millisecond
	bookingTime  = 450 * time.Millisecond
	watchTime    = 40 * time.Second
	maxLost      = 3
	// returnTime is the time over which the callers of lost machines come back.
	returnTime = 8 * time.Second
)

// resident returns the resident memory of the process in bytes.
func (d *daemon) resident() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			n, _ := strconv.Atoi(fields[1])
			return n << 10
		}
	}
	return 0
}

// crowd is the state of the case.
type crowd struct {
	*play
	end                       time.Time
	ranMu                     sync.Mutex
	ran                       map[string]bool
	streams, refused, broken  atomic.Int64
	booked, lost, bookRefused atomic.Int64
	// gone is true once all callers use the first daemon.
	gone atomic.Bool
}

// act streams events, or books after bookingTime.
func (c *crowd) act(x *exchange) bool {
	if strings.HasPrefix(x.request.RequestURI, "/draft/") {
		return x.stream(headerEvents, eventGap)
	}
	c.ranMu.Lock()
	c.ran[x.id()] = true
	c.ranMu.Unlock()
	time.Sleep(bookingTime)
	return x.whole(http.StatusOK, "booked "+x.id())
}

// draft has one caller send streams until the end, by the daemons that are left.
func (c *crowd) draft(n int) {
	told := false
	for time.Now().Before(c.end) {
		d := c.daemons[n%len(c.daemons)]
		if c.gone.Load() {
			d = c.daemons[0]
		}
		k := &call{
			id: newID(), method: http.MethodPost, path: "/draft/2f", body: strings.Repeat("a", questionBytes), deadline: 20 * time.Second,
			header: map[string]string{
				"Model": "m0", "Token-Count": tokenCount, "Prompt-Prefix": prefix(n),
			},
		}
		if n == 0 && !told {
			told = true
			c.logf("a stream's header has %d bytes, with %d parts", len(k.text())-len(k.body), headerParts)
		}
		c.streams.Add(1)
		switch r := send(d.address(), k); {
		case r.err != nil:
			c.broken.Add(1)
			// Those that come back together stay below the link of a small machine.
			time.Sleep(time.Duration(n%headerCallers) * returnTime / headerCallers)
		case r.status != http.StatusOK:
			c.refused.Add(1)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// book has one client book on a kept connection at the daemon that is not touched, without a pause.
func (c *crowd) book() {
	var kept *conn
	for time.Now().Before(c.end) {
		if kept == nil {
			var err error
			if kept, err = dial(c.daemons[0].address()); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		k := &call{id: newID(), method: http.MethodPost, path: "/book/2f", body: "slot", deadline: 3 * time.Second}
		r := kept.send(k)
		c.ranMu.Lock()
		ran := c.ran[k.id]
		c.ranMu.Unlock()
		switch {
		case r.err == nil && r.status == http.StatusOK:
			c.booked.Add(1)
		case r.err != nil && ran:
			c.lost.Add(1)
			c.logf("booking %s ran, and its kept connection was closed without an answer: %v", k.id, r.err)
		default:
			c.bookRefused.Add(1)
			c.logf("booking %s: status %d, error %v, ran %v", k.id, r.status, r.err, ran)
		}
		if r.err != nil || r.last {
			_ = kept.Close()
			kept = nil
		}
	}
}

// playParts has many callers whose prompts have many parts, by three daemons. With the disruption two
// of them are lost for good, so that all callers come to the third.
func playParts(p *play) (bool, error) {
	c := &crowd{play: p, ran: make(map[string]bool)}
	p.memory = headerMemory
	p.store.put("config", "main", configuration(1))
	for i := range 6 {
		service, slots := "llm", 640
		if i >= 3 {
			service, slots = "app", 64
		}
		if _, err := p.addServer(i+1, service, []string{"mvd-centro", "mvd-prado", "mvd-carrasco"}[i%3], slots, c.act); err != nil {
			return false, err
		}
	}
	if err := p.start(3); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	c.end = time.Now().Add(6*time.Second + watchTime)
	var wait sync.WaitGroup
	for range bookers {
		wait.Go(c.book)
	}
	for n := range headerCallers {
		wait.Go(func() {
			time.Sleep(time.Duration(n) * 6 * time.Millisecond)
			c.draft(n)
		})
	}
	time.Sleep(6 * time.Second)
	p.logf("before: %s has %d MiB", p.daemons[0].name, p.daemons[0].resident()>>20)
	if p.trouble {
		for _, d := range p.daemons[1:] {
			p.logf("%s is lost", d.name)
			d.signal(syscall.SIGKILL)
		}
		c.gone.Store(true)
	}
	peak, ended := 0, false
	for next := time.Now(); time.Now().Before(c.end); time.Sleep(20 * time.Millisecond) {
		now := p.daemons[0].resident()
		peak = max(peak, now)
		if time.Since(next) > 0 {
			p.logf("%s has %d MiB, %d streams sent, %d bookings", p.daemons[0].name, now>>20, c.streams.Load(), c.booked.Load())
			next = next.Add(time.Second)
		}
		if !ended && now > headerMemory<<20 {
			ended = true
			p.logf("%s exceeds memoryMb with %d MiB: the platform kills it", p.daemons[0].name, now>>20)
			p.daemons[0].signal(syscall.SIGKILL)
			c.end = time.Now().Add(time.Second)
		}
	}
	for _, d := range p.daemons {
		d.signal(syscall.SIGKILL)
	}
	lost := c.lost.Load()
	wait.Wait()
	p.logf("peak %d MiB of %d; %d streams sent, %d refused, %d broken; %d booked, %d bookings lost, %d not served", peak>>20, headerMemory,
		c.streams.Load(), c.refused.Load(), c.broken.Load(), c.booked.Load(), lost, c.bookRefused.Load())
	return lost > maxLost, nil
}

// tokenCount is the number of tokens of a prompt and the greatest one of an answer.
var tokenCount = fmt.Sprintf("%d,64", headerParts*partTokens)

// prefix returns the parts of the prompt of a caller. A part may come again in it.
func prefix(n int) string {
	var b strings.Builder
	for i := range headerParts {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%02x:%d", (n+i*37)%256, partTokens)
	}
	return b.String()
}
