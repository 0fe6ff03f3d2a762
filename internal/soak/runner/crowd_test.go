package runner

import (
	"bufio"
	"bytes"
	"encoding/json"
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
	// crowdMemory and crowdDescriptors are the limits of a daemon that meets a crowd, and
	// crowdBody the longest body that its routing table allows, in bytes.
	crowdMemory      = 64 << 20
	crowdDescriptors = 400
	crowdBody        = 4 << 20
	// crowdSettle bounds the time in which a crowd sends, and crowdAnswer the time until an
	// ordinary request is answered.
	crowdSettle = 20 * time.Second
	crowdAnswer = time.Minute
	// foreverBytes is how much a client sends that does not end by itself.
	foreverBytes = 16 * crowdBody
)

// crowdClient sends a request to a daemon: its framing header and its body.
type crowdClient struct {
	framing string
	write   func(w io.Writer)
}

// send sends the request with an id.
func (cc crowdClient) send(w io.Writer, id string) {
	_, err := fmt.Fprintf(w, "POST /book/%s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nAuthorization: Bearer %s\r\n%s: 60000\r\n%s\r\n\r\n",
		id, serviceHost, formatter.ID, id, constantKey, formatter.Deadline, cc.framing)
	if err == nil {
		cc.write(w)
	}
}

// announced sends a body with a length, all but the last missing bytes.
func announced(length, missing int) crowdClient {
	return crowdClient{"Content-Length: " + strconv.Itoa(length), func(w io.Writer) {
		block := bytes.Repeat([]byte("x"), 64<<10)
		for left := min(length-missing, foreverBytes); left > 0; {
			n, err := w.Write(block[:min(left, len(block))])
			if left -= n; err != nil {
				return
			}
		}
	}}
}

// chunked sends a body in chunks of a size without the chunk that ends it, unless ends is true.
func chunked(length, size int, ends bool) crowdClient {
	return crowdClient{"Transfer-Encoding: chunked", func(w io.Writer) {
		buffered := bufio.NewWriterSize(w, 64<<10)
		chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
		for left := length; left > 0; left -= size {
			if _, err := buffered.Write(chunk); err != nil {
				return
			}
		}
		if ends {
			_, _ = buffered.WriteString("0\r\n\r\n")
		}
		_ = buffered.Flush()
	}}
}

// idle sends nothing after the head.
func idle() crowdClient {
	return crowdClient{"Content-Length: 10", func(io.Writer) {}}
}

// openCrowded starts a daemon with low limits, its store and its endpoints.
func openCrowded(c *qt.C, bin string) *Runner {
	r := newLimited(c, bin, crowdDescriptors)
	c.Assert(r.open(c.Context()), qt.IsNil)
	r.version.Add(1)
	data, err := json.Marshal(formatter.Table(int(r.version.Load()), serviceHost, "crowd", constantKey, keyOf(2)))
	c.Assert(err, qt.IsNil)
	data = bytes.Replace(data, []byte(`"maxBodyBytes":1000`), []byte(`"maxBodyBytes":`+strconv.Itoa(crowdBody)), 1)
	c.Assert(r.store.Put(formatter.Tables, formatter.CurrentTable, json.RawMessage(data)), qt.IsNil)
	return r
}

// dialDaemon opens a connection to the daemon's own address.
func (r *Runner) dialDaemon() (net.Conn, error) {
	return net.Dial("tcp", r.addr(daemonNet, 1, listenPort))
}

// ask sends a request and returns the status of its answer, 0 if none comes.
func (r *Runner) ask(id string, client crowdClient) int {
	conn, err := r.dialDaemon()
	if err != nil {
		return 0
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(crowdAnswer))
	return r.exchangeRaw(conn, id, client)
}

// exchangeRaw sends a request on a connection and returns the status of its answer, 0 if none comes.
func (r *Runner) exchangeRaw(conn net.Conn, id string, client crowdClient) int {
	var sent sync.WaitGroup
	defer sent.Wait()
	sent.Go(func() { client.send(conn, id) })
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// served reports whether an ordinary request is answered with success, sent again as callers do.
func (r *Runner) served(id string) bool {
	for i, end := 0, time.Now().Add(crowdAnswer); time.Now().Before(end); i++ {
		if r.ask(id+"-"+strconv.Itoa(i), announced(100, 0)) == http.StatusOK {
			return true
		}
		time.Sleep(readyInterval)
	}
	return false
}

// gather opens a crowd, whose clients stay until the returned function is called, and waits until
// all have sent what they can.
func (r *Runner) gather(c *qt.C, clients int, client crowdClient) (leave func()) {
	var (
		conns   []net.Conn
		sending sync.WaitGroup
	)
	for i := range clients {
		conn, err := r.dialDaemon()
		c.Assert(err, qt.IsNil)
		conns = append(conns, conn)
		sending.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(crowdSettle))
			client.send(conn, "crowd"+strconv.Itoa(i))
		})
	}
	sending.Wait()
	return func() {
		for _, conn := range conns {
			_ = conn.Close()
		}
	}
}

// TestCrowd guards against callers that don't behave: with many large, unfinished or endless bodies
// at once the daemon stays within its memory and its descriptors, and an ordinary request is
// answered, while they stay and after they have gone.
func TestCrowd(t *testing.T) {
	bin := buildPrograms(qt.New(t))
	tests := []struct {
		name    string
		clients int
		client  crowdClient
	}{
		{"announced, ten bytes short", 40, announced(crowdBody, 10)},
		{"chunked, no end", 40, chunked(crowdBody, 64<<10, false)},
		{"small chunks, no end", 40, chunked(crowdBody, 16, false)},
		{"chunks of a byte, no end", 40, chunked(200_000, 1, false)},
		{"whole", 40, announced(crowdBody, 0)},
		{"whole, chunked", 40, chunked(crowdBody, 64<<10, true)},
		{"announced far over the limit", 40, announced(1<<30, 0)},
		{"sent far over the limit", 40, chunked(foreverBytes, 64<<10, false)},
		{"many connections", crowdDescriptors + 100, idle()},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := openCrowded(c, bin)
			c.Assert(r.served("before"), qt.IsTrue)
			p := r.daemons[0].current()
			leave := r.gather(c, test.clients, test.client)
			descriptors := p.descriptors()
			c.Check(r.served("beside"), qt.IsTrue)
			descriptors = max(descriptors, p.descriptors())
			leave()
			c.Check(r.served("after"), qt.IsTrue)
			c.Check(p.running(), qt.IsTrue)
			c.Check(p.peakMemory() <= crowdMemory, qt.IsTrue, qt.Commentf("peak of memory: %d MB", p.peakMemory()>>20))
			c.Check(descriptors <= crowdDescriptors, qt.IsTrue, qt.Commentf("%d descriptors", descriptors))
			t.Logf("peak of memory: %d MB, %d descriptors", p.peakMemory()>>20, descriptors)
		})
	}
}

// TestCalmBodies guards against limits that a single request inside the pages' limits meets.
func TestCalmBodies(t *testing.T) {
	c := qt.New(t)
	r := openCrowded(c, buildPrograms(c))
	c.Assert(r.served("before"), qt.IsTrue)
	for i, client := range []crowdClient{announced(crowdBody, 0), chunked(crowdBody, 64<<10, true), chunked(crowdBody, 256, true), announced(0, 0)} {
		c.Check(r.ask("calm"+strconv.Itoa(i), client), qt.Equals, http.StatusOK, qt.Commentf("body %d", i))
	}
}
