package samphireturn

import "time"

// Request is a caller's request to the chat interface as routing decisions see
// it. CallerRequest is its counterpart for a routing table.
type Request struct {
	ID   string
	Team string
	// Class groups similar requests of a team; the empty class is one of them.
	Class string
	// Model is the model, version or alias that the caller named.
	Model string
	// Session is the verified session; nil for the first request of a session.
	Session *Session
	// PromptTokens and OutputTokens are the estimated token counts of the prompt and
	// of the answer.
	PromptTokens, OutputTokens int
	// Prefixes are hashes of the prompt's leading blocks, longest last.
	Prefixes []uint64
	Priority int
	Deadline time.Time
	Stream   bool
}

// Session is the content of a session token.
type Session struct {
	ID       string `cbor:"i"`
	Team     string `cbor:"t"`
	Model    string `cbor:"m"`
	Version  string `cbor:"v"`
	Endpoint string `cbor:"e"`
	// Issued is in seconds since 1970 UTC.
	Issued int64 `cbor:"a"`
}

// Usage is the record of one billed request.
type Usage struct {
	Request      string     `cbor:"r" json:"request"`
	Team         string     `cbor:"t" json:"team"`
	Version      VersionRef `cbor:"v" json:"version"`
	Service      string     `cbor:"s,omitempty" json:"service,omitempty"`
	PromptTokens int        `cbor:"p" json:"prompt"`
	OutputTokens int        `cbor:"o" json:"output"`
	// Cost is in the currency unit of the configured prices.
	Cost float64 `cbor:"c" json:"cost"`
	// Time is in milliseconds since 1970 UTC.
	Time int64 `cbor:"a" json:"time"`
}
