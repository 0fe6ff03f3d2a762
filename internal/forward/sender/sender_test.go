package sender_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"

	"samphireturn"
	"samphireturn/internal/core/rationer"
	"samphireturn/internal/forward/sender"
)

// testProtocol decodes the headers of the test endpoint.
type testProtocol struct{ samphireturn.EndpointProtocol }

func (testProtocol) DecodeResponse(res *http.Response) samphireturn.ResponseMeta {
	return samphireturn.ResponseMeta{ID: res.Header.Get("Id"), NotExecuted: res.Header.Get("Refused") != "", IdleTimeout: 10 * time.Second}
}

// script says what an endpoint does on one connection. For each entry, it reads
// one request and writes the entry. An entry that begins with ! is written before the
// request's body is read; the connection is closed after one that ends with !.
type script []string

// endpoint plays one script on each connection.
type endpoint struct {
	scripts []script
	dials   int
	// bodies are the request bodies read, in order.
	bodies []string
}

func (e *endpoint) dial(context.Context, string, string) (net.Conn, error) {
	if e.dials >= len(e.scripts) {
		return nil, io.ErrClosedPipe
	}
	near, far := net.Pipe()
	s := e.scripts[e.dials]
	e.dials++
	go e.serve(far, s)
	return near, nil
}

func (e *endpoint) serve(c net.Conn, s script) {
	defer c.Close()
	r := bufio.NewReader(c)
	for _, entry := range s {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		early := strings.HasPrefix(entry, "!")
		entry = strings.TrimPrefix(entry, "!")
		if !early {
			body, _ := io.ReadAll(req.Body)
			e.bodies = append(e.bodies, string(body))
		}
		ends := strings.HasSuffix(entry, "!")
		_, _ = io.WriteString(c, strings.TrimSuffix(entry, "!"))
		if ends {
			return
		}
	}
	_, _ = io.Copy(io.Discard, r)
}

// answer returns a complete answer to the request with the id.
func answer(id, text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(text), text)
}

// refusal returns the answer of an endpoint that did not run the request with the id.
func refusal(id string) string {
	head := "HTTP/1.1 503 Service Unavailable\r\nRefused: 1\r\nContent-Length: 0\r\n"
	if id != "" {
		head += "Id: " + id + "\r\n"
	}
	return head + "\r\n"
}

// TestRepeatedAnswer guards against an earlier answer that an endpoint writes once more being
// taken for that to a request that it runs: callers were told that it had not run.
func TestRepeatedAnswer(t *testing.T) {
	tests := []struct {
		name    string
		scripts []script
		// ids are those of the requests, and want the bodies of their answers, the kinds of
		// their errors, or "refused".
		ids, want []string
	}{
		{"refusal of the same request", []script{{refusal("r1"), refusal("r1") + answer("r1", "one")}, {answer("r1", "one")}}, []string{"r1", "r1"}, []string{"refused", "one"}},
		{"refusal of the same request, after another", []script{{refusal("r1"), answer("r2", "two"), refusal("r1") + answer("r1", "one")}, {answer("r1", "one")}}, []string{"r1", "r2", "r1"}, []string{"refused", "two", "one"}},
		{"refusal of another request", []script{{refusal("r1"), refusal("r1") + answer("r2", "two")}}, []string{"r1", "r2"}, []string{"refused", "two"}},
		{"refusal without an id", []script{{refusal(""), refusal("") + answer("r2", "two")}}, []string{"r1", "r2"}, []string{"refused", "crossed"}},
		{"refusal without an id, after an answer", []script{{answer("r1", "one"), refusal("") + answer("r2", "two")}}, []string{"r1", "r2"}, []string{"one", "crossed"}},
		{"answer to the same request", []script{{answer("r1", "one"), answer("r1", "one") + answer("r1", "two")}, {answer("r1", "two")}}, []string{"r1", "r1"}, []string{"one", "two"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				e := &endpoint{scripts: test.scripts}
				s := &sender.Sender{EndpointProtocol: testProtocol{}, Dial: e.dial}
				var got []string
				for _, id := range test.ids {
					got = append(got, sendOnce(s, id, ""))
					synctest.Wait()
				}
				c.Check(got, qt.DeepEquals, test.want)
				c.Check(s.Close(), qt.IsNil)
			})
		})
	}
}

