package assembler_test

import (
	"context"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sashabaranov/go-openai"

	"samphireturn/internal/standin/booker"
	"samphireturn/internal/standin/generator"
	"samphireturn/internal/standin/starter"
)

const (
	key        = "counter-key"
	bearer     = "Bearer " + key
	settleTime = 8 * time.Second // until VM lists, load reports and peer links are up to date
)

// install starts a small installation: four engines, a plain service and three
// daemons in two data centres.
func install(t *testing.T, c *qt.C) (*starter.Starter, []*starter.Daemon) {
	t.Helper()
	return installWith(t, c, 0)
}

// installWith is install with the shutdown delay, the setting limits.notice.
func installWith(t *testing.T, c *qt.C, notice time.Duration) (*starter.Starter, []*starter.Daemon) {
	t.Helper()
	ctx := context.Background()
	config, err := os.ReadFile("../../../examples/config.toml")
	c.Assert(err, qt.IsNil)
	s, err := starter.New()
	c.Assert(err, qt.IsNil)
	s.ShutdownDelay = notice
	_, err = s.Apply(ctx, string(config))
	c.Assert(err, qt.IsNil)
	engines := []struct {
		id, centre, version string
		quality             float64
	}{
		{"engine1", "north", "small@v1", 0.6},
		{"engine2", "north", "small@v2", 0.6},
		{"engine3", "north", "large@v1", 0.95},
		{"engine4", "south", "small@v1", 0.6},
	}
	for _, e := range engines {
		g := &generator.Generator{ID: e.id, Incarnation: 1, Versions: []string{e.version}, Quality: e.quality}
		c.Assert(s.Engine(e.centre, g), qt.IsNil)
	}
	c.Assert(s.Service("north", "tickets", &booker.Booker{ID: "tickets1", Incarnation: 1, Budget: 8, Slots: 10}), qt.IsNil)
	var daemons []*starter.Daemon
	for _, d := range []struct{ id, centre string }{{"entry1", "north"}, {"entry2", "north"}, {"entry3", "south"}} {
		daemon, err := s.Daemon(ctx, d.id, d.centre)
		c.Assert(err, qt.IsNil)
		daemons = append(daemons, daemon)
	}
	time.Sleep(settleTime)
	synctest.Wait()
	return s, daemons
}

// TestBadInput checks that invalid requests are refused with the right code and declared
// as not run, and that a valid request is served afterwards.
func TestBadInput(t *testing.T) {
	chat := `{"model":"small","messages":[{"role":"user","content":"hi"}]}`
	tests := []struct {
		name, method, path, body string
		header                   []string
		status                   int
		code                     string
	}{
		{"wrong key", "POST", "/v1/chat/completions", chat, []string{"Authorization", "Bearer nobody"}, 401, "unauthorized"},
		{"no key", "POST", "/v1/chat/completions", chat, []string{"Authorization", ""}, 401, "unauthorized"},
		{"not JSON", "POST", "/v1/chat/completions", "hello", nil, 400, "bad_request"},
		{"unknown model", "POST", "/v1/chat/completions", strings.Replace(chat, "small", "huge", 1), nil, 404, "unknown_model"},
		{"withdrawn version", "POST", "/v1/chat/completions", strings.Replace(chat, "small", "large@v0", 1), nil, 503, "no_endpoint"},
		{"large body", "POST", "/v1/chat/completions", strings.Repeat("x", 5<<20), nil, 413, "too_large"},
		{"forged session", "POST", "/v1/chat/completions", chat, []string{"Samphire-Session", "AAAA"}, 400, "bad_session"},
		{"bad deadline", "POST", "/v1/chat/completions", chat, []string{"Samphire-Deadline", "soon"}, 400, "bad_request"},
		{"unknown service", "GET", "/v1/services/nothing/x", "", nil, 404, "unknown_model"},
		{"forged request id", "POST", "/v1/services/tickets/bookings", "{}", []string{"Samphire-Request", "AAAA"}, 400, "bad_request"},
		{"key and request id", "POST", "/v1/services/tickets/bookings", "{}", []string{"Samphire-Request", "A", "Idempotency-Key", "B"}, 400, "bad_request"},
		{"too many ids", "POST", "/v1/ids", `{"count":101}`, nil, 400, "bad_request"},
	}
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, daemons := install(t, c)
		for _, tt := range tests {
			header := append([]string{"Authorization", bearer}, tt.header...)
			status, _, body, err := daemons[0].Do(context.Background(), tt.method, tt.path, tt.body, header...)
			comment := qt.Commentf("%s: %s", tt.name, body)
			c.Check(err, qt.IsNil, comment)
			c.Check(status, qt.Equals, tt.status, comment)
			c.Check(strings.Contains(body, `"code":"`+tt.code+`"`), qt.IsTrue, comment)
			c.Check(strings.Contains(body, `"run":"no"`), qt.IsTrue, comment)
		}
		status, _, body, err := daemons[0].Do(context.Background(), "POST", "/v1/chat/completions", chat, "Authorization", bearer)
		c.Check(err, qt.IsNil)
		c.Check(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		c.Check(s.Close(), qt.IsNil)
	})
}

