package encoder

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
)

// TestUnmarshalRefuses checks the error kinds of frames that are malformed, exceed a limit
// or have another version.
func TestUnmarshalRefuses(t *testing.T) {
	c := qt.New(t)
	whole, err := Marshal(&Frame{Version: Version, Kind: FrameCall, Call: 1, Topic: "t", Body: []byte{1}})
	c.Assert(err, qt.IsNil)
	_, err = UnmarshalFrame(whole)
	c.Assert(err, qt.IsNil)
	tests := []struct {
		name string
		data []byte
		kind Kind
	}{
		{"empty", nil, KindMalformed},
		{"truncated", whole[:len(whole)-1], KindMalformed},
		{"trailing bytes", append(bytes.Clone(whole), 0), KindMalformed},
		{"repeated key", []byte{0xa3, 1, Version, 2, 1, 2, 1}, KindMalformed},
		{"indefinite map", []byte{0xbf, 1, Version, 2, 1, 0xff}, KindMalformed},
		{"too deep", append([]byte{0xa3, 1, Version, 2, 1, 5}, append(bytes.Repeat([]byte{0x81}, MaxDepth), 0)...), KindMalformed},
		{"too many elements", append([]byte{0xa3, 1, Version, 2, 1, 5, 0x9a, 0, 1, 0, 1}, make([]byte, MaxElements+1)...), KindMalformed},
		{"too large", make([]byte, MaxMessageBytes+1), KindSize},
		{"other version", []byte{0xa2, 1, Version + 1, 2, 1}, KindVersion},
		{"unknown kind", []byte{0xa2, 1, Version, 2, 9}, KindMalformed},
	}
	for _, test := range tests {
		_, err := UnmarshalFrame(test.data)
		var e *Error
		c.Assert(errors.As(err, &e), qt.IsTrue, qt.Commentf(test.name))
		c.Assert(e.Kind, qt.Equals, test.kind, qt.Commentf(test.name))
	}
}

func FuzzUnmarshal(f *testing.F) {
	whole, _ := Marshal(&Frame{Version: Version, Kind: FrameError, Call: 7, Topic: "t", ErrorKind: 3, ErrorText: "x"})
	f.Add(whole)
	f.Add(whole[:3])
	f.Add([]byte{0xa2, 1, 1, 2, 4})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := UnmarshalFrame(data)
		if err != nil {
			return
		}
		again, err := Marshal(frame)
		if err != nil {
			t.Fatalf("frame cannot be encoded again: %v", err)
		}
		if _, err := UnmarshalFrame(again); err != nil {
			t.Fatalf("frame cannot be decoded again: %v", err)
		}
	})
}
