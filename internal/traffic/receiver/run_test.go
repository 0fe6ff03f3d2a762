package receiver_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	sr "samphireturn"
	"samphireturn/internal/core/assembler"
	"samphireturn/internal/core/kernel"
	"samphireturn/internal/standin/booker"
	"samphireturn/internal/standin/generator"
	"samphireturn/internal/standin/injector"
	"samphireturn/internal/standin/keeper"
	"samphireturn/internal/standin/starter"
	"samphireturn/internal/traffic/receiver"
)

const (
	settle = 8 * time.Second // time for listings, reports and links to settle
	bearer = "Bearer counter-key"

	// limitedTeam configures a team with low limits, whose key is "tight-key".
	limitedTeam = `
[[model]]
name = "idle"
  [[model.version]]
  name = "v1"
  state = "live"
  share = 1.0

[[team]]
name = "tight"
keys = ["HASH"]
models = ["small", "idle"]
concurrent = 1
tokens = 100
`
)

// site is a small installation: engines and a service in north, an engine in
// south, and a daemon in each.
type site struct {
	*starter.Starter
	c       *qt.C
	t       *testing.T
	north   *starter.Daemon
	south   *starter.Daemon
	engines map[string]*generator.Generator
	booker  *booker.Booker
	fault   atomic.Pointer[injector.Fault]
}

// newSite starts a site, whose daemons log to logs if given, and lets it settle.
func newSite(t *testing.T, logs ...io.Writer) *site {
	t.Helper()
	c := qt.New(t)
	config, err := os.ReadFile("../../../examples/config.toml")
	c.Assert(err, qt.IsNil)
	s := &site{c: c, t: t, engines: map[string]*generator.Generator{}}
	s.Starter, err = starter.New()
	c.Assert(err, qt.IsNil)
	if len(logs) > 0 {
		s.Log = zerolog.SyncWriter(io.MultiWriter(logs...))
	}
	_, err = s.Apply(context.Background(), string(config)+strings.Replace(limitedTeam, "HASH", hash("tight-key"), 1))
	c.Assert(err, qt.IsNil)
	for _, e := range []struct{ id, centre, version string }{
		{"engine1", "north", "small@v1"}, {"engine2", "north", "small@v2"},
		{"engine3", "north", "large@v1"}, {"engine4", "south", "small@v1"},
	} {
		g := &generator.Generator{ID: e.id, Incarnation: 1, Versions: []string{e.version}, Quality: 0.9}
		g.Injector.Hook = s.nextFault
		c.Assert(s.Engine(e.centre, g), qt.IsNil)
		s.engines[e.id] = g
	}
	s.booker = &booker.Booker{ID: "tickets1", Incarnation: 1, Budget: 8}
	s.booker.Injector.Hook = s.nextFault
	c.Assert(s.Service("north", "tickets", s.booker), qt.IsNil)
	s.north, err = s.Daemon(context.Background(), "entry1", "north")
	c.Assert(err, qt.IsNil)
	s.south, err = s.Daemon(context.Background(), "entry2", "south")
	c.Assert(err, qt.IsNil)
	time.Sleep(settle)
	return s
}

// hash returns a key in the form that configurations hold.
func hash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// faults sets one fault at all engines and the service.
func (s *site) faults(f injector.Fault) { s.fault.Store(&f) }

// nextFault returns the fault of the next request.
func (s *site) nextFault(string) injector.Fault {
	if f := s.fault.Load(); f != nil {
		return *f
	}
	return injector.Fault{}
}

// runs returns how often a request id was run at all endpoints together.
func (s *site) runs(id string) int {
	n := s.booker.RunCount(id)
	for _, g := range s.engines {
		n += g.RunCount(id)
	}
	return n
}

// reply is the part of an answer that the tests check.
type reply struct {
	status        int
	code, run, id string
	retryAfter    string // Retry-After
	err           error
}

// post sends a request to the northern daemon.
func (s *site) post(path, body string, header ...string) reply {
	header = append([]string{"Authorization", bearer}, header...)
	status, h, answer, err := s.north.Do(context.Background(), http.MethodPost, path, body, header...)
	r := reply{status: status, id: h.Get("Samphire-Request"), retryAfter: h.Get("Retry-After"), err: err}
	var e struct {
		Error struct {
			Code string `json:"code"`
			Run  string `json:"run"`
		} `json:"error"`
	}
	if json.Unmarshal([]byte(answer), &e) == nil {
		r.code, r.run = e.Error.Code, e.Error.Run
	}
	return r
}

// occupy keeps n requests in flight at the engines of a model for 20 s.
func (s *site) occupy(n int, model, tokens string, header ...string) {
	s.faults(injector.Fault{Delay: 20 * time.Second})
	for range n {
		go s.post(chatPath, chat(model, tokens, false), header...)
	}
	synctest.Wait()
	time.Sleep(100 * time.Millisecond)
	synctest.Wait()
}

