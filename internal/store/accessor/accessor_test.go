package accessor_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/standin/keeper"
	"samphireturn/internal/store/accessor"
)

func newAccessor(c *qt.C, h http.Handler) *accessor.Accessor {
	s := httptest.NewServer(h)
	c.Cleanup(s.Close)
	a := accessor.New(s.URL)
	c.Cleanup(a.Close)
	return a
}

// TestStore checks each operation of the object API, with a name that needs
// escaping, and the kinds of its errors.
func TestStore(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	a := newAccessor(c, &keeper.Server{Objects: &keeper.Objects{}})
	const name = "usage/a b%2F?#/é"
	v, err := a.Create(ctx, name, nil)
	c.Assert(err, qt.IsNil)
	_, err = a.Create(ctx, name, nil)
	c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindConflict)
	w, err := a.Update(ctx, name, []byte("two"), v)
	c.Assert(err, qt.IsNil)
	_, err = a.Update(ctx, name, []byte("three"), v)
	c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindConflict)
	obj, err := a.Get(ctx, name)
	c.Assert(err, qt.IsNil)
	c.Assert(obj, qt.DeepEquals, samphireturn.Object{Name: name, Version: w, Value: []byte("two")})
	obj, err = a.Watch(ctx, name, v)
	c.Assert(err, qt.IsNil)
	c.Assert(obj.Version, qt.Equals, w)
	objs, err := a.List(ctx, "usage/a ")
	c.Assert(err, qt.IsNil)
	c.Assert(objs, qt.DeepEquals, []samphireturn.Object{{Name: name, Version: w}})
	c.Assert(samphireturn.KindOf(a.Delete(ctx, name, v)), qt.Equals, samphireturn.KindConflict)
	c.Assert(a.Delete(ctx, name, w), qt.IsNil)
	_, err = a.Get(ctx, name)
	c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindMissing)
	a.WatchTime = 0
	_, err = a.Watch(ctx, name, 0)
	c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindTimeout)
	_, err = a.Create(ctx, "big", make([]byte, keeper.MaxValue+1))
	c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindInvalid)
	_, err = a.Create(ctx, "a/../b", nil)
	c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindInvalid)
}

// TestFaults guards against a write that is retried or reported as failed when
// only its reply was lost: its outcome is unknown.
func TestFaults(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	objs := &keeper.Objects{}
	a := newAccessor(c, &keeper.Server{Objects: objs})
	objs.SetFaults(keeper.Faults{DropReplies: 1})
	_, err := a.Create(ctx, "a", []byte("x"))
	c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindUnknown)
	c.Assert(objs.Calls()["create"], qt.Equals, int64(1))
	obj, err := a.Get(ctx, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(string(obj.Value), qt.Equals, "x")
	objs.SetFaults(keeper.Faults{Down: true})
	_, err = a.Update(ctx, "a", nil, obj.Version)
	c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindUnavailable)
	_, err = a.VMs(ctx)
	c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindUnavailable)
}

// TestErrorKinds guards against a failed write being reported as
// KindUnavailable when it may have taken effect.
func TestErrorKinds(t *testing.T) {
	status := func(code int) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) })
	}
	abort := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	tests := []struct {
		name        string
		h           http.Handler
		read, write samphireturn.Kind
	}{
		{"500", status(500), samphireturn.KindUnavailable, samphireturn.KindUnknown},
		{"502", status(502), samphireturn.KindUnavailable, samphireturn.KindUnknown},
		{"503", status(503), samphireturn.KindUnavailable, samphireturn.KindUnavailable},
		{"429", status(429), samphireturn.KindLimited, samphireturn.KindLimited},
		{"400", status(400), samphireturn.KindInvalid, samphireturn.KindInvalid},
		{"302", http.RedirectHandler("/x", http.StatusFound), samphireturn.KindUnavailable, samphireturn.KindUnknown},
		{"no ETag", status(200), samphireturn.KindUnavailable, samphireturn.KindUnknown},
		{"no response", abort, samphireturn.KindUnavailable, samphireturn.KindUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			a := newAccessor(c, tt.h)
			_, err := a.Get(context.Background(), "a")
			c.Assert(samphireturn.KindOf(err), qt.Equals, tt.read)
			_, err = a.Create(context.Background(), "a", nil)
			c.Assert(samphireturn.KindOf(err), qt.Equals, tt.write)
		})
	}
}

// TestRefusedBeforeSending checks that a write that got no connection, and so
// cannot have taken effect, is reported as KindUnavailable.
func TestRefusedBeforeSending(t *testing.T) {
	c := qt.New(t)
	a := accessor.New("http://platform")
	a.Transport = &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		return nil, errors.New("refused")
	}}
	_, err := a.Create(context.Background(), "a", nil)
	c.Assert(samphireturn.KindOf(err), qt.Equals, samphireturn.KindUnavailable)
}

// TestRateAndWeights checks a rating, and KindLimited at the weight store's
// rate limit.
func TestRateAndWeights(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	now := time.Unix(0, 0)
	a := newAccessor(c, &keeper.Server{Objects: &keeper.Objects{}, Now: func() time.Time { return now }})
	q, err := a.Rate(ctx, samphireturn.VersionRef{Model: "small", Version: "v1"}, "p", "word "+keeper.QualityMark(0.83)+" word")
	c.Assert(err, qt.IsNil)
	c.Assert(q, qt.Equals, 0.83)
	c.Assert(a.FetchWeights(ctx, "small@v1"), qt.IsNil)
	c.Assert(a.FetchWeights(ctx, "small@v1"), qt.IsNil)
	c.Assert(samphireturn.KindOf(a.FetchWeights(ctx, "small@v1")), qt.Equals, samphireturn.KindLimited)
}

// TestVMs checks the VM list after each change, on a platform whose list lags by
// a second.
func TestVMs(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	s := &keeper.Server{Objects: &keeper.Objects{}, Lag: time.Second, Now: func() time.Time { return now }}
	a := newAccessor(c, s)
	change := func(method, body string) {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(method, "/v1/vms/e1", strings.NewReader(body)))
		c.Assert(w.Code, qt.Equals, http.StatusNoContent)
	}
	check := func(want []samphireturn.VM) {
		vms, err := a.VMs(context.Background())
		c.Assert(err, qt.IsNil)
		c.Assert(vms, qt.DeepEquals, want)
	}
	change("PUT", `{"role":"engine"}`)
	check([]samphireturn.VM{})
	now = now.Add(time.Second)
	change("DELETE", "")
	check([]samphireturn.VM{{ID: "e1", Role: samphireturn.RoleEngine}})
	now = now.Add(time.Second)
	check([]samphireturn.VM{})
}
