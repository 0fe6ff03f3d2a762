package keeper_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/standin/keeper"
)

// TestObjectsConditions checks that a call whose condition fails returns the right kind
// of error and leaves the object as it was.
func TestObjectsConditions(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name string
		call func(o *keeper.Objects, v uint64) error
		want samphireturn.Kind
	}{
		{"create existing", func(o *keeper.Objects, _ uint64) error { _, err := o.Create(ctx, "a/b", nil); return err }, samphireturn.KindConflict},
		{"update stale version", func(o *keeper.Objects, v uint64) error { _, err := o.Update(ctx, "a/b", nil, v+1); return err }, samphireturn.KindConflict},
		{"update missing", func(o *keeper.Objects, _ uint64) error { _, err := o.Update(ctx, "a/c", nil, 0); return err }, samphireturn.KindConflict},
		{"delete stale version", func(o *keeper.Objects, v uint64) error { return o.Delete(ctx, "a/b", v-1) }, samphireturn.KindConflict},
		{"get missing", func(o *keeper.Objects, _ uint64) error { _, err := o.Get(ctx, "a/c"); return err }, samphireturn.KindMissing},
		{"value too large", func(o *keeper.Objects, v uint64) error {
			_, err := o.Update(ctx, "a/b", make([]byte, keeper.MaxValue+1), v)
			return err
		}, samphireturn.KindInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			o := &keeper.Objects{}
			v, err := o.Create(ctx, "a/b", []byte("one"))
			c.Assert(err, qt.IsNil)
			c.Assert(samphireturn.KindOf(tt.call(o, v)), qt.Equals, tt.want)
			obj, err := o.Get(ctx, "a/b")
			c.Assert(err, qt.IsNil)
			c.Assert(obj, qt.DeepEquals, samphireturn.Object{Name: "a/b", Version: v, Value: []byte("one")})
		})
	}
}

// TestObjectsWatch checks that a watch survives writes of other objects and a deletion,
// returns a newer version, and ends at WatchTime or with its context.
func TestObjectsWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		o := &keeper.Objects{WatchTime: time.Minute}
		v, err := o.Create(ctx, "a", []byte("1"))
		c.Assert(err, qt.IsNil)
		go func() {
			time.Sleep(10 * time.Second)
			_, _ = o.Create(ctx, "b", nil)
			_ = o.Delete(ctx, "a", v)
			_, _ = o.Create(ctx, "a", []byte("2"))
		}()
		obj, err := o.Watch(ctx, "a", v)
		c.Assert(err, qt.IsNil)
		c.Assert(string(obj.Value), qt.Equals, "2")
		c.Assert(obj.Version > v, qt.IsTrue)

		start := time.Now()
		_, err = o.Watch(ctx, "a", obj.Version)
		c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindTimeout)
		c.Assert(time.Since(start), qt.Equals, time.Minute)
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		_, err = o.Watch(short, "a", obj.Version)
		c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindUnavailable)
		c.Assert(o.Calls()["watch"], qt.Equals, int64(3))
		c.Assert(o.Calls()["waiting"], qt.Equals, int64(0))
	})
}

// TestObjectsFaults checks the error and the delay of each injected fault.
func TestObjectsFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		fault := keeper.Fault{DropReply: true}
		o := &keeper.Objects{Fault: func(string, string) keeper.Fault { return fault }}
		_, err := o.Create(ctx, "a", nil)
		c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindUnknown)
		fault = keeper.Fault{Down: true}
		_, err = o.Get(ctx, "a")
		c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindUnavailable)
		fault = keeper.Fault{Delay: time.Second}
		start := time.Now()
		_, err = o.Get(ctx, "a")
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(start), qt.Equals, time.Second)
		_, _ = o.Get(ctx, "a")
		c.Assert(o.Calls()["get"], qt.Equals, int64(3))
	})
}