const (
	chatPath = "/v1/chat/completions"
	bookPath = "/v1/services/tickets/bookings"
)

func chat(model, tokens string, stream bool) string {
	return `{"model":"` + model + `","max_tokens":` + tokens + `,"stream":` + strconv.FormatBool(stream) + `,"messages":[{"role":"user","content":"hi"}]}`
}

// reasons returns the values of all Reason constants of the root package.
func reasons(c *qt.C) map[string]bool {
	file, err := parser.ParseFile(token.NewFileSet(), "../../../refusal.go", nil, 0)
	c.Assert(err, qt.IsNil)
	found := map[string]bool{}
	ast.Inspect(file, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if ok && strings.HasPrefix(v.Names[0].Name, "Reason") {
			value, err := strconv.Unquote(v.Values[0].(*ast.BasicLit).Value)
			c.Assert(err, qt.IsNil)
			found[value] = true
		}
		return true
	})
	return found
}

// TestFaultRun provokes each reason of a refusal and checks its "run" against what
// the endpoints executed. Before is the number of runs of earlier requests with the
// same id.
func TestFaultRun(t *testing.T) {
	large := chat("large", "9000", false)
	tests := []struct {
		reason, run string
		before      int
		request     func(s *site) reply
	}{
		{sr.ReasonUnauthorized, "no", 0, func(s *site) reply { return s.post(chatPath, large, "Authorization", "Bearer x") }},
		{sr.ReasonBadRequest, "no", 0, func(s *site) reply { return s.post(chatPath, "hello") }},
		{sr.ReasonTooLarge, "no", 0, func(s *site) reply { return s.post(chatPath, strings.Repeat("x", 5<<20)) }},
		{sr.ReasonTooLarge, "no", 0, func(s *site) reply { return s.post(chatPath, chat("large", "100000", false)) }},
		{sr.ReasonUnknownModel, "no", 0, func(s *site) reply { return s.post(chatPath, chat("huge", "9", false)) }},
		{sr.ReasonForbidden, "no", 0, func(s *site) reply { return s.post(chatPath, chat("idle", "9", false)) }},
		{sr.ReasonBadSession, "no", 0, func(s *site) reply { return s.post(chatPath, large, "Samphire-Session", "AAAA") }},
		{sr.ReasonTeamConcurrent, "no", 0, func(s *site) reply {
			s.occupy(1, "small", "9", "Authorization", "Bearer tight-key")
			return s.post(chatPath, chat("small", "9", false), "Authorization", "Bearer tight-key")
		}},
		{sr.ReasonTeamTokens, "no", 0, func(s *site) reply {
			s.post(chatPath, chat("small", "90", false), "Authorization", "Bearer tight-key")
			return s.post(chatPath, chat("small", "90", false), "Authorization", "Bearer tight-key")
		}},
		{sr.ReasonNoEndpoint, "no", 0, func(s *site) reply {
			return s.post(chatPath, chat("idle", "9", false), "Authorization", "Bearer tight-key")
		}},
		{sr.ReasonBusy, "no", 0, func(s *site) reply {
			s.occupy(2, "large", "9000")
			return s.post(chatPath, large)
		}},
		{sr.ReasonBusy, "no", 0, func(s *site) reply {
			s.faults(injector.Fault{Refuse: true})
			return s.post(chatPath, large)
		}},
		{sr.ReasonBusy, "no", 0, func(s *site) reply {
			s.faults(injector.Fault{Refuse: true})
			return s.post(bookPath, "{}")
		}},
		{sr.ReasonEndpointFailed, "unknown", 0, func(s *site) reply {
			s.faults(injector.Fault{ResetBefore: true})
			return s.post(bookPath, "{}")
		}},
		{sr.ReasonEndpointFailed, "unknown", 0, func(s *site) reply {
			s.faults(injector.Fault{ResetAfter: true})
			return s.post(bookPath, "{}")
		}},
		{sr.ReasonEndpointFailed, "unknown", 0, func(s *site) reply {
			s.faults(injector.Fault{Fail: true})
			return s.post(chatPath, chat("large", "9", false))
		}},
		{sr.ReasonEndpointFailed, "no", 0, func(s *site) reply {
			s.Network.Partition(func(_, to string) bool { return to == "tickets1:80" })
			return s.post(bookPath, "{}")
		}},
		{sr.ReasonDeadline, "unknown", 0, func(s *site) reply {
			s.faults(injector.Fault{Delay: 20 * time.Second})
			return s.post(bookPath, "{}", "Samphire-Deadline", "3")
		}},
		{sr.ReasonDeadline, "no", 0, func(s *site) reply {
			s.occupy(2, "large", "9000")
			return s.post(chatPath, large, "Samphire-Deadline", "1")
		}},
		{sr.ReasonUnknownRequestID, "unknown", 0, func(s *site) reply {
			token := s.issueID(s.south)
			s.c.Assert(s.south.Close(), qt.IsNil)
			s.c.Assert(s.Unlist("entry2"), qt.IsNil)
			time.Sleep(settle)
			return s.post(bookPath, "{}", "Samphire-Request", token)
		}},
		{sr.ReasonKeyInUse, "unknown", 0, func(s *site) reply {
			s.faults(injector.Fault{Delay: 20 * time.Second})
			go s.post(bookPath, "{}", "Idempotency-Key", "k")
			time.Sleep(5 * time.Second)
			return s.post(bookPath, "{}", "Idempotency-Key", "k", "Samphire-Deadline", "2")
		}},
		{sr.ReasonKeyMismatch, "no", 1, func(s *site) reply {
			s.post(bookPath, "{}", "Idempotency-Key", "k")
			return s.post(bookPath, `{"other":1}`, "Idempotency-Key", "k")
		}},
		{sr.ReasonPlatformUnavailable, "no", 0, func(s *site) reply {
			s.Objects.SetFaults(keeper.Faults{Down: true})
			return s.post(bookPath, "{}", "Idempotency-Key", "k")
		}},
		{sr.ReasonNotReady, "no", 0, func(s *site) reply {
			s.Network.Partition(func(from, _ string) bool { return from == "entry9" })
			notReady, err := s.Start(context.Background(), sr.VM{ID: "entry9", Centre: "north", Addr: "entry9:80", Peer: "entry9:90"})
			s.c.Assert(err, qt.IsNil)
			s.north = notReady
			return s.post(chatPath, large)
		}},
		{sr.ReasonClosing, "no", 0, (*site).whileClosing},
		{sr.ReasonStreamBroken, "", 1, func(s *site) reply {
			time.AfterFunc(300*time.Millisecond, func() {
				s.Network.Partition(func(_, to string) bool { return to == "engine3:80" })
			})
			return s.post(chatPath, chat("large", "90", true))
		}},
	}
	c := qt.New(t)
	missing := reasons(c)
	for _, tt := range tests {
		delete(missing, tt.reason)
		t.Run(tt.reason+" "+tt.run, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t)
				r := tt.request(s)
				if tt.reason == sr.ReasonStreamBroken {
					s.c.Check(r.err, qt.IsNotNil)
				} else {
					s.c.Check(r.err, qt.IsNil)
					s.c.Check(r.code, qt.Equals, tt.reason)
					s.c.Check(r.run, qt.Equals, tt.run)
				}
				if r.run == sr.ExecutedNo {
					s.c.Check(s.runs(r.id), qt.Equals, tt.before, qt.Commentf("request %s", r.id))
				}
				if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
					s.c.Check(r.retryAfter, qt.Not(qt.Equals), "")
				}
				s.end()
			})
		})
	}
	c.Check(missing, qt.HasLen, 0, qt.Commentf("reasons without a row"))
}

