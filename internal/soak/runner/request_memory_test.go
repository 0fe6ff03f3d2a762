package runner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/standin/formatter"
)

const (
	// heldStreams is the number of streams that a daemon of crowdMemory is asked for at once.
	heldStreams = 700
	// heldStagger is the time between two of them.
	heldStagger = 2 * time.Millisecond
	// eventInterval is the time between two events of a held stream.
	eventInterval = 500 * time.Millisecond
)

// heldStream answers with events, which hold the time, until its connection ends.
func heldStream(conn net.Conn, r *http.Request) {
	_ = conn.SetDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, r.Body)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Type: text/event-stream\r\n\r\n", formatter.ID, r.Header.Get(formatter.ID), formatter.Seal)
	for n := 1; err == nil; n++ {
		if _, err = fmt.Fprintf(conn, "id: %d\ndata: %d\n\n", n, time.Now().UnixNano()); err == nil {
			time.Sleep(eventInterval)
		}
	}
}

// callerStream is a stream as its caller sees it.
type callerStream struct {
	conn   net.Conn
	events *bufio.Reader
	// status is 0 if there is no answer.
	status int
}

// openStream sends a request for a stream with more lines of a header and a body, and reads the head of its answer.
func (r *Runner) openStream(id, lines string, body int) callerStream {
	conn, err := r.dialDaemon()
	if err != nil {
		return callerStream{}
	}
	_ = conn.SetDeadline(time.Now().Add(crowdAnswer))
	_, err = fmt.Fprintf(conn, "POST /draft0/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nAuthorization: Bearer %s\r\n%s: 60000\r\n%sContent-Length: %d\r\n\r\n%s",
		id, serviceHost, formatter.ID, id, constantKey, formatter.Deadline, lines, body, strings.Repeat("b", body))
	if err != nil {
		return callerStream{conn: conn}
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return callerStream{conn: conn}
	}
	return callerStream{conn, bufio.NewReader(res.Body), res.StatusCode}
}

// goesOn reports whether an event comes that was sent after a time: others may have waited in the
// buffers of a connection that has ended since.
func (s callerStream) goesOn(after time.Time) bool {
	for {
		line, err := s.events.ReadString('\n')
		if err != nil {
			return false
		}
		sent, _ := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if at, err := strconv.ParseInt(sent, 10, 64); err == nil && at > after.UnixNano() {
			return true
		}
	}
}

// openStreams asks for a number of streams.
func (r *Runner) openStreams(row string, streams int, lines string, body int) []callerStream {
	var opening sync.WaitGroup
	opened := make([]callerStream, streams)
	for i := range opened {
		time.Sleep(heldStagger)
		opening.Go(func() { opened[i] = r.openStream(row+"-"+strconv.Itoa(i), lines, body) })
	}
	opening.Wait()
	return opened
}

// closeStreams has the callers leave.
func closeStreams(streams []callerStream) {
	for _, s := range streams {
		if s.conn != nil {
			_ = s.conn.Close()
		}
	}
}

// longField returns a line of a header of about size bytes.
func longField(size int) string { return "X-Trace: " + strings.Repeat("h", size) + "\r\n" }

// manyFields returns lines of a header that take far more memory than their text.
func manyFields() string {
	var lines strings.Builder
	for i := range 2200 {
		fmt.Fprintf(&lines, "%x:\r\n", 0x1000+i)
	}
	return lines.String()
}

// TestUnfinishedHeads guards against callers that send heads of many fields without an end: the daemon
// stays within its memory, and ordinary requests are answered beside them and after them.
func TestUnfinishedHeads(t *testing.T) {
	c := qt.New(t)
	r := openRaw(c, &rawEndpoint{answer: heldStream})
	p := r.daemons[0].current()
	resetPeak(p)
	var conns []net.Conn
	for i := range heldStreams {
		time.Sleep(heldStagger / 2)
		conn, err := r.dialDaemon()
		if err != nil {
			continue
		}
		conns = append(conns, conn)
		_, _ = fmt.Fprintf(conn, "POST /draft0/%d HTTP/1.1\r\nHost: %s\r\n%s", i, serviceHost, manyFields())
	}
	c.Check(r.served("beside"), qt.IsTrue)
	for _, conn := range conns {
		_ = conn.Close()
	}
	c.Check(r.served("after"), qt.IsTrue)
	c.Check(p.running(), qt.IsTrue)
	c.Check(p.peakMemory() <= crowdMemory, qt.IsTrue, qt.Commentf("peak of memory: %d MB", p.peakMemory()>>20))
	t.Logf("peak of memory: %d MB", p.peakMemory()>>20)
}

