package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["unsealed"] = playUnsealed }

const (
	unsealedRequests = 4000
	unsealedClients  = 16
	// unsealedCount is the number of servers, and garblingCount that of those that garble: share = 0.6.
	unsealedCount, garblingCount = 5, 3
	// cutEach is the number of answers of a garbling server of which one is broken off: x = 0.05.
	cutEach = 20
	// streamEvents is the number of events of a stream.
	streamEvents = 3
	// missingText is the body of the servers' own answer 404.
	missingText = "no such document, the application says\n"
)

// unsealedServers answers streams, and requests for a missing document with a sealed 404. With the
// disruption (garble) a garbling server breaks off one of cutEach answers.
type unsealedServers struct {
	*play
	answers, cuts atomic.Int64
}

func (u *unsealedServers) act(garbling bool) func(c *exchange) bool {
	return func(c *exchange) bool {
		c.note()
		cut := garbling && u.trouble && u.answers.Add(1)%cutEach == 0
		missing := strings.Contains(c.request.RequestURI, "missing")
		switch {
		case missing && cut:
			u.cuts.Add(1)
			u.logf("%s runs at %s, which breaks off its answer 404", c.id(), c.server.id)
			return c.cut(http.StatusNotFound, missingText)
		case missing:
			u.logf("%s runs at %s, which answers 404", c.id(), c.server.id)
			return c.whole(http.StatusNotFound, missingText)
		case cut:
			u.logf("%s runs at %s, which breaks off its stream", c.id(), c.server.id)
			_ = c.write(c.head(http.StatusOK, streamHead) + chunk(eventText(c.id(), 1)))
			return false
		}
		u.logf("%s runs at %s", c.id(), c.server.id)
		return c.stream(streamEvents, time.Millisecond)
	}
}

// playUnsealed sends requests to a route of streams that may be resumed, three quarters of them for a missing
// document. No client may get a success without Server-Seal.
func playUnsealed(p *play) (bool, error) {
	u := &unsealedServers{play: p}
	p.store.put("config", "main", configuration(1))
	for i := range unsealedCount {
		zone := []string{"mvd-centro", "mvd-prado"}[i%2]
		if _, err := p.addServer(i+1, "llm", zone, 64, u.act(i < garblingCount)); err != nil {
			return false, err
		}
	}
	if err := p.start(2); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var (
		wait                    sync.WaitGroup
		next, unsealed, correct atomic.Int64
	)
	for n := range unsealedClients {
		wait.Go(func() {
			for i := next.Add(1); i <= unsealedRequests; i = next.Add(1) {
				k := &call{
					id: newID(), method: http.MethodPost, path: "/draft/2f", body: strings.Repeat("a", 800), deadline: 20 * time.Second,
					header: map[string]string{"Model": "m0", "Token-Count": "620,40", "Prompt-Prefix": fmt.Sprintf("5c1e%04x:119,%s:500", i%40, newID()[:8])},
				}
				if i%4 != 0 {
					k.path = "/draft/missing/2f"
				}
				r := send(p.daemons[n%2].address(), k)
				seal := r.header.Get("Server-Seal")
				p.logf("%s POST %s to %s: status %d, Server-Seal %q, body of %d bytes, whole %v, error %v", k.id, k.path, p.daemons[n%2].name, r.status, seal, len(r.body), r.whole, r.err)
				asServed := i%4 != 0 && r.status == http.StatusNotFound && r.body == missingText || i%4 == 0 && r.status == http.StatusOK && strings.Count(r.body, "data:") == streamEvents
				switch {
				case r.whole && r.status >= 200 && r.status < 300 && seal == "":
					unsealed.Add(1)
					p.logf("%s BROKEN: a success without Server-Seal, Attempt-Id %q", k.id, r.header.Get("Attempt-Id"))
				case r.whole && seal != "" && asServed:
					correct.Add(1)
				}
				time.Sleep(40 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	p.logf("%d requests: %d got what a server answered; %d answers 404 were broken off; %d successes without Server-Seal",
		unsealedRequests, correct.Load(), u.cuts.Load(), unsealed.Load())
	return unsealed.Load() > 0, nil
}