// sendOnce sends a request and returns the body of its answer, the kind of the error, or
// "refused" if the endpoint says that it did not run it.
func sendOnce(s *sender.Sender, id, body string) string {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	response, err := s.Send(ctx, &sender.Call{
		Host: &samphireturn.Host{ID: "h", Addr: "h:80"}, ID: id, Method: "POST", Target: "/p?q=1", Authority: "site", Header: http.Header{}, Body: []byte(body),
	})
	if err != nil {
		return sender.AsError(err).Kind.String()
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	if response.Meta.NotExecuted {
		return "refused"
	}
	return string(data)
}

// TestSend sends the requests r1 and r2 to an endpoint that misbehaves in the first
// answer, and checks that r2 never gets a part of another answer and that connections
// are reused only when that is safe.
func TestSend(t *testing.T) {
	long := strings.Repeat("x", 100<<10)
	tests := []struct {
		name    string
		scripts []script
		body    string
		// first and second are the bodies of the answers, or the kinds of the errors.
		first, second string
		dials         int
	}{
		{"reused connection", []script{{answer("r1", "one"), answer("r2", "two")}}, "", "one", "two", 1},
		{"closed after the answer", []script{{answer("r1", "one") + "!"}, {answer("r2", "two")}}, "", "one", "two", 2},
		{"surplus bytes", []script{{answer("r1", "one") + "more"}, {answer("r2", "two")}}, "", "one", "two", 2},
		{"an extra answer", []script{{answer("r1", "one") + answer("r1", "one")}, {answer("r2", "two")}}, "", "one", "two", 2},
		{"a stray answer comes first", []script{{answer("r0", "old") + answer("r1", "one"), answer("r2", "two")}}, "", "one", "two", 1},
		{"only stray answers", []script{{strings.Repeat(answer("r0", "old"), 3)}, {answer("r2", "two")}}, "", "crossed", "two", 2},
		{"no id", []script{{answer("", "one")}, {answer("r2", "two")}}, "", "crossed", "two", 2},
		{"interim answers", []script{{"HTTP/1.1 103 Early Hints\r\n\r\n" + answer("r1", "one"), answer("r2", "two")}}, "", "one", "two", 1},
		{"no length, ends with the connection", []script{{"HTTP/1.1 200 OK\r\nId: r1\r\n\r\none!"}, {answer("r2", "two")}}, "", "one", "two", 2},
		{"cut in the body", []script{{"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 9\r\n\r\none!"}, {answer("r2", "two")}}, "", "unexpected EOF", "two", 2},
		{"cut in a chunk", []script{{"HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\none!"}, {answer("r2", "two")}}, "", "unexpected EOF", "two", 2},
		{"not HTTP", []script{{"garbage\r\n\r\n!"}, {answer("r2", "two")}}, "", "broken", "two", 2},
		{"closed without an answer", []script{{"!!"}, {answer("r2", "two")}}, "", "broken", "two", 2},
		{"answered before the body was read", []script{{"!" + answer("r1", "one")}, {answer("r2", "two")}}, long, "one", "two", 2},
		{"long body", []script{{answer("r1", "one"), answer("r2", "two")}}, long, "one", "two", 1},
		{"can't be reached", nil, "", "dial", "dial", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				e := &endpoint{scripts: test.scripts}
				s := &sender.Sender{EndpointProtocol: testProtocol{}, Dial: e.dial}
				c.Check(sendOnce(s, "r1", test.body), qt.Equals, test.first)
				synctest.Wait()
				c.Check(sendOnce(s, "r2", ""), qt.Equals, test.second)
				c.Check(e.dials, qt.Equals, test.dials)
				for _, b := range e.bodies {
					c.Check(b == "" || b == test.body, qt.IsTrue, qt.Commentf("%d bytes of a body", len(b)))
				}
				c.Check(s.Close(), qt.IsNil)
			})
		})
	}
}

// TestIdle checks that an idle connection is reused only for a part of the endpoint's
// idle timeout, and only for a short time if the request must not be retried.
func TestIdle(t *testing.T) {
	tests := []struct {
		name  string
		idle  time.Duration
		once  bool
		dials int
	}{
		{"at once", 0, false, 1},
		{"half of the idle timeout", 5 * time.Second, false, 1},
		{"nearly all of the idle timeout", 9 * time.Second, false, 2},
		{"once, at once", 100 * time.Millisecond, true, 1},
		{"once, later", time.Second, true, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			now := time.Hour
			e := &endpoint{scripts: []script{{answer("r0", "one"), answer("r1", "two")}, {answer("r1", "two")}}}
			s := &sender.Sender{EndpointProtocol: testProtocol{}, Dial: e.dial, Clock: func() time.Duration { return now }}
			host := &samphireturn.Host{ID: "h", Addr: "h:80"}
			for i := range 2 {
				response, err := s.Send(context.Background(), &sender.Call{
					Host: host, ID: fmt.Sprint("r", i), Method: "GET", Target: "/", Authority: "site", Once: i == 1 && test.once,
				})
				c.Assert(err, qt.IsNil)
				_, err = io.Copy(io.Discard, response.Body)
				c.Assert(err, qt.IsNil)
				now += test.idle
			}
			c.Check(e.dials, qt.Equals, test.dials)
			now += time.Minute
			s.Sweep()
			c.Check(s.Close(), qt.IsNil)
		})
	}
}

