package auditor_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	"samphireturn"
	"samphireturn/internal/ledger/auditor"
)

type store struct {
	samphireturn.Store
	values [][]byte
}

func (s store) List(context.Context, string) ([]samphireturn.Object, error) {
	return []samphireturn.Object{{Name: "0"}, {Name: "1"}, {Name: "2"}}, nil
}

func (s store) Get(_ context.Context, name string) (samphireturn.Object, error) {
	return samphireturn.Object{Value: s.values[name[0]-'0']}, nil
}

// TestRead checks that a request in two segments is counted once and that an
// unreadable segment is reported and does not hide the others.
func TestRead(t *testing.T) {
	c := qt.New(t)
	small := samphireturn.VersionRef{Model: "small", Version: "v1"}
	one := samphireturn.Usage{Request: "1", Team: "red", Version: small, PromptTokens: 2, OutputTokens: 3, Cost: 0.5}
	two := samphireturn.Usage{Request: "2", Team: "blue", Service: "echo"}
	first, err := cbor.Marshal([]samphireturn.Usage{one, two})
	c.Assert(err, qt.IsNil)
	again, err := cbor.Marshal([]samphireturn.Usage{one})
	c.Assert(err, qt.IsNil)
	r, err := auditor.Read(t.Context(), store{values: [][]byte{first, again, {0x82}}})
	c.Assert(err, qt.IsNil)
	sum := auditor.Sum{Requests: 1, PromptTokens: 2, OutputTokens: 3, Cost: 0.5}
	c.Assert(r.Records, qt.Equals, 2)
	c.Assert(r.Repeats, qt.Equals, 1)
	c.Assert(r.Unreadable, qt.DeepEquals, []string{"2"})
	c.Assert(r.Versions, qt.DeepEquals, map[string]auditor.Sum{"small@v1": sum})
	c.Assert(r.Teams["red"], qt.Equals, sum)
	c.Assert(r.Services["echo"].Requests, qt.Equals, 1)
}
