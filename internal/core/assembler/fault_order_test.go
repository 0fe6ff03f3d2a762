package assembler_test

import (
	"context"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/fleet/orderer"
	"samphireturn/internal/standin/generator"
	"samphireturn/internal/standin/starter"
)

// TestFaultOrderHolderLost rolls a version out to two of four engines with complete
// daemons. The daemon that holds the lease is cut off from everything once the first
// engine loads the version. The other daemons must complete the roll-out, never with two
// engines loading at once, and serve all requests meanwhile.
func TestFaultOrderHolderLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		config, err := os.ReadFile("../../../examples/config.toml")
		c.Assert(err, qt.IsNil)
		s, err := starter.New()
		c.Assert(err, qt.IsNil)
		_, err = s.Apply(ctx, string(config))
		c.Assert(err, qt.IsNil)
		var engines []*generator.Generator
		for _, id := range []string{"engine1", "engine2", "engine3", "engine4"} {
			g := &generator.Generator{ID: id, Incarnation: 1, Versions: []string{"small@v1"}, LoadTime: 15 * time.Second}
			c.Assert(s.Engine("north", g), qt.IsNil)
			engines = append(engines, g)
		}
		daemons := make(map[string]*starter.Daemon)
		for _, id := range []string{"entry1", "entry2", "entry3"} {
			daemons[id], err = s.Daemon(ctx, id, "north")
			c.Assert(err, qt.IsNil)
		}
		time.Sleep(settleTime)
		next := strings.Replace(string(config), "name = \"v2\"\n  state = \"canary\"", "name = \"v2\"\n  engines = 2\n  state = \"canary\"", 1)
		_, err = s.Apply(ctx, next)
		c.Assert(err, qt.IsNil)
		loading := func() (n int) {
			for _, g := range engines {
				if _, v := g.Loaded(); v != "" {
					n++
				}
			}
			return n
		}
		for i := 0; loading() == 0 && i < 60; i++ {
			time.Sleep(time.Second)
		}
		c.Assert(loading(), qt.Equals, 1)
		lease, err := s.Objects.Get(ctx, "leases/orders/north")
		c.Assert(err, qt.IsNil)
		holder := ""
		for id := range daemons {
			if strings.Contains(string(lease.Value), id+".") {
				holder = id
			}
		}
		c.Assert(holder, qt.Not(qt.Equals), "")
		s.Network.Partition(daemons[holder].Involves)
		s.Network.CloseOpen(daemons[holder].Involves)
		maxLoading, refused := 0, 0
		for range 90 {
			time.Sleep(time.Second)
			maxLoading = max(maxLoading, loading())
			for id, d := range daemons {
				if id == holder {
					continue
				}
				status, _, _, err := d.Do(ctx, "POST", "/v1/chat/completions", shortBody, "Authorization", bearer)
				if err != nil || status != 200 {
					refused++
				}
			}
		}
		c.Check(maxLoading, qt.Equals, 1)
		c.Check(refused, qt.Equals, 0)
		all, err := orderer.ReadAll(ctx, s.Objects)
		c.Assert(err, qt.IsNil)
		c.Check(all["north"].Versions, qt.DeepEquals, []orderer.Version{
			{Name: "small@v1", Desired: 1, Loaded: 2}, {Name: "small@v2", Desired: 2, Loaded: 2},
		})
		c.Check(s.Close(), qt.IsNil)
	})
}
