package runner

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/standin/formatter"
)

const (
	// rawPool is the pool of a rawEndpoint.
	rawPool = "raw"
	// endlessCallers is the number of requests to them at a time, and endlessDescriptors what a
	// daemon needs for these.
	endlessCallers     = 200
	endlessDescriptors = 1600
	// endlessTime is the time that callers leave for an answer.
	endlessTime = 3 * time.Second
	// troubleTime is how long the store sends without end.
	troubleTime = 4 * time.Second
)

// rawEndpoint is an endpoint that writes the bytes of its answers itself, one on each connection.
type rawEndpoint struct {
	net.Listener
	// answer answers a request whose body has not been read.
	answer func(conn net.Conn, r *http.Request)
	// conns counts its connections, and requests what came on them.
	conns    sync.WaitGroup
	requests atomic.Int64
}

// run serves connections until the listener is closed.
func (e *rawEndpoint) run() {
	for {
		conn, err := e.Accept()
		if err != nil {
			return
		}
		e.conns.Go(func() {
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(2 * endlessTime))
			if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				e.requests.Add(1)
				e.answer(conn, r)
			}
		})
	}
}

// endless returns an answer of a first part, with the id of the request in the place of ID, and of others
// until the connection is closed. Next returns the n-th of them.
func endless(first string, next func(n int) []byte) func(conn net.Conn, r *http.Request) {
	return func(conn net.Conn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, err := io.WriteString(conn, strings.ReplaceAll(first, "ID", r.Header.Get(formatter.ID)))
		for n := 0; err == nil; n++ {
			_, err = conn.Write(next(n))
		}
	}
}

// newLimited returns a run of one daemon with low limits.
func newLimited(c *qt.C, bin string, descriptors int) *Runner {
	r := &Runner{
		Seed: 1, Daemons: 1, Endpoints: 1, Dir: c.TempDir(), Log: new(bytes.Buffer),
		Settings:      []string{"limits.memoryMb=" + strconv.Itoa(crowdMemory>>20), "limits.maxFds=" + strconv.Itoa(descriptors)},
		DaemonProgram: filepath.Join(bin, "samphireturnd"), StandinProgram: filepath.Join(bin, "standin"),
	}
	r.judge.Bounds = bounds
	c.Cleanup(r.close)
	return r
}

// openRaw starts a daemon with low limits, sound endpoints and others. Calls to /callN/ and streams to
// /draftN/ go to the N-th of these, from 0.
func openRaw(c *qt.C, endpoints ...*rawEndpoint) *Runner {
	r := newLimited(c, buildPrograms(c), endlessDescriptors)
	c.Assert(r.open(c.Context()), qt.IsNil)
	r.version.Add(1)
	table := string(formatter.Table(int(r.version.Load()), serviceHost, "crowd", constantKey, keyOf(2)))
	table = strings.Replace(table, `"maxBodyBytes":1000`, fmt.Sprintf(`"maxBodyBytes":%d`, crowdBody), 1)
	for n, e := range endpoints {
		pool := rawPool + strconv.Itoa(n)
		table = strings.Replace(table, `"routes":[`, fmt.Sprintf(`"routes":[
{"name":"call%[1]d","host":%[2]q,"pathPrefix":"/call%[1]d/","kind":"safe","timeoutMs":20000,"goalMs":300,"backend":%[3]q,"attempts":2},
{"name":"draft%[1]d","host":%[2]q,"pathPrefix":"/draft%[1]d/","kind":"streaming","timeoutMs":20000,"goalMs":4000,"backend":%[3]q,"attempts":3,"gapAimMs":2000},`,
			n, serviceHost, pool), 1)
		table = strings.Replace(table, `"backends":[`, fmt.Sprintf(`"backends":[{"name":%q,"healthPath":"/healthz","maxConns":2000},`, pool), 1)
		ln, err := net.Listen("tcp", r.addr(endpointPublicNet, 100+n, endpointPort))
		c.Assert(err, qt.IsNil)
		e.Listener = ln
		go e.run()
		c.Cleanup(func() {
			_ = ln.Close()
			e.conns.Wait()
		})
		c.Assert(r.store.Put(formatter.Servers, "i-"+pool, formatter.Server{
			Pool: pool, Addr: ln.Addr().String(), Centre: "north", Release: firstRelease, Slots: 2 * endlessCallers, Writes: 1, Started: 1,
		}), qt.IsNil)
	}
	c.Assert(r.store.Put(formatter.Tables, formatter.CurrentTable, json.RawMessage(table)), qt.IsNil)
	last := len(endpoints) - 1
	for i, end := 0, time.Now().Add(startTime); endpoints[last].requests.Load() == 0; i++ {
		c.Assert(time.Now().Before(end), qt.IsTrue, qt.Commentf("no request came"))
		r.call(fmt.Sprintf("/call%d/", last), "first"+strconv.Itoa(i), 0)
	}
	return r
}

