package runner

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"samphireturn/internal/soak/judge"
	"samphireturn/internal/soak/planner"
	"samphireturn/internal/standin/formatter"
	"samphireturn/internal/standin/worker"
)

const (
	serviceHost = "desk.example"
	constantKey = "key-of-alpha"
	foreignKey  = "key-of-nobody"

	connectTime = time.Second
	// patience is added to the deadline of a request before its caller gives up.
	patience = time.Second
	// peekTime is the time in which a connection is looked at before it is used again.
	peekTime = time.Millisecond
	maxUses  = 40
	minThink = 20 * time.Millisecond
	// thinkSpan is added to minThink in part.
	thinkSpan = 100 * time.Millisecond
	// One caller in idleEvery keeps its connections idle, also before their first use, for up to
	// idleSpan, as long as a shutdown takes.
	idleEvery = 6
	idleSpan  = 7 * time.Second
	// leaveSpan bounds the time after which a caller leaves.
	leaveSpan = 200 * time.Millisecond
	percent   = 100
	// recentVersions is the number of the latest configurations whose keys and routes are
	// used.
	recentVersions = 5
	// leaveShare and burstLeaveShare are the parts of the requests, in percent, whose
	// callers leave.
	leaveShare, burstLeaveShare = 3, 50
	// leftTime bounds the wait until the end of a connection is passed on.
	leftTime = 3 * time.Second
	// crashShare is the part of the requests, in percent, that crash endpoints in a step in
	// which some do.
	crashShare = 8
)

// requestCrashFaults and partCrashFaults are the faults of requests that crash endpoints by
// themselves and by a part of their prompt.
var (
	requestCrashFaults = []string{worker.FaultCrash, worker.FaultCrashUnanswered}
	partCrashFaults    = []string{worker.FaultCrash, worker.FaultCrashUnanswered, worker.FaultCrashEvents}
)

// caller sends one request after the other, over connections that it keeps.
type caller struct {
	runner *Runner
	index  int
	random *rand.Rand
	sent   int

	conn   net.Conn
	reader *bufio.Reader
	daemon *daemon
	uses   int
	// stream is a resumable stream that broke off, to be resumed.
	stream *judge.Request
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.drop()
	for ctx.Err() == nil {
		opened := c.conn
		if !c.connect(ctx) {
			c.runner.sleep(ctx, minThink)
			continue
		}
		if c.idles() && c.conn != opened {
			c.runner.sleep(ctx, time.Duration(c.random.Int64N(int64(idleSpan))))
			if !c.usable() {
				// A daemon closes connections on which no request comes.
				continue
			}
		}
		c.send(c.request())
		c.runner.sleep(ctx, c.think())
	}
}

// idles reports whether the caller keeps connections idle.
func (c *caller) idles() bool { return c.index%idleEvery == idleEvery-1 }

// think returns the time until the next request.
func (c *caller) think() time.Duration {
	if c.idles() {
		return time.Duration(c.random.Int64N(int64(idleSpan)))
	}
	think := minThink + time.Duration(c.random.Int64N(int64(thinkSpan)))
	if c.runner.burst.Load() > 0 {
		think /= 4
	}
	return think
}

// connect makes sure of a connection to a daemon.
func (c *caller) connect(ctx context.Context) bool {
	if c.conn != nil && c.uses < maxUses && c.usable() {
		return true
	}
	c.drop()
	c.daemon = c.runner.daemons[c.random.IntN(len(c.runner.daemons))]
	dialer := net.Dialer{Timeout: connectTime}
	conn, err := dialer.DialContext(ctx, "tcp", c.runner.addr(daemonPublicNet, c.daemon.index+1, listenPort))
	if err != nil {
		return false
	}
	c.conn, c.reader, c.uses = conn, bufio.NewReader(conn), 0
	return true
}

