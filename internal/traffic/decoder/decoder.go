// Package decoder reads callers' requests: chat completions in the JSON shape
// that client libraries of the field speak, and the Samphire headers.
package decoder

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// Kinds of errors.
const (
	// KindSyntax says that the body is not JSON of the expected shape.
	KindSyntax Kind = iota
	// KindField says that a field or header is missing or out of range.
	KindField
)

const (
	// HeaderSession carries the session token both ways.
	HeaderSession = "Samphire-Session"
	// HeaderRequest carries the request's id both ways.
	HeaderRequest = "Samphire-Request"
	// HeaderVersion names the version that answered.
	HeaderVersion = "Samphire-Version"
	// HeaderDeadline is the time in seconds that the caller waits.
	HeaderDeadline = "Samphire-Deadline"
	// HeaderPriority is the request's priority; higher goes first.
	HeaderPriority = "Samphire-Priority"
	// HeaderClass groups requests of a team that are alike.
	HeaderClass = "Samphire-Class"
	// HeaderKey is the caller's idempotency key.
	HeaderKey = "Idempotency-Key"

	defaultOutput = 512 // tokens, where the caller sets no bound
	bytesPerToken = 4
	firstBlock    = 256 // bytes of the first prefix block; each next is double
	maxOutput     = 1 << 20
	maxDeadline   = 3600 // seconds
	maxName       = 256  // bytes of a class or key
	defaultWait   = 60 * time.Second
)

// Kind classifies an Error.
type Kind int

// Error is an error in a caller's request.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Chat is a chat completion request.
type Chat struct {
	Model  string
	Stream bool
	// Prompt and Output estimate the request's tokens.
	Prompt, Output int
	// Text is the prompt as prefix hashes and the rating service see it.
	Text string
	// Prefixes are hashes of the prompt's leading blocks, longest last.
	Prefixes []uint64

	fields map[string]json.RawMessage
}

// Options are the Samphire headers of a request.
type Options struct {
	Session  string
	Request  string
	Key      string
	Class    string
	Priority int
	// Wait is the time that the caller waits for the answer.
	Wait time.Duration
}

// message is one message of a chat. Content is a string or a list of parts.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// DecodeChat reads a chat completion request.
func DecodeChat(body []byte) (*Chat, error) {
	c := new(Chat)
	if err := decode(body, &c.fields); err != nil {
		return nil, &Error{Op: "decode body", Kind: KindSyntax, Err: err}
	}
	var messages []message
	wanted := []struct {
		name string
		dst  any
	}{
		{"model", &c.Model},
		{"stream", &c.Stream},
		{"messages", &messages},
		{"max_tokens", &c.Output},
		{"max_completion_tokens", &c.Output},
	}
	for _, w := range wanted {
		raw, ok := c.fields[w.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, w.dst); err != nil {
			return nil, &Error{Op: "decode " + w.name, Kind: KindField, Err: err}
		}
	}
	if c.Model == "" {
		return nil, missing("model")
	}
	if len(messages) == 0 {
		return nil, missing("messages")
	}
	if c.Output < 0 || c.Output > maxOutput {
		return nil, &Error{Op: "decode max_tokens", Kind: KindField, Err: errors.Errorf("%d is not between 0 and %d", c.Output, maxOutput)}
	}
	if c.Output == 0 {
		c.Output = defaultOutput
	}
	c.Text = promptText(messages)
	c.Prompt = len(c.Text)/bytesPerToken + 1
	c.Prefixes = prefixes(c.Text)
	return c, nil
}

// Encode returns the request's body for an engine, with the version to run and
// whether to stream. All other fields are passed on as they came.
func (c *Chat) Encode(version string, stream bool) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(c.fields)+1)
	for name, raw := range c.fields {
		fields[name] = raw
	}
	model, err := json.Marshal(version)
	if err != nil {
		return nil, err
	}
	fields["model"] = model
	fields["stream"] = json.RawMessage(strconv.FormatBool(stream))
	return json.Marshal(fields)
}

// DecodeOptions reads the Samphire headers.
func DecodeOptions(h http.Header) (Options, error) {
	o := Options{
		Session: h.Get(HeaderSession),
		Request: h.Get(HeaderRequest),
		Key:     h.Get(HeaderKey),
		Class:   h.Get(HeaderClass),
		Wait:    defaultWait,
	}
	if len(o.Class) > maxName || len(o.Key) > maxName {
		return o, &Error{Op: "decode headers", Kind: KindField, Err: errors.Errorf("%s or %s is over %d bytes", HeaderClass, HeaderKey, maxName)}
	}
	if o.Key != "" && o.Request != "" {
		return o, &Error{Op: "decode headers", Kind: KindField, Err: errors.Errorf("%s and %s exclude each other", HeaderKey, HeaderRequest)}
	}
	if text := h.Get(HeaderPriority); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil {
			return o, &Error{Op: "decode " + HeaderPriority, Kind: KindField, Err: err}
		}
		o.Priority = n
	}
	if text := h.Get(HeaderDeadline); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(seconds) || seconds <= 0 || seconds > maxDeadline {
			return o, &Error{Op: "decode " + HeaderDeadline, Kind: KindField, Err: errors.Errorf("%q is not a number of seconds between 0 and %d", text, maxDeadline)}
		}
		o.Wait = time.Duration(seconds * float64(time.Second))
	}
	return o, nil
}

// decode reads exactly one JSON value.
func decode(body []byte, dst any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	if err := d.Decode(dst); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("more than one JSON value")
	}
	return nil
}

// missing returns the error for an absent field.
func missing(field string) *Error {
	return &Error{Op: "decode " + field, Kind: KindField, Err: errors.New("missing")}
}

// promptText joins the messages the way that prefix hashes count them.
func promptText(messages []message) string {
	var b bytes.Buffer
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		var text string
		if json.Unmarshal(m.Content, &text) == nil {
			b.WriteString(text)
		} else {
			b.Write(m.Content)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// prefixes hashes the leading 256, 512, 1024, ... bytes of text.
func prefixes(text string) []uint64 {
	var hashes []uint64
	for size := firstBlock; size <= len(text); size *= 2 {
		hashes = append(hashes, xxhash.Sum64String(text[:size]))
	}
	return hashes
}
