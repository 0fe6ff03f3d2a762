// Package decoder decodes callers' requests: chat completions in the JSON format of
// common client libraries, and the Samphire headers.
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
	// KindSyntax means that the body is not JSON of the expected form.
	KindSyntax Kind = iota
	// KindField means that a field or header is missing or out of range.
	KindField
)

const (
	// HeaderSession carries the session token in requests and answers.
	HeaderSession = "Samphire-Session"
	// HeaderRequestID carries the request's id in requests and answers.
	HeaderRequestID = "Samphire-Request"
	// HeaderVersion names the version that answered.
	HeaderVersion = "Samphire-Version"
	// HeaderDeadline is how long the caller waits, in seconds.
	HeaderDeadline = "Samphire-Deadline"
	// HeaderPriority is the request's priority; higher priorities go first.
	HeaderPriority = "Samphire-Priority"
	// HeaderClass names a group of similar requests of a team.
	HeaderClass = "Samphire-Class"
	// HeaderIdempotencyKey is the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"

	defaultOutputTokens = 512 // used if the caller sets no bound
	bytesPerToken       = 4
	firstBlockBytes     = 256 // size of the first prefix block; each next one is twice as long
	maxOutputTokens     = 1 << 20
	maxDeadlineSeconds  = 3600
	maxNameBytes        = 256 // length of a class or key
	defaultTimeout      = 60 * time.Second
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

// Chat is a decoded chat completion request.
type Chat struct {
	Model  string
	Stream bool
	// PromptTokens and OutputTokens are the estimated token counts of the prompt and
	// of the answer.
	PromptTokens, OutputTokens int
	// Text is the prompt as it is hashed for prefixes and sent to the rating service.
	Text string
	// Prefixes are hashes of the prompt's leading blocks, longest last.
	Prefixes []uint64

	fields map[string]json.RawMessage
}

// Options are the Samphire headers of a request.
type Options struct {
	Session        string
	RequestID      string
	IdempotencyKey string
	Class          string
	Priority       int
	// Timeout is how long the caller waits for the answer.
	Timeout time.Duration
}

// message is one message of a chat. Content is a string or a list of parts.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// DecodeChat decodes a chat completion request. Errors are of type *Error.
func DecodeChat(body []byte) (*Chat, error) {
	c := new(Chat)
	if err := decode(body, &c.fields); err != nil {
		return nil, &Error{Op: "decode body", Kind: KindSyntax, Err: err}
	}
	var messages []message
	targets := []struct {
		name string
		dst  any
	}{
		{"model", &c.Model},
		{"stream", &c.Stream},
		{"messages", &messages},
		{"max_tokens", &c.OutputTokens},
		{"max_completion_tokens", &c.OutputTokens},
	}
	for _, w := range targets {
		raw, ok := c.fields[w.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, w.dst); err != nil {
			return nil, &Error{Op: "decode " + w.name, Kind: KindField, Err: err}
		}
	}
	if c.Model == "" {
		return nil, missingField("model")
	}
	if len(messages) == 0 {
		return nil, missingField("messages")
	}
	if c.OutputTokens < 0 || c.OutputTokens > maxOutputTokens {
		return nil, &Error{Op: "decode max_tokens", Kind: KindField, Err: errors.Errorf("%d is not between 0 and %d", c.OutputTokens, maxOutputTokens)}
	}
	if c.OutputTokens == 0 {
		c.OutputTokens = defaultOutputTokens
	}
	c.Text = promptText(messages)
	c.PromptTokens = len(c.Text)/bytesPerToken + 1
	c.Prefixes = prefixes(c.Text)
	return c, nil
}

// Encode returns the request's body for an engine, with the version to run and
// whether to stream. All other fields keep their values.
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

// DecodeOptions decodes the Samphire headers. Errors are of type *Error.
func DecodeOptions(h http.Header) (Options, error) {
	o := Options{
		Session:        h.Get(HeaderSession),
		RequestID:      h.Get(HeaderRequestID),
		IdempotencyKey: h.Get(HeaderIdempotencyKey),
		Class:          h.Get(HeaderClass),
		Timeout:        defaultTimeout,
	}
	if len(o.Class) > maxNameBytes || len(o.IdempotencyKey) > maxNameBytes {
		return o, &Error{Op: "decode headers", Kind: KindField, Err: errors.Errorf("%s or %s is over %d bytes", HeaderClass, HeaderIdempotencyKey, maxNameBytes)}
	}
	if o.IdempotencyKey != "" && o.RequestID != "" {
		return o, &Error{Op: "decode headers", Kind: KindField, Err: errors.Errorf("%s and %s exclude each other", HeaderIdempotencyKey, HeaderRequestID)}
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
		if err != nil || math.IsNaN(seconds) || seconds <= 0 || seconds > maxDeadlineSeconds {
			return o, &Error{Op: "decode " + HeaderDeadline, Kind: KindField, Err: errors.Errorf("%q is not a number of seconds between 0 and %d", text, maxDeadlineSeconds)}
		}
		o.Timeout = time.Duration(seconds * float64(time.Second))
	}
	return o, nil
}

// decode decodes exactly one JSON value.
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

// missingField returns the error for a field that is absent or empty.
func missingField(field string) *Error {
	return &Error{Op: "decode " + field, Kind: KindField, Err: errors.New("missing")}
}

// promptText joins the roles and contents of the messages in the form that is
// hashed for prefixes.
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
	for size := firstBlockBytes; size <= len(text); size *= 2 {
		hashes = append(hashes, xxhash.Sum64String(text[:size]))
	}
	return hashes
}