// usable reports whether the kept connection is open. A success that no request waits
// for is a violation.
func (c *caller) usable() bool {
	if c.conn.SetReadDeadline(time.Now().Add(peekTime)) != nil {
		return false
	}
	data, err := c.reader.Peek(len("HTTP/1.1 2"))
	if strings.HasSuffix(string(data), " 2") {
		c.runner.violate("mixed: %s sent a success without a request", c.daemon.name)
	}
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout() && len(data) == 0
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request draws a request.
func (c *caller) request() judge.Request {
	c.sent++
	id := fmt.Sprintf("c%d-%d", c.index, c.sent)
	q := judge.Request{
		ID: id, Daemon: c.daemon.name, Process: c.daemon.number(), Method: http.MethodPost, Body: "body of " + id, Key: constantKey, Team: "alpha",
		Pool: poolApp, MaxAttempts: 2, Timeout: 3 * time.Second,
	}
	if c.stream != nil {
		q.LastEvent = c.stream.LastEvent
		c.stream = nil
		c.draft(&q)
		return q
	}
	if s := c.runner.crashing.Load(); s != nil && c.random.IntN(percent) < crashShare {
		c.crash(&q, s)
		return q
	}
	version := int(c.runner.version.Load())
	switch n := c.random.IntN(percent); {
	case n < 30:
		q.Target, q.Once, q.MaxAttempts = "/book/"+id+"?x=a%2Fb", true, 3
	case n < 45:
		q.Method, q.Target, q.Body = http.MethodGet, "/book/find/"+id, ""
	case n < 70:
		c.draft(&q)
	case n < 80:
		q.Target, q.Once, q.MaxAttempts = "/chat/"+id, true, 3
		c.prompt(&q, "small")
	case n < 84:
		q.Target, q.Key, q.Team = "/open/"+id, "", ""
	case n < 90:
		q.RouteVersion = max(version-c.random.IntN(recentVersions), 1)
		q.Target = "/" + routeName(q.RouteVersion) + "/" + id
	case n < 98:
		q.KeyVersion = max(version-c.random.IntN(recentVersions), 1)
		q.Target, q.Key, q.Team, q.Once, q.MaxAttempts = "/book/"+id, keyOf(q.KeyVersion), "beta", true, 3
	default:
		q.Target, q.Key, q.Forbidden = "/book/"+id, foreignKey, true
	}
	return q
}

// crash makes q crash the endpoints that run it: by a part of its prompt, or by its target,
// which all such requests of the step have. The draw of the step tells at which moment of the
// answer.
func (c *caller) crash(q *judge.Request, s *planner.Step) {
	q.Cause = fmt.Sprintf("crash%d", s.Draw)
	moment := s.Draw / 2
	if s.Draw%2 == 0 {
		q.CrashFault = requestCrashFaults[moment%len(requestCrashFaults)]
		q.Method, q.Target, q.Body = http.MethodGet, "/book/find/"+q.Cause, ""
		return
	}
	q.CauseIsPart, q.CrashFault = true, partCrashFaults[moment%len(partCrashFaults)]
	c.draft(q)
	q.PromptPrefix = q.Cause + ":70," + q.PromptPrefix
}

// draft makes q ask for a resumable stream.
func (c *caller) draft(q *judge.Request) {
	q.Target, q.MaxAttempts = "/draft/"+q.ID, 3
	c.prompt(q, "*")
}

// prompt makes q ask a model for a stream.
func (c *caller) prompt(q *judge.Request, model string) {
	q.Pool, q.Stream, q.Events, q.Timeout = poolModel, true, events, 5*time.Second
	q.Model, q.TokenCount = model, "150,20"
	q.PromptPrefix = "abc" + strconv.Itoa(c.index) + ":100,def" + strconv.Itoa(c.sent) + ":50"
}

// send sends a request and records its answer.
func (c *caller) send(q judge.Request) {
	q.SentAt = time.Now()
	q.Kept = c.uses > 0
	c.runner.judge.AddRequest(q)
	c.uses++
	left := make(chan time.Time, 1)
	if c.random.IntN(percent) < c.leaveShare() {
		conn := c.conn
		timer := time.AfterFunc(time.Duration(c.random.Int64N(int64(leaveSpan))), func() {
			left <- time.Now()
			_ = conn.Close()
		})
		defer timer.Stop()
	}
	keep := c.exchange(&q)
	q.EndedAt = time.Now()
	q.Unheard = !keep && c.runner.links.Refused(c.conn.LocalAddr())
	select {
	case at := <-left:
		if !q.Complete {
			q.Left, q.EndedAt = true, c.leftAt(at)
		}
		keep = false
	default:
	}
	c.runner.judge.EndRequest(q)
	if !keep {
		c.drop()
	}
	if q.Stream && !q.Once && !q.Complete && !q.Left && q.Answer != "" {
		q.LastEvent += strings.Count(q.Answer, "\n\n")
		if q.LastEvent < events {
			c.stream = &q
		}
	}
}

// leftAt returns when the end of the connection that the caller closed at a moment was passed on
// to the daemon: the relay may wait for a processor. It waits for leftTime at most.
func (c *caller) leftAt(closed time.Time) time.Time {
	for deadline := time.Now().Add(leftTime); time.Now().Before(deadline); time.Sleep(peekTime) {
		if at, ok := c.runner.links.Left(c.conn.LocalAddr()); ok {
			return at
		}
	}
	return closed
}

func (c *caller) leaveShare() int {
	if c.runner.leaving.Load() > 0 {
		return burstLeaveShare
	}
	return leaveShare
}

// exchange sends a request and reads its answer. It reports whether the connection may
// be used again.
func (c *caller) exchange(q *judge.Request) bool {
	if c.conn.SetDeadline(time.Now().Add(q.Timeout+patience)) != nil {
		return false
	}
	if _, err := io.WriteString(c.conn, c.text(q)); err != nil {
		return false
	}
	q.WrittenAt = time.Now()
	res, err := http.ReadResponse(c.reader, &http.Request{Method: q.Method})
	if err != nil {
		return false
	}
	defer res.Body.Close()
	q.Status, q.Seal, q.Encoding = res.StatusCode, res.Header.Get(formatter.Seal), res.Header.Get("Content-Encoding")
	body, err := io.ReadAll(res.Body)
	q.Answer = string(body)
	q.Complete = err == nil && (res.ContentLength >= 0 || len(res.TransferEncoding) > 0)
	if id := res.Header.Get(formatter.ID); id != "" && id != q.ID {
		c.runner.violate("mixed: %s was answered as %s", q.ID, id)
	}
	q.Extra = q.Complete && c.reader.Buffered() > 0
	return q.Complete && !res.Close
}

// text returns the request as it is sent. Some requests have headers that only the
// router may set.
func (c *caller) text(q *judge.Request) string {
	var b strings.Builder
	line := func(name, value string) {
		if value != "" {
			b.WriteString(name + ": " + value + "\r\n")
		}
	}
	b.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\n")
	line("Host", serviceHost)
	line(formatter.ID, q.ID)
	line(formatter.Deadline, strconv.FormatInt(q.Timeout.Milliseconds(), 10))
	if q.Key != "" {
		line("Authorization", "Bearer "+q.Key)
	}
	line(formatter.Model, q.Model)
	line(formatter.TokenCount, q.TokenCount)
	line(formatter.PromptPrefix, q.PromptPrefix)
	line(worker.CauseHeader, q.Cause)
	line(worker.CrashHeader, q.CrashFault)
	if q.LastEvent > 0 {
		line(formatter.LastEventID, strconv.Itoa(q.LastEvent))
	}
	if c.random.IntN(percent) < 10 {
		line(formatter.Team, "forged")
		line(formatter.Hold, "forged")
		line(formatter.Pin, "100")
	}
	if q.Body != "" {
		line("Content-Length", strconv.Itoa(len(q.Body)))
	}
	b.WriteString("\r\n" + q.Body)
	return b.String()
}
