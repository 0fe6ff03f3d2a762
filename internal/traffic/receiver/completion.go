package receiver

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// completion holds the fields of an engine's answer that the router reads.
type completion struct {
	ID      string   `json:"id"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
}

// choice is one choice of a completion.
type choice struct {
	Message content `json:"message"`
}

// content is the text of a message.
type content struct {
	Content string `json:"content"`
}

// usage counts the tokens of a completion.
type usage struct {
	PromptTokens int `json:"prompt_tokens"`
	OutputTokens int `json:"completion_tokens"`
}

// decodeCompletion decodes the fields of an engine's answer that the router reads.
func decodeCompletion(body []byte) (completion, error) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return c, errors.Wrap(err, "decode completion")
	}
	return c, nil
}
