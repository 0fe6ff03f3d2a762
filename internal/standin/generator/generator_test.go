package generator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/standin/generator"
	"samphireturn/internal/standin/injector"
)

// do sends one request and returns the answer; its code is 0 if the handler aborts
// the connection.
func do(g http.Handler, method, path, id, body string) (w *httptest.ResponseRecorder) {
	w = httptest.NewRecorder()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("X-Request-Id", id)
	defer func() {
		if recover() == http.ErrAbortHandler {
			w.Code = 0
		}
	}()
	g.ServeHTTP(w, r)
	return w
}

func chat(g http.Handler, id, extra string) *httptest.ResponseRecorder {
	body := `{"model":"m@v1","messages":[{"role":"user","content":"hi"}]` + extra + `}`
	return do(g, "POST", "/v1/chat/completions", id, body)
}

func run(t *testing.T, g *generator.Generator, f func(c *qt.C)) {
	synctest.Test(t, func(t *testing.T) {
		g.Versions = []string{"m@v1"}
		defer g.Close()
		f(qt.New(t))
	})
}

// TestOverload checks that the engine refuses what exceeds its share of the budget
// while it warms up, and what exceeds the budget and the queue afterwards. A refused
// request must be marked as not started and not be run, so that a retry is safe.
func TestOverload(t *testing.T) {
	g := &generator.Generator{Budget: 100, WarmUp: 10 * time.Second, WarmUpShare: 0.1, MaxQueued: 100}
	run(t, g, func(c *qt.C) {
		w := chat(g, "cold", `,"max_tokens":50`)
		c.Assert(w.Code, qt.Equals, 503)
		c.Assert(w.Header().Get("X-Started"), qt.Equals, "no")
		c.Assert(w.Header().Get("Retry-After"), qt.Equals, "1")
		c.Assert(w.Body.String(), qt.Contains, `"overloaded"`)
		c.Assert(g.RunCount("cold"), qt.Equals, 0)
		c.Assert(do(g, "GET", "/report", "", "").Body.String(), qt.Contains, `"warm":false`)
		time.Sleep(6 * time.Second)
		c.Assert(chat(g, "half", `,"max_tokens":50`).Code, qt.Equals, 200)
		time.Sleep(4 * time.Second)
		c.Assert(do(g, "GET", "/report", "", "").Body.String(), qt.Contains, `"warm":true`)
		codes := make(chan int, 3)
		for range 3 {
			go func() { codes <- chat(g, "warm", `,"max_tokens":90`).Code }()
		}
		c.Assert([]int{<-codes, <-codes, <-codes}, qt.DeepEquals, []int{503, 200, 200})
		c.Assert(g.RunCount("warm"), qt.Equals, 2)
	})
}

// TestRefusals checks that each reason for a refusal has its own code and that a
// refused request is not run.
func TestRefusals(t *testing.T) {
	tests := []struct {
		faults injector.Faults
		model  string
		want   string
	}{
		{injector.Faults{Draining: true}, "m@v1", `"leaving"`},
		{injector.Faults{Refuse: 1}, "m@v1", `"overloaded"`},
		{injector.Faults{}, "m@v2", `"not_loaded"`},
	}
	for _, tt := range tests {
		t.Run(tt.want, func(t *testing.T) {
			g := &generator.Generator{}
			run(t, g, func(c *qt.C) {
				g.Injector.Set(tt.faults)
				w := chat(g, "a", `,"model":"`+tt.model+`"`)
				c.Assert(w.Code, qt.Equals, 503)
				c.Assert(w.Header().Get("X-Started"), qt.Equals, "no")
				c.Assert(w.Body.String(), qt.Contains, tt.want)
				c.Assert(g.RunCount("a"), qt.Equals, 0)
			})
		})
	}
}

