// Package extender adds fields to messages between daemons, as a later build may have them.
package extender

import (
	"encoding/hex"
	"reflect"
	"unicode"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"

	"samphireturn/internal/fleet/encoder"
)

const (
	// extraKey and extraName are fields that no message has.
	extraKey  = 4000
	extraName = "Extra of a later build"
	// maxFieldKey is the largest number of a field. Larger ones are keys of maps, such as
	// those of endpoints.
	maxFieldKey = 1000
)

// Compare decodes a recorded message, given in hexadecimal, to the type of the pointer want, as it
// is and with unknown fields. It returns an error if a result is not equal to want or can't be
// decoded. The error for an empty message holds the encoding of want by this build.
func Compare(recorded string, want any) error {
	data, err := hex.DecodeString(recorded)
	if err != nil {
		return err
	}
	if len(data) == 0 {
		encoded, err := encoder.Marshal(want)
		return errors.Errorf("no message; this build encodes %x, error %v", encoded, err)
	}
	extended, err := Extend(data)
	if err != nil {
		return err
	}
	for _, message := range [][]byte{data, extended} {
		got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
		if err := encoder.Unmarshal(message, got); err != nil {
			return errors.Wrapf(err, "decode %x", message)
		}
		if !reflect.DeepEqual(got, want) {
			return errors.Errorf("%x is decoded to %+v", message, got)
		}
	}
	return nil
}

// Extend returns an encoded message with an unknown field in each struct that it contains and
// that has any field. It returns an error if data is not a message.
func Extend(data []byte) ([]byte, error) {
	var v any
	if err := encoder.Unmarshal(data, &v); err != nil {
		return nil, err
	}
	return encoder.Marshal(extend(v))
}

func extend(v any) any {
	switch v := v.(type) {
	case []any:
		for i := range v {
			v[i] = extend(v[i])
		}
	case map[any]any:
		for key := range v {
			v[key] = extend(v[key])
		}
		if extra := extraField(v); extra != nil {
			v[extra] = map[any]any{uint64(1): []any{"text", 0.5}, "more": cbor.RawMessage{0xf6}}
		}
	}
	return v
}

// extraField returns the key of an unknown field of a struct, or nil if m is none. Fields have
// small numbers, or names that begin with a capital letter.
func extraField(m map[any]any) any {
	var extra any
	for key := range m {
		switch key := key.(type) {
		case uint64:
			if key > maxFieldKey {
				return nil
			}
			extra = uint64(extraKey)
		case string:
			if key == "" || !unicode.IsUpper(rune(key[0])) {
				return nil
			}
			extra = extraName
		default:
			return nil
		}
	}
	return extra
}