// end waits for the requests in flight and closes the site.
func (s *site) end() {
	s.Objects.SetFaults(keeper.Faults{})
	time.Sleep(time.Minute)
	_ = s.Close()
}

// issueID returns a request id issued by the daemon.
func (s *site) issueID(d *starter.Daemon) string {
	_, _, answer, err := d.Do(context.Background(), http.MethodPost, "/v1/ids", `{"count":1}`, "Authorization", bearer)
	s.c.Assert(err, qt.IsNil)
	var ids struct {
		IDs []string `json:"ids"`
	}
	s.c.Assert(json.Unmarshal([]byte(answer), &ids), qt.IsNil)
	s.c.Assert(ids.IDs, qt.HasLen, 1, qt.Commentf("%s", answer))
	return ids.IDs[0]
}

// whileClosing sends a request on a connection that was opened before the daemon
// began to close.
func (s *site) whileClosing() reply {
	conn, err := s.Network.Dial("caller")(context.Background(), "tcp", s.north.VM.Addr)
	s.c.Assert(err, qt.IsNil)
	defer conn.Close()
	r, err := kernel.Find[*receiver.Receiver](s.north.Kernel, assembler.Receiver)
	s.c.Assert(err, qt.IsNil)
	r.ShutdownDelay = time.Second
	body := chat("large", "9", false)
	_, err = io.WriteString(conn, "POST "+chatPath+" HTTP/1.1\r\n")
	s.c.Assert(err, qt.IsNil)
	synctest.Wait()
	go s.north.Close()
	time.Sleep(r.ShutdownDelay + time.Millisecond)
	_, err = io.WriteString(conn, "Host: x\r\nAuthorization: "+bearer+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	s.c.Assert(err, qt.IsNil)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	s.c.Assert(err, qt.IsNil)
	defer res.Body.Close()
	var e struct {
		Error struct{ Code, Run string }
	}
	s.c.Assert(json.NewDecoder(res.Body).Decode(&e), qt.IsNil)
	return reply{status: res.StatusCode, code: e.Error.Code, run: e.Error.Run, retryAfter: res.Header.Get("Retry-After")}
}