// TestRequestsInFlight guards against many requests at once, with headers that are long or have many
// fields, taking a daemon beyond its memory: what doesn't fit is refused at once, and the streams that
// have begun go on. With usual headers there is room for all of them.
func TestRequestsInFlight(t *testing.T) {
	tests := []struct {
		name, lines string
		body        int
		// all is true if there is room for all.
		all bool
	}{
		{"usual header", longField(300), 0, true},
		{"long header", longField(15000), 0, false},
		{"long header and a body", longField(15000), 12000, false},
		{"many fields", manyFields(), 0, false},
	}
	r := openRaw(qt.New(t), &rawEndpoint{answer: heldStream})
	p := r.daemons[0].current()
	for n, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(r.served("before"+strconv.Itoa(n)), qt.IsTrue)
			resetPeak(p)
			start := time.Now()
			streams := r.openStreams("held"+strconv.Itoa(n), heldStreams, test.lines, test.body)
			opened := time.Now()
			statuses := make(map[int]int)
			for _, s := range streams {
				statuses[s.status]++
				c.Check(s.status != http.StatusOK || s.goesOn(opened), qt.IsTrue, qt.Commentf("a stream that has begun"))
			}
			closeStreams(streams)
			c.Check(r.served("after"+strconv.Itoa(n)), qt.IsTrue)
			c.Check(p.running(), qt.IsTrue)
			c.Check(p.peakMemory() <= crowdMemory, qt.IsTrue, qt.Commentf("peak of memory: %d MB", p.peakMemory()>>20))
			c.Check(statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], qt.Equals, heldStreams)
			c.Check(statuses[http.StatusOK] > 0, qt.IsTrue)
			if test.all {
				c.Check(statuses[http.StatusOK], qt.Equals, heldStreams)
			}
			t.Logf("peak of memory: %d MB, statuses %v after %v", p.peakMemory()>>20, statuses, opened.Sub(start).Round(time.Millisecond))
		})
	}
}

// BenchmarkRequestMemory measures what a stream in flight takes of a daemon's memory, by its header.
func BenchmarkRequestMemory(b *testing.B) {
	for _, size := range []int{300, 4000, 15000} {
		b.Run(fmt.Sprintf("header of %d bytes", size), func(b *testing.B) {
			const streams = heldStreams / 2
			c := qt.New(b)
			r := openRaw(c, &rawEndpoint{answer: heldStream})
			p := r.daemons[0].current()
			for b.Loop() {
				c.Assert(r.served("before"), qt.IsTrue)
				before := p.memory()
				opened := r.openStreams("held", streams, longField(size), 0)
				allOpened := time.Now()
				for _, s := range opened {
					c.Assert(s.status, qt.Equals, http.StatusOK)
					c.Assert(s.goesOn(allOpened), qt.IsTrue)
				}
				b.ReportMetric(float64(p.memory()-before)/streams, "B/request")
				closeStreams(opened)
			}
		})
	}
}

// TestSlowReaders guards against callers that hardly read their answers: the daemon stays within its
// memory, and ordinary requests are answered beside them.
func TestSlowReaders(t *testing.T) {
	const (
		readers  = 300
		answer   = 4 << 20
		pause    = 500 * time.Millisecond
		duration = 10 * time.Second
	)
	c := qt.New(t)
	e := &rawEndpoint{answer: func(conn net.Conn, r *http.Request) {
		_ = conn.SetDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Length: %d\r\n\r\n%s",
			formatter.ID, r.Header.Get(formatter.ID), formatter.Seal, answer, strings.Repeat("a", answer))
	}}
	r := openRaw(c, e)
	p := r.daemons[0].current()
	resetPeak(p)
	var reading sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range readers {
		reading.Go(func() {
			conn, err := r.dialDaemon()
			if err != nil {
				return
			}
			defer conn.Close()
			id := "slow" + strconv.Itoa(i)
			_, err = fmt.Fprintf(conn, "POST /call0/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nAuthorization: Bearer %s\r\n%s: 60000\r\nContent-Length: 0\r\n\r\n",
				id, serviceHost, formatter.ID, id, constantKey, formatter.Deadline)
			for buffer := make([]byte, 1); err == nil && time.Now().Before(end); time.Sleep(pause) {
				_, err = conn.Read(buffer)
			}
		})
	}
	for i := 0; time.Now().Before(end); i++ {
		start := time.Now()
		c.Check(r.served("beside"+strconv.Itoa(i)), qt.IsTrue)
		c.Check(time.Since(start) < 2*time.Second, qt.IsTrue, qt.Commentf("after %v", time.Since(start)))
		time.Sleep(pause)
	}
	reading.Wait()
	c.Check(p.running(), qt.IsTrue)
	c.Check(e.requests.Load() >= readers, qt.IsTrue)
	c.Check(p.peakMemory() <= crowdMemory, qt.IsTrue, qt.Commentf("peak of memory: %d MB", p.peakMemory()>>20))
	t.Logf("peak of memory: %d MB, %d requests", p.peakMemory()>>20, e.requests.Load())
}
