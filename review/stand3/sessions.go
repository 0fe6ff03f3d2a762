package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["sessions"] = playSessions }

const (
	// sessionMemory is memoryMb of the site's small machines.
	sessionMemory = 112
	// sessionBytes is the length of the name of a session: the whole header of a request stays below
	// maxHeaderBytes, 16,384.
	sessionBytes = 15900
	// sessionRate is the number of requests a second, each of a session of its own. With their headers and bodies
	// they take less than the 10 Mbit/s of a small machine.
	sessionRate = 70
	// questionBytes is the length of the body of a question.
	questionBytes = 830
	// calmTime is the time before the loss, and lastTime the one after it.
	calmTime, lastTime = 3 * time.Second, 103 * time.Second
	// deskBookers is the number of clients that book on kept connections at the daemon that is not
	// touched, one booking after the other, and deskTime how long a booking takes.
	deskBookers, deskTime = 24, 450 * time.Millisecond
	sessionGap            = 20 * time.Millisecond
	sessionEvents         = 4
)

// desk is the state of the case.
type desk struct{ crowd }

// act streams a short answer, or books after deskTime.
func (c *desk) act(x *exchange) bool {
	if strings.HasPrefix(x.request.RequestURI, "/draft/") {
		return x.stream(sessionEvents, sessionGap)
	}
	c.ranMu.Lock()
	c.ran[x.id()] = true
	c.ranMu.Unlock()
	time.Sleep(deskTime)
	return x.whole(http.StatusOK, "booked "+x.id())
}

// session returns the name of a new session.
func session() string { return newID() + strings.Repeat("s", sessionBytes-16) }

// ask has one client ask one question in a session of its own at the n-th daemon or, once the others are lost, at
// the first.
func (c *desk) ask(n int) {
	d := c.daemons[n%len(c.daemons)]
	if c.gone.Load() {
		d = c.daemons[0]
	}
	k := &call{
		id: newID(), method: http.MethodPost, path: "/draft/2f", body: strings.Repeat("a", questionBytes), deadline: 20 * time.Second,
		header: map[string]string{
			"Session": session(), "Model": "m0", "Token-Count": "628,49", "Prompt-Prefix": fmt.Sprintf("5c1e%04x:119,%s:79", n%40, newID()[:8]),
		},
	}
	if n == 0 {
		c.logf("a question has a header of %d bytes", len(k.text())-len(k.body))
	}
	c.streams.Add(1)
	switch r := send(d.address(), k); {
	case r.err != nil:
		c.broken.Add(1)
	case r.status != http.StatusOK:
		c.refused.Add(1)
	}
}

// askAll has clients ask at sessionRate until the end, and waits for their answers.
func (c *desk) askAll() {
	var wait sync.WaitGroup
	defer wait.Wait()
	tick := time.NewTicker(time.Second / sessionRate)
	defer tick.Stop()
	for n := 0; time.Now().Before(c.end); n++ {
		<-tick.C
		wait.Go(func() { c.ask(n) })
	}
}

// playSessions has clients send requests of many sessions with long names, by three daemons. With the
// disruption two of them are lost for good, so that all requests come to the third.
func playSessions(p *play) (bool, error) {
	c := &desk{crowd: crowd{play: p, ran: make(map[string]bool)}}
	p.memory = sessionMemory
	p.store.put("config", "main", configuration(1))
	for i := range 6 {
		service, slots := "llm", 64
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
	c.end = time.Now().Add(calmTime + lastTime)
	var wait sync.WaitGroup
	for range deskBookers {
		wait.Go(c.book)
	}
	wait.Go(c.askAll)
	time.Sleep(calmTime)
	p.logf("before: %s has %d MiB", p.daemons[0].name, p.daemons[0].resident()>>20)
	if p.trouble {
		for _, d := range p.daemons[1:] {
			p.logf("%s is lost", d.name)
			d.signal(syscall.SIGKILL)
		}
		c.gone.Store(true)
	}
	lost := c.watch()
	for _, d := range p.daemons {
		d.signal(syscall.SIGKILL)
	}
	wait.Wait()
	p.logf("%d requests with a session sent, %d refused, %d broken; %d booked, %d bookings lost, %d not served",
		c.streams.Load(), c.refused.Load(), c.broken.Load(), c.booked.Load(), lost, c.bookRefused.Load())
	return lost > maxLost, nil
}

// watch kills the daemon that is not touched once it exceeds its memory, as the platform does, until the end. It
// returns the number of bookings lost.
func (c *desk) watch() int64 {
	d, peak, ended := c.daemons[0], 0, false
	for next := time.Now(); time.Now().Before(c.end); time.Sleep(20 * time.Millisecond) {
		now := d.resident()
		peak = max(peak, now)
		if time.Since(next) > 0 {
			c.logf("%s has %d MiB, %d requests sent, %d bookings", d.name, now>>20, c.streams.Load(), c.booked.Load())
			next = next.Add(5 * time.Second)
		}
		if !ended && now > sessionMemory<<20 {
			ended = true
			c.logf("%s exceeds memoryMb with %d MiB: the platform kills it", d.name, now>>20)
			d.signal(syscall.SIGKILL)
			c.end = time.Now().Add(time.Second)
		}
	}
	c.logf("peak %d MiB of %d", peak>>20, sessionMemory)
	return c.lost.Load()
}