// resetPeak forgets the peak of a process's memory so far, where the kernel allows that. Elsewhere the peak
// is that since its start.
func resetPeak(p *process) { _ = os.WriteFile(p.path("clear_refs"), []byte("5"), 0) }

// call sends a request with a body of some bytes and reads its answer. It returns the status, 0 if there
// is none, and whether the answer has an end.
func (r *Runner) call(path, id string, size int) (status int, whole bool) {
	conn, err := r.dialDaemon()
	if err != nil {
		return 0, false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(crowdAnswer))
	_, err = fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nAuthorization: Bearer %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, id, serviceHost, formatter.ID, id, constantKey, formatter.Deadline, endlessTime.Milliseconds(), size, make([]byte, size))
	if err != nil {
		return 0, false
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err == nil
}

// endlessFields returns lines of fields that don't repeat.
func endlessFields(n int) []byte {
	var lines []byte
	for i := range 4000 {
		lines = fmt.Appendf(lines, "%x:\r\n", n*4000+i)
	}
	return lines
}

// endlessBlock returns the same letter again and again.
func endlessBlock(int) []byte { return bytes.Repeat([]byte("x"), 64<<10) }

// TestEndlessAnswers guards against endpoints that send bytes without end to many requests at once: the
// daemon stays within its memory, requests to other endpoints are answered meanwhile, and no answer
// without end becomes one with an end.
func TestEndlessAnswers(t *testing.T) {
	const (
		call, stream = "/call%d/", "/draft%d/"
		head         = "HTTP/1.1 200 OK\r\n" + formatter.ID + ": ID\r\n" + formatter.Seal + ": seal\r\n"
		eventHead    = head + "Content-Type: text/event-stream\r\n\r\n"
	)
	same := func(text string) func(int) []byte { return func(int) []byte { return []byte(text) } }
	longIDs := func(n int) []byte { return fmt.Appendf(nil, "id: %d%s\ndata: x\n\n", n+1, endlessBlock(n)) }
	tests := []struct {
		name, path, first string
		next              func(n int) []byte
		// begins is true if callers may get the beginning of the answer.
		begins bool
	}{
		{"no answer", call, "", endlessBlock, false},
		{"no answer, stream", stream, "", endlessBlock, false},
		{"status line", call, "HTTP/1.1 200 ", endlessBlock, false},
		{"line of a head", call, head + "X-A: ", endlessBlock, false},
		{"name of a field", call, head, endlessBlock, false},
		{"fields", call, head, endlessFields, false},
		{"fields, stream", stream, head, endlessFields, false},
		{"one field again and again", call, head, same(strings.Repeat("A:\r\n", 8000)), false},
		{"interim answers", call, "", same(strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 1000)), false},
		{"chunk line", call, head + "Transfer-Encoding: chunked\r\n\r\n", same(strings.Repeat("0", 64<<10)), false},
		{"trailer", call, head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", endlessFields, true},
		{"body", call, head + "\r\n", endlessBlock, true},
		{"body of a failure", call, "HTTP/1.1 500 Failed\r\n" + formatter.ID + ": ID\r\n\r\n", endlessBlock, true},
		{"body, no event", stream, eventHead, endlessBlock, false},
		{"event", stream, eventHead + "data: ", endlessBlock, false},
		{"id of an event", stream, eventHead + "id: ", endlessBlock, false},
		{"events with long ids", stream, eventHead, longIDs, true},
		{"lines of an event", stream, eventHead, same(strings.Repeat("data: x\n", 8000)), false},
	}
	endpoints := make([]*rawEndpoint, len(tests))
	for n, test := range tests {
		endpoints[n] = &rawEndpoint{answer: endless(test.first, test.next)}
	}
	r := openRaw(qt.New(t), endpoints...)
	p := r.daemons[0].current()
	for n, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			row := strconv.Itoa(n)
			c.Assert(r.served("before"+row), qt.IsTrue)
			resetPeak(p)
			var (
				calls sync.WaitGroup
				mu    sync.Mutex
			)
			statuses := make(map[int]int)
			for i := range endlessCallers {
				calls.Go(func() {
					status, whole := r.call(fmt.Sprintf(test.path, n), "endless"+row+"-"+strconv.Itoa(i), 0)
					mu.Lock()
					defer mu.Unlock()
					statuses[status]++
					c.Check(status < 500 && (whole || !test.begins), qt.IsFalse, qt.Commentf("status %d", status))
				})
			}
			start := time.Now()
			c.Check(r.served("beside"+row), qt.IsTrue)
			beside := time.Since(start)
			calls.Wait()
			c.Check(r.served("after"+row), qt.IsTrue)
			c.Check(p.running(), qt.IsTrue)
			c.Check(p.peakMemory() <= crowdMemory, qt.IsTrue, qt.Commentf("peak of memory: %d MB", p.peakMemory()>>20))
			t.Logf("peak of memory: %d MB, answered beside in %v, statuses %v", p.peakMemory()>>20, beside.Round(time.Millisecond), statuses)
		})
	}
}

