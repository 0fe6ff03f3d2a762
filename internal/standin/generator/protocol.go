package generator

import "strings"

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model         string    `json:"model"`
	Messages      []message `json:"messages"`
	Stream        bool      `json:"stream"`
	MaxTokens     int       `json:"max_tokens"`
	MaxCompletion int       `json:"max_completion_tokens"`
}

// prompt returns the text of all messages, which the prefix cache hashes.
func (r *chatRequest) prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role + "\n" + m.Content + "\n")
	}
	return b.String()
}

// maxOutputTokens returns the bound of the answer's tokens that the request sets,
// or the default.
func (r *chatRequest) maxOutputTokens() int {
	if n := max(r.MaxTokens, r.MaxCompletion); n > 0 {
		return n
	}
	return defaultOutputTokens
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type choice struct {
	Index   int      `json:"index"`
	Message *message `json:"message,omitempty"`
	Delta   *message `json:"delta,omitempty"`
	Finish  *string  `json:"finish_reason"`
}

type chatReply struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

type errorReply struct {
	Error errorBody `json:"error"`
}

// report is the engine's load report.
type report struct {
	ID          string   `json:"id"`
	Incarnation uint64   `json:"start"`
	Versions    []string `json:"versions"`
	Adapters    []string `json:"adapters"`
	Role        string   `json:"role,omitempty"`
	Budget      int64    `json:"budget"`
	InFlight    int64    `json:"used"`
	Queued      int64    `json:"queued"`
	Throughput  float64  `json:"speed"`
	WarmedUp    bool     `json:"warm"`
	Leaving     bool     `json:"leaving"`
	Fenced      bool     `json:"fenced"`
	// Loading is the version being loaded, if any.
	Loading string `json:"loading,omitempty"`
}

type eventsReply struct {
	Next   uint64  `json:"next"`
	Events []Event `json:"events"`
}

// order asks the engine to load a version beside the others ("load") or in place
// of them ("replace"), to load an adapter ("adapter"), or to change its role
// ("role").
type order struct {
	Fence uint64 `json:"fence"`
	Kind  string `json:"kind"`
	Name  string `json:"name"`
}

type fenceReply struct {
	Fence uint64 `json:"fence"`
}
