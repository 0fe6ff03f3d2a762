// Package encoder encodes messages between daemons as CBOR and decodes them,
// with bounds on size, nesting and number of elements.
package encoder

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

const (
	// Version is the version of the frame format.
	Version = 1
	// MaxMessageBytes is the maximum size of an encoded message in bytes.
	MaxMessageBytes = 4 << 20
	// MaxDepth is the maximum nesting depth of arrays and maps.
	MaxDepth = 16
	// MaxElements is the maximum number of elements of an array and of pairs of
	// a map.
	MaxElements = 1 << 16
)

// Kinds of frames. The numbers are part of the wire format.
const (
	// FrameCall is a request that expects a FrameReply or a FrameError.
	FrameCall FrameKind = iota + 1
	// FrameReply carries the response to a call.
	FrameReply
	// FrameError carries the error of a failed call.
	FrameError
	// FramePing expects a FramePong.
	FramePing
	// FramePong answers a FramePing and shows that the link works.
	FramePong
)

// Kinds of errors.
const (
	// KindMalformed means that the data is not one well-formed message of the
	// expected type.
	KindMalformed Kind = iota
	// KindSize means that the message is larger than MaxMessageBytes.
	KindSize
	// KindVersion means that the frame has a version other than Version.
	KindVersion
	// KindValue means that the value cannot be encoded.
	KindValue
)

var (
	encoding = newEncoding()
	decoding = newDecoding()
)

type (
	// FrameKind is the purpose of a frame.
	FrameKind byte

	// Kind classifies an Error.
	Kind int

	// Error describes a message that cannot be encoded or decoded.
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
		// ErrorKind is the samphireturn.Kind of the error in a FrameError; ErrorText
		// is the error text.
		ErrorKind int    `cbor:"6,keyasint,omitempty"`
		ErrorText string `cbor:"7,keyasint,omitempty"`
		// From and To are the ids of the sender and the receiver of a call that is
		// forwarded by relays; otherwise they are empty.
		From string `cbor:"8,keyasint,omitempty"`
		To   string `cbor:"9,keyasint,omitempty"`
		// HopsLeft is the number of further links that a call may cross.
		HopsLeft int `cbor:"10,keyasint,omitempty"`
		// TimeoutMs is how long the caller waits for the reply, in milliseconds.
		TimeoutMs int64 `cbor:"11,keyasint,omitempty"`
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

// Marshal returns the canonical CBOR encoding of v. It returns an Error of
// KindSize if the encoding exceeds MaxMessageBytes.
func Marshal(v any) ([]byte, error) {
	data, err := encoding.Marshal(v)
	if err != nil {
		return nil, &Error{Op: "marshal", Kind: KindValue, Err: err}
	}
	if len(data) > MaxMessageBytes {
		return nil, &Error{Op: "marshal", Kind: KindSize}
	}
	return data, nil
}

// Unmarshal decodes data, a single CBOR item, into v. It returns an error for
// data beyond the limits, duplicate map keys, indefinite lengths, tags and
// trailing bytes.
func Unmarshal(data []byte, v any) error {
	if len(data) > MaxMessageBytes {
		return &Error{Op: "unmarshal", Kind: KindSize}
	}
	if err := decoding.Unmarshal(data, v); err != nil {
		return &Error{Op: "unmarshal", Kind: KindMalformed, Err: err}
	}
	return nil
}

// UnmarshalFrame decodes a frame. It returns an error if the version or the kind
// is unknown.
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
		MaxNestedLevels:  MaxDepth,
		MaxArrayElements: MaxElements,
		MaxMapPairs:      MaxElements,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
