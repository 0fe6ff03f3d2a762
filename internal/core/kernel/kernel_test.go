package kernel_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/core/kernel"
)

// recorder is a service that records the calls of Run and Close.
type recorder struct {
	name string
	log  *[]string
	err  error
}

// member is an event that adds a daemon with this id to the members.
type member string

func (r *recorder) Run(context.Context) error {
	*r.log = append(*r.log, "run "+r.name)
	return r.err
}

func (r *recorder) Close() error {
	*r.log = append(*r.log, "close "+r.name)
	return nil
}

// Apply implements samphireturn.Event.
func (m member) Apply(next *samphireturn.Snapshot) {
	next.Members = append(next.Members[:len(next.Members):len(next.Members)], samphireturn.VM{ID: string(m)})
}

// TestStartAndCloseOrder checks that services start in the order of their addition and
// close in reverse, and that a failed start closes only those already started.
func TestStartAndCloseOrder(t *testing.T) {
	tests := []struct {
		name string
		fail string
		want string
	}{
		{"all start", "", "run a, run b, run c, close c, close b, close a"},
		{"one fails", "b", "run a, run b, close a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			k := kernel.New(samphireturn.VM{}, zerolog.Nop())
			var log []string
			for _, name := range []string{"a", "b", "c"} {
				s := &recorder{name: name, log: &log}
				if name == tt.fail {
					s.err = errors.New("no")
				}
				c.Assert(k.Add(name, s), qt.IsNil)
			}
			err := k.Run(context.Background())
			c.Check(err != nil, qt.Equals, tt.fail != "")
			c.Check(k.Close(), qt.IsNil)
			c.Check(strings.Join(log, ", "), qt.Equals, tt.want)
		})
	}
}

// TestFind checks the errors for a taken name, an unknown name and a wrong type.
func TestFind(t *testing.T) {
	c := qt.New(t)
	k := kernel.New(samphireturn.VM{}, zerolog.Nop())
	c.Assert(k.Add("a", &recorder{}), qt.IsNil)
	c.Check(k.Add("a", &recorder{}), qt.ErrorMatches, "add a: name taken")
	_, err := kernel.Find[*recorder](k, "a")
	c.Check(err, qt.IsNil)
	_, err = kernel.Find[*recorder](k, "b")
	c.Check(err, qt.ErrorMatches, "find b: no such service")
	_, err = kernel.Find[samphireturn.Store](k, "a")
	c.Check(err, qt.ErrorMatches, "find a: service a is a .*recorder")
}

// TestEventsInOrder checks that events are applied in the order of Post, and that they
// do not change a snapshot that was taken before.
func TestEventsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		k := kernel.New(samphireturn.VM{ID: "self"}, zerolog.Nop())
		c.Assert(k.Run(context.Background()), qt.IsNil)
		before := k.Snapshot()
		for _, id := range []string{"a", "b", "c"} {
			k.Post(member(id))
		}
		synctest.Wait()
		ids := ""
		for _, m := range k.Snapshot().Members {
			ids += m.ID
		}
		c.Check(ids, qt.Equals, "abc")
		c.Check(before.Members, qt.HasLen, 0)
		c.Check(k.Snapshot().Self.ID, qt.Equals, "self")
		c.Check(k.Close(), qt.IsNil)
	})
}
