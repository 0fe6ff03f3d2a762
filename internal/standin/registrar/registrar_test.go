package registrar_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/standin/registrar"
)

// TestWriteLost brings the store back from an older copy: what the operator wrote since is
// gone, is there once it is written again, and does not replace a later write.
func TestWriteLost(t *testing.T) {
	tests := []struct {
		name string
		// change is made after the copy, and later after the store came back.
		change, later func(s *registrar.Registrar) error
		// restored and want are the spec of the object, "" for none, before and after the lost
		// changes are made again.
		restored, want string
	}{
		{"replaced", put("2"), nothing, "1", "2"},
		{"removed", remove, nothing, "1", ""},
		{"replaced twice", both(put("2"), put("3")), nothing, "1", "3"},
		{"removed and created", both(remove, put("2")), nothing, "1", "2"},
		{"replaced later", put("2"), put("4"), "4", "4"},
		{"removed later", put("2"), remove, "", ""},
		{"not changed", nothing, nothing, "1", "1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := new(registrar.Registrar)
				c.Assert(put("1")(s), qt.IsNil)
				time.Sleep(2 * time.Second)
				c.Assert(test.change(s), qt.IsNil)
				s.Restore(time.Second)
				c.Assert(test.later(s), qt.IsNil)
				c.Check(spec(s), qt.Equals, test.restored)
				s.WriteLost()
				c.Check(spec(s), qt.Equals, test.want)
				s.WriteLost()
				c.Check(spec(s), qt.Equals, test.want)
			})
		})
	}
}

func put(text string) func(s *registrar.Registrar) error {
	return func(s *registrar.Registrar) error { return s.Put("config", "main", jsonNumber(text)) }
}

func remove(s *registrar.Registrar) error {
	s.Delete("config", "main")
	return nil
}

func nothing(*registrar.Registrar) error { return nil }

func both(first, second func(s *registrar.Registrar) error) func(s *registrar.Registrar) error {
	return func(s *registrar.Registrar) error {
		if err := first(s); err != nil {
			return err
		}
		return second(s)
	}
}

// jsonNumber is an encoded number.
type jsonNumber string

// MarshalJSON implements json.Marshaler.
func (n jsonNumber) MarshalJSON() ([]byte, error) { return []byte(n), nil }

// spec returns the spec of the object, "" for none.
func spec(s *registrar.Registrar) string {
	o := s.Get("config", "main")
	if o == nil {
		return ""
	}
	return string(o.Spec)
}