// TestEndlessStore guards against a store that sends bytes without end: the daemon stays within its memory,
// and serves as before once the store answers again.
func TestEndlessStore(t *testing.T) {
	c := qt.New(t)
	r := newLimited(c, buildPrograms(c), endlessDescriptors)
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
	objects := func(int) []byte { return bytes.Repeat([]byte(`{"metadata":{"name":"x","revision":1}},`), 1000) }
	tests := []struct {
		name, first string
		next        func(n int) []byte
	}{
		{"no answer", "", endlessBlock},
		{"line of a head", head + "X-A: ", endlessBlock},
		{"fields", head, endlessFields},
		{"body", head + "\r\n", endlessBlock},
		{"text in a body", head + "\r\n{\"items\":[\"", endlessBlock},
		{"items", head + "\r\n{\"items\":[", objects},
	}
	// answer is that of the store; nil while it is sound.
	var answer atomic.Pointer[func(conn net.Conn, r *http.Request)]
	var answers atomic.Int64
	r.wrapStore = func(sound http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			faulty := answer.Load()
			if faulty == nil {
				sound.ServeHTTP(w, req)
				return
			}
			answers.Add(1)
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(endlessTime))
			(*faulty)(conn, req)
		})
	}
	c.Assert(r.open(c.Context()), qt.IsNil)
	p := r.daemons[0].current()
	for n, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			row := strconv.Itoa(n)
			c.Assert(r.served("before"+row), qt.IsTrue)
			resetPeak(p)
			answers.Store(0)
			faulty := endless(test.first, test.next)
			answer.Store(&faulty)
			r.links.Reset(func(_, to string) bool { return to == storeName })
			time.Sleep(troubleTime)
			answer.Store(nil)
			c.Check(r.served("after"+row), qt.IsTrue)
			c.Check(answers.Load() > 0, qt.IsTrue)
			c.Check(p.running(), qt.IsTrue)
			c.Check(p.peakMemory() <= crowdMemory, qt.IsTrue, qt.Commentf("peak of memory: %d MB", p.peakMemory()>>20))
			t.Logf("peak of memory: %d MB, %d answers", p.peakMemory()>>20, answers.Load())
		})
	}
}