// TestPublishedClient checks that a published OpenAI client can list models and get a
// complete and a streamed answer.
func TestPublishedClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, daemons := install(t, c)
		cfg := openai.DefaultConfig(key)
		cfg.BaseURL = "http://" + daemons[1].VM.Addr + "/v1"
		cfg.HTTPClient = &http.Client{Transport: s.Transport("caller")}
		client := openai.NewClientWithConfig(cfg)
		request := openai.ChatCompletionRequest{
			Model:               "draft",
			Messages:            []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: "Write an itinerary."}},
			MaxCompletionTokens: 16,
		}
		models, err := client.ListModels(context.Background())
		c.Assert(err, qt.IsNil)
		c.Check(len(models.Models) > 0, qt.IsTrue)
		answer, err := client.CreateChatCompletion(context.Background(), request)
		c.Assert(err, qt.IsNil)
		c.Check(answer.Choices[0].Message.Content, qt.Not(qt.Equals), "")
		request.Model = "large"
		stream, err := client.CreateChatCompletionStream(context.Background(), request)
		c.Assert(err, qt.IsNil)
		text := ""
		for {
			part, err := stream.Recv()
			if err != nil {
				c.Check(err, qt.ErrorMatches, "EOF")
				break
			}
			for _, choice := range part.Choices {
				text += choice.Delta.Content
			}
		}
		c.Check(text, qt.Not(qt.Equals), "")
		c.Check(stream.Close(), qt.IsNil)
		c.Check(s.Close(), qt.IsNil)
	})
}

// TestHalfSentHeader guards against connections held by a caller that never completes
// its header: they are closed after ten seconds, and the daemon stays ready.
func TestHalfSentHeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, daemons := install(t, c)
		conn, err := s.Network.Dial("caller")(context.Background(), "tcp", daemons[0].VM.Addr)
		c.Assert(err, qt.IsNil)
		_, err = conn.Write([]byte("POST /v1/chat/completions HTTP/1.1\r\nHost:"))
		c.Assert(err, qt.IsNil)
		start := time.Now()
		buf := make([]byte, 1<<10)
		for err == nil {
			_, err = conn.Read(buf)
		}
		c.Check(time.Since(start), qt.Equals, 10*time.Second)
		status, _, _, err := daemons[0].Do(context.Background(), "GET", "/readyz", "")
		c.Check(err, qt.IsNil)
		c.Check(status, qt.Equals, http.StatusOK)
		c.Check(s.Close(), qt.IsNil)
	})
}

// TestHeaderAndIdleLimits checks that a header of 100 KiB is refused with status 431,
// and that an idle connection is closed after two minutes.
func TestHeaderAndIdleLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, daemons := install(t, c)
		status, _, _, err := daemons[0].Do(context.Background(), "GET", "/v1/models", "", "X-Long", strings.Repeat("x", 100<<10))
		c.Check(err, qt.IsNil)
		c.Check(status, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
		conn, err := s.Network.Dial("caller")(context.Background(), "tcp", daemons[0].VM.Addr)
		c.Assert(err, qt.IsNil)
		_, err = conn.Write([]byte("GET /livez HTTP/1.1\r\nHost: x\r\n\r\n"))
		c.Assert(err, qt.IsNil)
		start := time.Now()
		buf := make([]byte, 1<<10)
		for err == nil {
			_, err = conn.Read(buf)
		}
		c.Check(time.Since(start), qt.Equals, 2*time.Minute)
		c.Check(s.Close(), qt.IsNil)
	})
}
