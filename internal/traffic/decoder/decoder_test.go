package decoder_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/traffic/decoder"
)

// TestDecodeChat checks that malformed requests are refused, with an error that names the
// field or the body.
func TestDecodeChat(t *testing.T) {
	tests := []struct {
		name, body, err string
	}{
		{"plain", `{"model":"small","messages":[{"role":"user","content":"hi"}]}`, ""},
		{"parts", `{"model":"small","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`, ""},
		{"not JSON", `hello`, "decode body: invalid character.*"},
		{"list", `[1]`, "decode body: .*cannot unmarshal array.*"},
		{"null", `null`, "decode model: missing"},
		{"two values", `{"model":"a"} {}`, "decode body: more than one JSON value"},
		{"truncated", `{"model":"a"`, "decode body: unexpected EOF"},
		{"no messages", `{"model":"a"}`, "decode messages: missing"},
		{"model number", `{"model":3}`, "decode model: .*"},
		{"stream word", `{"model":"a","stream":"yes"}`, "decode stream: .*"},
		{"negative bound", `{"model":"a","messages":[{"role":"user","content":""}],"max_tokens":-1}`, "decode max_tokens: -1 is not between.*"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := decoder.DecodeChat([]byte(tt.body))
			if tt.err == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, tt.err)
		})
	}
}

// TestEncodeKeepsOtherFields guards against dropping fields that the router does not know.
func TestEncodeKeepsOtherFields(t *testing.T) {
	c := qt.New(t)
	chat, err := decoder.DecodeChat([]byte(`{"model":"m","temperature":0.5,"messages":[{"role":"user","content":"hi"}]}`))
	c.Assert(err, qt.IsNil)
	body, err := chat.Encode("m@v1", true)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.JSONEquals, map[string]any{
		"model": "m@v1", "stream": true, "temperature": 0.5,
		"messages": []any{map[string]any{"role": "user", "content": "hi"}},
	})
}

// TestDecodeOptions checks that header values that are malformed or out of range are
// refused, and the default timeout.
func TestDecodeOptions(t *testing.T) {
	tests := []struct {
		name, value, err string
	}{
		{decoder.HeaderDeadline, "2.5", ""},
		{decoder.HeaderDeadline, "NaN", "decode Samphire-Deadline: .*"},
		{decoder.HeaderDeadline, "-1", "decode Samphire-Deadline: .*"},
		{decoder.HeaderPriority, "3", ""},
		{decoder.HeaderPriority, "high", "decode Samphire-Priority: .*"},
		{decoder.HeaderIdempotencyKey, strings.Repeat("k", 300), "decode headers: .* over 256 bytes"},
	}
	for _, tt := range tests {
		t.Run(tt.name+" "+tt.value[:1], func(t *testing.T) {
			c := qt.New(t)
			_, err := decoder.DecodeOptions(http.Header{tt.name: {tt.value}})
			if tt.err == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, tt.err)
		})
	}
	c := qt.New(t)
	o, err := decoder.DecodeOptions(http.Header{})
	c.Assert(err, qt.IsNil)
	c.Assert(o.Timeout, qt.Equals, 60*time.Second)
}

// FuzzDecodeChat checks that any request that is decoded can be encoded and decoded again
// with the same text.
func FuzzDecodeChat(f *testing.F) {
	f.Add([]byte(`{"model":"small","messages":[{"role":"user","content":"hi"}]}`))
	f.Add([]byte(`{"model":"small","messages":[{"role":"user","content":null}],"max_tokens":1e9}`))
	f.Add([]byte(`{"model":1}`))
	f.Add([]byte("\xff{"))
	f.Fuzz(func(t *testing.T, body []byte) {
		chat, err := decoder.DecodeChat(body)
		if err != nil {
			return
		}
		again, err := chat.Encode("m@v", chat.Stream)
		if err != nil {
			t.Fatalf("encode a decoded request: %v", err)
		}
		second, err := decoder.DecodeChat(again)
		if err != nil || second.Text != chat.Text {
			t.Fatalf("decode an encoded request: %v", err)
		}
	})
}
