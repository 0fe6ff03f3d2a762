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

// JSON field names as they appear in the events of engines.
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

// stream runs the cascade and relays the events of the last step as they arrive.
// An answer that passed its rating before release is complete, and is sent as a
// stream that is built from it.
func (r *Receiver) stream(ctx context.Context, c *chatRequest) error {
	plan, err := r.plan(c)
	if err != nil {
		return err
	}
	a, err := r.runRatedSteps(ctx, c, plan)
	if err != nil {
		return err
	}
	if a != nil {
		return r.writeAsStream(ctx, c, a)
	}
	last := plan.Steps[len(plan.Steps)-1]
	w, err := c.stepWork(last.Version, c.id, true)
	if err != nil {
		return err
	}
	start := time.Now()
	s, err := r.Router.Open(ctx, w)
	if answer := ownErrorAnswer(err); answer != nil {
		c.write(&reply{status: answer.Status, contentType: answer.Header.Get("Content-Type"), body: answer.Body, version: last.Version, executed: samphireturn.ExecutedYes})
		return nil
	}
	if err != nil {
		return err
	}
	defer s.Close()
	c.result.endpoint, c.result.version, c.result.executed = s.Endpoint.ID, last.Version.String(), samphireturn.ExecutedYes
	a = &stepAnswer{status: http.StatusOK, version: last.Version, endpoint: s.Endpoint.ID}
	err = r.relayEvents(ctx, c, s, a, last)
	if err != nil {
		return err
	}
	r.recordPrefixes(s.Endpoint, c)
	r.Picker.ObserveThroughput(s.Endpoint, a.usage.PromptTokens, a.usage.OutputTokens, s.Endpoint.Quota.Requests.Load(), s.WaitTime)
	r.recordReleased(c, a, c.cost, time.Since(start), len(plan.Steps) > 1, plan.RateAfterRelease)
	return nil
}

// writeAsStream bills a complete answer and writes it as a stream.
func (r *Receiver) writeAsStream(ctx context.Context, c *chatRequest, a *stepAnswer) error {
	if err := r.bill(ctx, c, a.version); err != nil {
		return err
	}
	token, err := r.issueSession(c, a)
	if err != nil {
		return err
	}
	c.write(&reply{status: a.status, contentType: "text/event-stream", body: encodeEvents(c.id, a), version: a.version, sessionToken: token, executed: samphireturn.ExecutedYes})
	return nil
}

// relayEvents relays the events of s; events that arrive together are flushed
// together. The closing event is sent only after the usage has been recorded. If
// the stream breaks, what was relayed until then is billed too.
func (r *Receiver) relayEvents(ctx context.Context, c *chatRequest, s *router.Stream, a *stepAnswer, step cascader.Step) error {
	token, err := r.issueSession(c, a)
	if err != nil {
		return err
	}
	h := c.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(decoder.HeaderSession, token)
	h.Set(decoder.HeaderVersion, a.version.String())
	flush := http.NewResponseController(c.ResponseWriter)
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
			return r.billPartial(ctx, c, a, step, text.Len(), err)
		}
		a.readEvent(data, &text, c.alias != nil)
		c.bodyStarted = true
		if err := writeEvent(c, data); err != nil {
			return r.billPartial(ctx, c, a, step, text.Len(), err)
		}
		events++
		if !s.Ready() {
			_ = flush.Flush()
			flushed = events
		}
	}
	a.text = text.String()
	c.addUsage(step, a.usage)
	if err := r.bill(ctx, c, a.version); err != nil {
		return err
	}
	_, _ = io.WriteString(c, doneEvent)
	return nil
}

// billPartial bills the relayed part of a stream that cannot be finished. Without
// usage of the engine the output is estimated from the text's length.
func (r *Receiver) billPartial(ctx context.Context, c *chatRequest, a *stepAnswer, step cascader.Step, textBytes int, cause error) error {
	if a.usage.OutputTokens == 0 {
		a.usage = usage{PromptTokens: c.chat.PromptTokens, OutputTokens: textBytes/bytesPerToken + 1}
	}
	c.addUsage(step, a.usage)
	_ = r.bill(ctx, c, a.version)
	return &samphireturn.Refusal{Reason: samphireturn.ReasonStreamBroken, Executed: samphireturn.ExecutedYes, Err: cause}
}

// readEvent takes the text and the usage from an event. If the text is not needed,
// an event without usage is not decoded: its text is taken in escaped form, since
// only its length counts.
func (a *stepAnswer) readEvent(data []byte, text *bytes.Buffer, needText bool) {
	if !needText && bytes.Contains(data, textField) && !bytes.Contains(data, usageField) {
		text.Write(escapedText(data))
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

// escapedText returns the first text of an event in its escaped form.
func escapedText(data []byte) []byte {
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

// encodeEvents returns a complete answer encoded as a stream of events.
func encodeEvents(id string, a *stepAnswer) []byte {
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