// TestOnAnswer checks that the head of each answer that an endpoint sends is told, also of
// answers to other requests.
func TestOnAnswer(t *testing.T) {
	tests := []struct {
		name, answers string
		want          []string
	}{
		{"one", answer("r1", "one"), []string{"h r1"}},
		{"stray answer first", answer("r0", "old") + answer("r1", "one"), []string{"h r0", "h r1"}},
		{"only a stray answer", answer("r0", "old") + "!", []string{"h r0"}},
		{"no id", answer("", "one"), []string{"h "}},
		{"interim answer", "HTTP/1.1 103 Early Hints\r\nId: r1\r\n\r\n" + answer("r1", "one"), []string{"h r1"}},
		{"none", "!!", nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				e := &endpoint{scripts: []script{{test.answers}}}
				var got []string
				s := &sender.Sender{EndpointProtocol: testProtocol{}, Dial: e.dial, OnAnswer: func(h *samphireturn.Host, meta samphireturn.ResponseMeta) {
					got = append(got, h.ID+" "+meta.ID)
				}}
				response, err := s.Send(context.Background(), &sender.Call{
					Host: &samphireturn.Host{ID: "h", Addr: "h:80"}, ID: "r1", Method: "GET", Target: "/", Authority: "site", Header: http.Header{},
				})
				if err == nil {
					c.Check(response.Body.Close(), qt.IsNil)
				}
				c.Check(got, qt.DeepEquals, test.want)
				c.Check(s.Close(), qt.IsNil)
			})
		})
	}
}

// TestHeadBounds checks that heads of answers that are too long, or for which there is no room, are
// errors, and that the room of others is given back once their bodies are closed.
func TestHeadBounds(t *testing.T) {
	const capacity = 100 << 10
	line := "X-A: " + strings.Repeat("a", 4<<10) + "\r\n"
	head := func(fields string) string { return "HTTP/1.1 200 OK\r\nId: r1\r\n" + fields }
	const end = "Content-Length: 3\r\n\r\none"
	tests := []struct {
		name, answer string
		capacity     int64
		want         string
	}{
		{"short", head(end), capacity, "one"},
		{"some long lines", head(strings.Repeat(line, 3) + end), capacity, "one"},
		{"no room", head(strings.Repeat(line, 20) + end), capacity, "broken"},
		{"no bound on all of them", head(strings.Repeat(line, 20) + end), 0, "one"},
		{"no room for blanks", head("X-A:" + strings.Repeat(" ", 100<<10) + "\r\n" + end), capacity, "broken"},
		{"too long", head(strings.Repeat(line, 100) + end), 0, "broken"},
		{"too many fields", head(strings.Repeat("A:\r\n", 5000) + end), 0, "broken"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				answers := &rationer.Rationer{Capacity: test.capacity}
				s := &sender.Sender{EndpointProtocol: testProtocol{}, Dial: (&endpoint{scripts: []script{{test.answer}}}).dial, Answers: answers}
				c.Check(sendOnce(s, "r1", ""), qt.Equals, test.want)
				c.Check(answers.Held(), qt.Equals, int64(0))
				c.Check(s.Close(), qt.IsNil)
			})
		})
	}
}

// TestMalformedThenSilent checks that a head that can't be read ends the call at once, also if the
// endpoint sends it in parts and nothing after them: the parser drops an error where a line might go on.
func TestMalformedThenSilent(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\n"
	tests := []struct{ name, first, next string }{
		{"blank in a name", head, "X Bad: 1\r\n"},
		{"folded line", head, " more\r\n"},
		{"control byte", head, "\x01"},
		{"too long", head, strings.Repeat("A:\r\n", 5000)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				near, far := net.Pipe()
				go func() {
					if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
						return
					}
					_, _ = io.WriteString(far, test.first)
					_, _ = io.WriteString(far, test.next)
				}()
				s := &sender.Sender{EndpointProtocol: testProtocol{}, Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil }}
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				start := time.Now()
				_, err := s.Send(ctx, &sender.Call{Host: &samphireturn.Host{ID: "h", Addr: "h:80"}, ID: "r1", Method: "GET", Target: "/", Authority: "site", Header: http.Header{}})
				c.Assert(err, qt.IsNotNil)
				c.Check(sender.AsError(err).Kind, qt.Equals, sender.KindConnLost)
				c.Check(time.Since(start), qt.Equals, time.Duration(0))
				c.Check(far.Close(), qt.IsNil)
				c.Check(s.Close(), qt.IsNil)
			})
		})
	}
}

// TestDialOptions checks what decides when a connection to a lost host fails: bytes and probes
// that are not acknowledged for UnackedTimeout. A probe is due before that, and a second of
// silence is no loss.
func TestDialOptions(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	conn, err := sender.DialTCP(context.Background(), "tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	options := make(map[int]int)
	c.Assert(raw.Control(func(fd uintptr) {
		for _, option := range []int{unix.TCP_USER_TIMEOUT, unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL} {
			value, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			c.Check(err, qt.IsNil)
			options[option] = value
		}
	}), qt.IsNil)
	c.Check(options[unix.TCP_USER_TIMEOUT], qt.Equals, int(sender.UnackedTimeout.Milliseconds()))
	c.Check(sender.UnackedTimeout >= 2*time.Second, qt.IsTrue)
	probed := time.Duration(options[unix.TCP_KEEPIDLE]+options[unix.TCP_KEEPINTVL]) * time.Second
	c.Check(probed <= sender.UnackedTimeout, qt.IsTrue)
}