// TestResume checks that a stream whose connection was reset continues after the last
// received chunk, without a second run and without lost or repeated chunks, and that
// it cannot be resumed after ResumeTime.
func TestResume(t *testing.T) {
	g := &generator.Generator{ResumeTime: time.Minute}
	run(t, g, func(c *qt.C) {
		g.Injector.Hook = func(string) injector.Fault { return injector.Fault{ResetAfter: true} }
		w := chat(g, "a", `,"stream":true,"max_tokens":4`)
		c.Assert(w.Code, qt.Equals, 0)
		c.Assert(w.Body.String(), qt.Contains, "id: 1\n")
		c.Assert(w.Body.String(), qt.Not(qt.Contains), "[DONE]")
		rest := do(g, "GET", "/v1/streams/a?from=1", "", "").Body.String()
		c.Assert(strings.Count(rest, "id: "), qt.Equals, 4)
		c.Assert(rest, qt.Not(qt.Contains), "id: 1\n")
		c.Assert(strings.HasSuffix(rest, "data: [DONE]\n\n"), qt.IsTrue)
		g.Injector.Hook = nil
		whole := chat(g, "b", `,"stream":true,"max_tokens":4`).Body.String()
		c.Assert(strings.ReplaceAll(whole, `"b"`, `"a"`), qt.Equals, w.Body.String()+rest)
		c.Assert(g.RunCount("a"), qt.Equals, 1)
		time.Sleep(2 * time.Minute)
		c.Assert(do(g, "GET", "/v1/streams/a?from=1", "", "").Code, qt.Equals, 404)
	})
}

// TestCancel checks that a cancelled stream ends without [DONE] and returns its tokens
// to the budget.
func TestCancel(t *testing.T) {
	g := &generator.Generator{TokenGap: time.Second}
	run(t, g, func(c *qt.C) {
		done := make(chan *httptest.ResponseRecorder)
		go func() { done <- chat(g, "a", `,"stream":true,"max_tokens":100`) }()
		time.Sleep(10 * time.Second)
		c.Assert(do(g, "GET", "/report", "", "").Body.String(), qt.Contains, `"used":102`)
		c.Assert(do(g, "DELETE", "/v1/streams/a", "", "").Code, qt.Equals, 204)
		w := <-done
		c.Assert(w.Code, qt.Equals, 0)
		c.Assert(w.Body.String(), qt.Not(qt.Contains), "[DONE]")
		synctest.Wait()
		c.Assert(do(g, "GET", "/report", "", "").Body.String(), qt.Contains, `"used":0`)
	})
}

// TestFence checks that only a fenced engine refuses an order with an outdated fencing
// number, and that both keep the highest number.
func TestFence(t *testing.T) {
	tests := []struct {
		fenced bool
		code   int
	}{{true, 409}, {false, 200}}
	for _, tt := range tests {
		g := &generator.Generator{Fenced: tt.fenced}
		run(t, g, func(c *qt.C) {
			c.Assert(do(g, "POST", "/orders", "", `{"fence":5,"kind":"load","name":"m@v2"}`).Code, qt.Equals, 200)
			w := do(g, "POST", "/orders", "", `{"fence":4,"kind":"load","name":"m@v3"}`)
			c.Assert(w.Code, qt.Equals, tt.code)
			c.Assert(w.Body.String(), qt.Equals, "{\"fence\":5}\n")
			rep := do(g, "GET", "/report", "", "").Body.String()
			c.Assert(strings.Contains(rep, "m@v3"), qt.Equals, !tt.fenced)
		})
	}
}

// TestFaults checks the answer and the number of runs for each injected fault.
func TestFaults(t *testing.T) {
	g := &generator.Generator{}
	run(t, g, func(c *qt.C) {
		first := chat(g, "a", "")
		faults := map[string]injector.Fault{"b": {SwapAnswer: true}, "c": {ResetBefore: true}, "d": {ResetAfter: true}, "e": {Fail: true}}
		g.Injector.Hook = func(id string) injector.Fault { return faults[id] }
		w := chat(g, "b", "")
		c.Assert(w.Header().Get("X-Request-Id"), qt.Equals, "a")
		c.Assert(w.Body.String(), qt.Equals, first.Body.String())
		for id, want := range map[string][2]int{"b": {200, 2}, "c": {0, 0}, "d": {0, 1}, "e": {500, 1}} {
			c.Assert([2]int{chat(g, id, "").Code, g.RunCount(id)}, qt.Equals, want, qt.Commentf("%s", id))
		}
	})
}

