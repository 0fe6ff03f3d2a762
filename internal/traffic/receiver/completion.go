package receiver

import (
	"encoding/json"

	"github.com/go-faster/errors"
)

// completion is the part of an engine's answer that the router reads.
type completion struct {
	ID      string   `json:"id"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage"`
}

// choice is one answer of a completion, whole or a part of a stream.
type choice struct {
	Message content `json:"message"`
}

// content is the text of a message.
type content struct {
	Content string `json:"content"`
}

// usage counts the tokens of a completion.
type usage struct {
	Prompt int `json:"prompt_tokens"`
	Output int `json:"completion_tokens"`
}

// decodeCompletion reads an engine's answer as far as the router needs it.
func decodeCompletion(body []byte) (completion, error) {
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		return c, errors.Wrap(err, "decode completion")
	}
	return c, nil
}
