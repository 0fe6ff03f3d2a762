// Package encoder turns messages between daemons into CBOR and back, within
// strict limits.
package encoder

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

const (
	// Version is the version of the frame format.
	Version = 1
	// SizeLimit bounds an encoded message, in bytes.
	SizeLimit = 4 << 20
	// DepthLimit bounds the nesting of arrays and maps.
	DepthLimit = 16
	// ElementLimit bounds the elements of one array and the pairs of one map.
	ElementLimit = 1 << 16
)

// Kinds of frames.
const (
	// FrameCall asks for a reply.
	FrameCall FrameKind = iota + 1
	// FrameReply carries the answer to a call.
	FrameReply
	// FrameError carries the failure of a call.
	FrameError
	// FramePing asks for a FramePong.
	FramePing
	// FramePong proves that the link works.
	FramePong
)

// Kinds of errors.
const (
	// KindMalformed says that the bytes are not one message of the type wanted.
	KindMalformed Kind = iota
	// KindSize says that the message is larger than SizeLimit.
	KindSize
	// KindVersion says that the frame is of another version.
	KindVersion
	// KindValue says that the value can't be encoded.
	KindValue
)

var (
	encoding = newEncoding()
	decoding = newDecoding()
)

type (
	// FrameKind says what a frame is for.
	FrameKind byte

	// Kind classifies an Error.
	Kind int

	// Error is an error of the encoder.
	Error struct {
		Op   string
		Kind Kind
		Err  error
	}

	// Frame is one message on a link.
	Frame struct {
		Version byte      `cbor:"1,keyasint"`
		Kind    FrameKind `cbor:"2,keyasint"`
		// Call matches a reply to its call.
		Call  uint64          `cbor:"3,keyasint,omitempty"`
		Topic string          `cbor:"4,keyasint,omitempty"`
		Body  cbor.RawMessage `cbor:"5,keyasint,omitempty"`
		// Failure is the kind of a FrameError, a samphireturn.Kind; Text is its
		// cause.
		Failure int    `cbor:"6,keyasint,omitempty"`
		Text    string `cbor:"7,keyasint,omitempty"`
		// From and To are set on a call that passes through relays.
		From string `cbor:"8,keyasint,omitempty"`
		To   string `cbor:"9,keyasint,omitempty"`
		// Hops bounds the links that a call may still cross after this one.
		Hops int `cbor:"10,keyasint,omitempty"`
		// Wait is the time in milliseconds that the caller will wait.
		Wait int64 `cbor:"11,keyasint,omitempty"`
	}
)

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	names := [...]string{"malformed message", "message too large", "unknown version", "value not encodable"}
	text := e.Op + ": " + names[e.Kind]
	if e.Err == nil {
		return text
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Marshal returns v in CBOR. A message above SizeLimit is refused.
func Marshal(v any) ([]byte, error) {
	data, err := encoding.Marshal(v)
	if err != nil {
		return nil, &Error{Op: "marshal", Kind: KindValue, Err: err}
	}
	if len(data) > SizeLimit {
		return nil, &Error{Op: "marshal", Kind: KindSize}
	}
	return data, nil
}

// Unmarshal decodes the single CBOR item data into v. It refuses items beyond
// the limits, repeated map keys, indefinite lengths, tags and trailing bytes.
func Unmarshal(data []byte, v any) error {
	if len(data) > SizeLimit {
		return &Error{Op: "unmarshal", Kind: KindSize}
	}
	if err := decoding.Unmarshal(data, v); err != nil {
		return &Error{Op: "unmarshal", Kind: KindMalformed, Err: err}
	}
	return nil
}

// UnmarshalFrame decodes a frame and checks its version and kind.
func UnmarshalFrame(data []byte) (*Frame, error) {
	f := new(Frame)
	if err := Unmarshal(data, f); err != nil {
		return nil, err
	}
	if f.Version != Version {
		return nil, &Error{Op: "unmarshal frame", Kind: KindVersion}
	}
	if f.Kind < FrameCall || f.Kind > FramePong {
		return nil, &Error{Op: "unmarshal frame", Kind: KindMalformed, Err: errors.New("unknown frame kind")}
	}
	return f, nil
}

func newEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{Sort: cbor.SortCanonical}.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoding() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  DepthLimit,
		MaxArrayElements: ElementLimit,
		MaxMapPairs:      ElementLimit,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
