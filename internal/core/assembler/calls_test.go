package assembler_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/standin/generator"
	"samphireturn/internal/standin/keeper"
	"samphireturn/internal/standin/starter"
)

// TestPlatformCalls measures the calls per second that a daemon makes to the platform,
// idle and under load, and the time until a change is in force. Run it with -v to see
// the figures. The daemons are spread over two data centres.
func TestPlatformCalls(t *testing.T) {
	const span = 60 * time.Second
	reads := []string{keeper.OpGet, keeper.OpList, keeper.OpWatch, keeper.OpVMs}
	writes := []string{keeper.OpCreate, keeper.OpUpdate, keeper.OpDelete}
	tests := []struct {
		daemons int
		reads   float64 // bound on reads per second and daemon
	}{{2, 2}, {8, 0.8}, {32, 0.3}}
	for _, tt := range tests {
		for _, rate := range []int{0, 2} {
			t.Run(fmt.Sprintf("%d daemons, %d requests a second each", tt.daemons, rate), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					ctx := context.Background()
					config, err := os.ReadFile("../../../examples/config.toml")
					c.Assert(err, qt.IsNil)
					s, err := starter.New()
					c.Assert(err, qt.IsNil)
					_, err = s.Apply(ctx, string(config))
					c.Assert(err, qt.IsNil)
					for _, centre := range []string{"north", "south"} {
						c.Assert(s.Engine(centre, &generator.Generator{ID: "engine-" + centre, Incarnation: 1, Versions: []string{"small@v1"}}), qt.IsNil)
					}
					var daemons []*starter.Daemon
					for i := range tt.daemons {
						d, err := s.Daemon(ctx, fmt.Sprintf("entry%02d", i), []string{"north", "south"}[i%2])
						c.Assert(err, qt.IsNil)
						daemons = append(daemons, d)
					}
					time.Sleep(15 * time.Second)
					before := s.Objects.Calls()
					answered := 0
					for range int(span / time.Second) {
						var running []chan result
						for _, d := range daemons {
							for range rate {
								running = append(running, sendChat(d, shortBody))
							}
						}
						time.Sleep(time.Second)
						for _, r := range running {
							if (<-r).status == 200 {
								answered++
							}
						}
					}
					after := s.Objects.Calls()
					perDaemon := func(ops []string) float64 {
						n := int64(0)
						for _, op := range ops {
							n += after[op] - before[op]
						}
						return float64(n) / span.Seconds() / float64(tt.daemons)
					}
					t.Logf("a daemon: %.3f reads/s, %.3f writes/s; fleet: %d watches wait; %d answered; %v", perDaemon(reads), perDaemon(writes), after["waiting"], answered, diff(after, before))
					c.Check(perDaemon(reads) <= tt.reads, qt.IsTrue)
					c.Check(perDaemon(writes) <= 0.25, qt.IsTrue)
					_, err = s.Apply(ctx, "# b\n"+string(config))
					c.Assert(err, qt.IsNil)
					t.Logf("in force by the platform and peers in %s", waitForAll(daemons, 2))
					s.Network.Partition(func(from, to string) bool { return hostName(to) == "platform" && from != daemons[0].VM.ID })
					time.Sleep(10 * time.Second)
					_, err = s.Apply(ctx, "# c\n"+string(config))
					c.Assert(err, qt.IsNil)
					t.Logf("in force by peers of one daemon in %s", waitForAll(daemons, 3))
					s.Network.Partition(nil)
					c.Check(s.Close(), qt.IsNil)
				})
			})
		}
	}
}

// waitForAll waits until all daemons run the generation, at most a minute, and returns
// the time that it took.
func waitForAll(daemons []*starter.Daemon, generation uint64) time.Duration {
	began := time.Now()
	for time.Since(began) < time.Minute {
		synctest.Wait()
		late := false
		for _, d := range daemons {
			late = late || d.Kernel.Snapshot().Config.Generation < generation
		}
		if !late {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

func diff(after, before map[string]int64) map[string]int64 {
	d := make(map[string]int64)
	for op, n := range after {
		if n != before[op] {
			d[op] = n - before[op]
		}
	}
	return d
}
