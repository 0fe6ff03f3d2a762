package receiver

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/traffic/cascader"
	"samphireturn/internal/traffic/decoder"
	"samphireturn/internal/traffic/router"
)

// Fields of an event as engines write them.
var (
	usageField = []byte(`"usage"`)
	textField  = []byte(`"content":"`)
)

const doneEvent = "data: [DONE]\n\n"

// chunk is one event of a streamed completion.
type chunk struct {
	ID      string  `json:"id"`
	Object  string  `json:"object"`
	Model   string  `json:"model"`
	Choices []delta `json:"choices"`
	Usage   *usage  `json:"usage,omitempty"`
}

// delta is one choice of a chunk.
type delta struct {
	Index  int       `json:"index"`
	Delta  deltaText `json:"delta"`
	Finish *string   `json:"finish_reason"`
}

// deltaText is the text that a chunk adds.
type deltaText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

// stream runs the cascade and passes the last step's answer on as it comes. An
// answer judged before release is sent as a stream of its own.
func (r *Receiver) stream(ctx context.Context, t *turn) error {
	plan, err := r.plan(t)
	if err != nil {
		return err
	}
	a, err := r.judged(ctx, t, plan)
	if err != nil {
		return err
	}
	if a != nil {
		return r.release(ctx, t, a)
	}
	last := plan.Steps[len(plan.Steps)-1]
	w, err := t.send(last.Version, t.id, true)
	if err != nil {
		return err
	}
	start := time.Now()
	s, err := r.Router.Open(ctx, w)
	if answer := passed(err); answer != nil {
		t.write(&reply{status: answer.Status, kind: answer.Header.Get("Content-Type"), body: answer.Body, version: last.Version, run: samphireturn.ExecutedYes})
		return nil
	}
	if err != nil {
		return err
	}
	defer s.Close()
	t.result.endpoint, t.result.version, t.result.run = s.Endpoint.ID, last.Version.String(), samphireturn.ExecutedYes
	a = &answer{status: http.StatusOK, version: last.Version, endpoint: s.Endpoint.ID}
	err = r.relay(ctx, t, s, a, last)
	if err != nil {
		return err
	}
	r.hold(s.Endpoint, t)
	r.Picker.ObserveThroughput(s.Endpoint, a.usage.Prompt, a.usage.Output, s.Endpoint.Quota.Requests.Load(), s.Took)
	r.learn(t, a, t.cost, time.Since(start), len(plan.Steps) > 1, plan.RateAfterRelease)
	return nil
}

// release bills an answer that is whole and writes it as a stream.
func (r *Receiver) release(ctx context.Context, t *turn, a *answer) error {
	if err := r.bill(ctx, t, a.version); err != nil {
		return err
	}
	token, err := r.sign(t, a)
	if err != nil {
		return err
	}
	t.write(&reply{status: a.status, kind: "text/event-stream", body: events(t.id, a), version: a.version, token: token, run: samphireturn.ExecutedYes})
	return nil
}

// relay passes the events of s on; those that came together go out together. The closing event goes out only after the
// use has been recorded. What was passed on before a break is billed too.
func (r *Receiver) relay(ctx context.Context, t *turn, s *router.Stream, a *answer, step cascader.Step) error {
	token, err := r.sign(t, a)
	if err != nil {
		return err
	}
	h := t.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(decoder.HeaderSession, token)
	h.Set(decoder.HeaderVersion, a.version.String())
	flush := http.NewResponseController(t.ResponseWriter)
	var (
		text            bytes.Buffer
		events, flushed int
	)
	for {
		data, err := s.Next()
		if err != nil && flushed < events {
			_ = flush.Flush()
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			return r.broken(ctx, t, a, step, text.Len(), err)
		}
		a.read(data, &text, t.alias != nil)
		t.began = true
		if err := writeEvent(t, data); err != nil {
			return r.broken(ctx, t, a, step, text.Len(), err)
		}
		events++
		if !s.Ready() {
			_ = flush.Flush()
			flushed = events
		}
	}
	a.text = text.String()
	t.spend(step, a.usage)
	if err := r.bill(ctx, t, a.version); err != nil {
		return err
	}
	_, _ = io.WriteString(t, doneEvent)
	return nil
}

// broken bills what was passed on of a stream that can't be finished.
func (r *Receiver) broken(ctx context.Context, t *turn, a *answer, step cascader.Step, size int, cause error) error {
	if a.usage.Output == 0 {
		a.usage = usage{Prompt: t.chat.Prompt, Output: size/bytesPerToken + 1}
	}
	t.spend(step, a.usage)
	_ = r.bill(ctx, t, a.version)
	return &samphireturn.Refusal{Reason: samphireturn.ReasonStreamBroken, Executed: samphireturn.ExecutedYes, Err: cause}
}

// read takes the text and the use from an event. Without the text wanted, an
// event that names no use is not decoded; its text is taken as it is escaped,
// since only the length counts.
func (a *answer) read(data []byte, text *bytes.Buffer, wanted bool) {
	if !wanted && bytes.Contains(data, textField) && !bytes.Contains(data, usageField) {
		text.Write(escaped(data))
		return
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return
	}
	if c.Usage != nil {
		a.usage = *c.Usage
	}
	for _, d := range c.Choices {
		text.WriteString(d.Delta.Content)
	}
}

// escaped returns the first text of an event as it stands there.
func escaped(data []byte) []byte {
	_, rest, _ := bytes.Cut(data, textField)
	for i := 0; i < len(rest); i++ {
		switch rest[i] {
		case '\\':
			i++
		case '"':
			return rest[:i]
		}
	}
	return nil
}

// writeEvent writes one event.
func writeEvent(w io.Writer, data []byte) error {
	var b bytes.Buffer
	b.WriteString("data: ")
	b.Write(data)
	b.WriteString("\n\n")
	if _, err := w.Write(b.Bytes()); err != nil {
		return errors.Wrap(err, "write event")
	}
	return nil
}

// events returns a whole answer in the form of a stream.
func events(id string, a *answer) []byte {
	stop := "stop"
	chunks := []chunk{
		{Choices: []delta{{Delta: deltaText{Role: "assistant", Content: a.text}}}},
		{Choices: []delta{{Finish: &stop}}},
		{Choices: []delta{}, Usage: &a.usage},
	}
	var b bytes.Buffer
	for _, c := range chunks {
		c.ID, c.Object, c.Model = id, "chat.completion.chunk", a.version.String()
		data, err := json.Marshal(c)
		if err != nil {
			continue
		}
		_ = writeEvent(&b, data)
	}
	b.WriteString(doneEvent)
	return b.Bytes()
}
