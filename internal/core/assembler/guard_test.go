package assembler_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/fleet/guard"
	"samphireturn/internal/standin/generator"
	"samphireturn/internal/standin/injector"
	"samphireturn/internal/standin/keeper"
)

// TestFaultBadVersion makes a canary fail under traffic at one daemon. It checks that
// every daemon then holds the version, that is, sends it no new sessions, with the
// platform up or down, that a daemon started later holds it too, and that an operator's
// release ends the hold.
func TestFaultBadVersion(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprint("platform down ", down), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testBadVersion(t, down) })
		})
	}
}

func testBadVersion(t *testing.T, down bool) {
	c := qt.New(t)
	ctx := context.Background()
	s, daemons := install(t, c)
	bad := samphireturn.VersionRef{Model: "small", Version: "v2"}
	engine := &generator.Generator{ID: "engine9", Incarnation: 1, Versions: []string{bad.String()}}
	engine.Injector.Set(injector.Faults{Fail: 1})
	c.Assert(s.Unlist("engine2"), qt.IsNil)
	c.Assert(s.Engine("north", engine), qt.IsNil)
	time.Sleep(settleTime)
	s.Objects.SetFaults(keeper.Faults{Down: down})
	chat := `{"model":"small@v2","messages":[{"role":"user","content":"hi"}]}`
	ran := 0
	for ; ran < 50 && !daemons[0].Kernel.Snapshot().HeldVersions[bad]; ran++ {
		_, _, _, err := daemons[0].Do(ctx, http.MethodPost, "/v1/chat/completions", chat, "Authorization", bearer)
		c.Assert(err, qt.IsNil)
		synctest.Wait()
	}
	c.Check(ran < 10, qt.IsTrue, qt.Commentf("%d requests", ran))
	time.Sleep(2 * time.Second)
	synctest.Wait()
	for _, d := range daemons {
		c.Check(d.Kernel.Snapshot().HeldVersions[bad], qt.IsTrue, qt.Commentf("%s", d.VM.ID))
	}
	status, _, body, err := daemons[1].Do(ctx, http.MethodPost, "/v1/chat/completions", chat, "Authorization", bearer)
	c.Check(err, qt.IsNil)
	c.Check(status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", body))
	s.Objects.SetFaults(keeper.Faults{})
	time.Sleep(settleTime)
	late, err := s.Daemon(ctx, "entry4", "south")
	c.Assert(err, qt.IsNil)
	time.Sleep(settleTime)
	synctest.Wait()
	c.Check(late.Kernel.Snapshot().HeldVersions[bad], qt.IsTrue, qt.Commentf("a daemon that was started later"))
	h, _, err := guard.LoadHold(ctx, s.Objects, bad.String())
	c.Assert(err, qt.IsNil)
	_, err = guard.SaveHold(ctx, s.Objects, guard.Hold{Version: bad, Epoch: h.Epoch + 1})
	c.Assert(err, qt.IsNil)
	time.Sleep(settleTime)
	synctest.Wait()
	for _, d := range append(daemons, late) {
		c.Check(d.Kernel.Snapshot().HeldVersions[bad], qt.IsFalse, qt.Commentf("%s", d.VM.ID))
	}
	c.Check(s.Close(), qt.IsNil)
}