// TestCache checks that cached prefixes shorten the time to the first token, that the
// least recently used ones are evicted, and that events are late and some are lost.
func TestCache(t *testing.T) {
	g := &generator.Generator{CacheSize: 2, EventLag: time.Minute, DropEveryNthEvent: 3, PrefillRate: 100, TokenGap: time.Millisecond}
	run(t, g, func(c *qt.C) {
		chatTime := func(s string) time.Duration {
			start := time.Now()
			body := `{"model":"m@v1","max_tokens":1,"messages":[{"role":"u","content":"` + strings.Repeat(s, 600) + `"}]}`
			c.Assert(do(g, "POST", "/v1/chat/completions", s, body).Code, qt.Equals, 200)
			return time.Since(start)
		}
		uncached := chatTime("x")
		c.Assert(chatTime("x"), qt.Equals, uncached-512/4*10*time.Millisecond)
		c.Assert(chatTime("y"), qt.Equals, uncached)
		c.Assert(do(g, "GET", "/events?since=0", "", "").Body.String(), qt.Equals, "{\"next\":0,\"events\":[]}\n")
		time.Sleep(time.Minute)
		all := do(g, "GET", "/events?since=0", "", "").Body.String()
		c.Assert(strings.Count(all, `"hold"`), qt.Equals, 3)
		c.Assert(strings.Count(all, `"drop"`), qt.Equals, 1)
		c.Assert(all, qt.Not(qt.Contains), `"seq":3`)
		c.Assert(chatTime("x"), qt.Equals, uncached)
	})
}

// TestCallerDisconnects guards against an answer in one body that keeps its tokens of
// the budget after its caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	g := &generator.Generator{TokenGap: time.Second}
	run(t, g, func(c *qt.C) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		body := strings.NewReader(`{"model":"m@v1","messages":[{"role":"user","content":"hi"}]}`)
		r := httptest.NewRequestWithContext(ctx, "POST", "/v1/chat/completions", body)
		g.ServeHTTP(httptest.NewRecorder(), r)
		synctest.Wait()
		c.Assert(do(g, "GET", "/report", "", "").Body.String(), qt.Contains, `"used":0`)
	})
}

// TestPriorityAndReportLag checks that the queue admits the highest priority first and
// that reports show the load of ReportLag ago.
func TestPriorityAndReportLag(t *testing.T) {
	g := &generator.Generator{Budget: 102, MaxQueued: 1000, TokenGap: 10 * time.Millisecond, ReportLag: 5 * time.Second}
	run(t, g, func(c *qt.C) {
		order := make(chan string, 3)
		for _, id := range []string{"0", "1", "2"} {
			go func() {
				r := httptest.NewRequest("POST", "/v1/chat/completions", strings.NewReader(
					`{"model":"m@v1","max_tokens":100,"messages":[{"role":"user","content":"hi"}]}`))
				r.Header.Set("X-Request-Id", id)
				r.Header.Set("X-Priority", id)
				g.ServeHTTP(httptest.NewRecorder(), r)
				order <- id
			}()
			synctest.Wait()
		}
		c.Assert(do(g, "GET", "/report", "", "").Body.String(), qt.Contains, `"used":0,"queued":0`)
		c.Assert([]string{<-order, <-order, <-order}, qt.DeepEquals, []string{"0", "2", "1"})
		time.Sleep(2500 * time.Millisecond)
		c.Assert(do(g, "GET", "/report", "", "").Body.String(), qt.Contains, `"used":102,"queued":204`)
		time.Sleep(5 * time.Second)
		c.Assert(do(g, "GET", "/report", "", "").Body.String(), qt.Contains, `"used":0,"queued":0`)
	})
}
