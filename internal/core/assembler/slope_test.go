package assembler_test

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/standin/generator"
	"samphireturn/internal/standin/starter"
)

// BenchmarkSlopeFleet measures heap, processor time and platform calls of one daemon in a
// fleet of the given size, of which only the endpoints of its data centre answer. The
// other daemons are listed but unreachable, which is the most expensive state of their
// links.
func BenchmarkSlopeFleet(b *testing.B) {
	const span = 5 * time.Second
	sizes := []struct{ daemons, centres, endpoints, listed int }{
		{23, 1, 63, 63},
		{23, 1, 630, 630},
		{440, 19, 63, 12_000},
		{440, 19, 630, 12_000},
	}
	for _, size := range sizes {
		name := fmt.Sprintf("daemons %d endpoints %d of %d", size.daemons, size.endpoints, size.listed)
		b.Run(name, func(b *testing.B) {
			c := qt.New(b)
			s, err := starter.New()
			c.Assert(err, qt.IsNil)
			config, err := os.ReadFile("../../../examples/config.toml")
			c.Assert(err, qt.IsNil)
			_, err = s.Apply(context.Background(), string(config))
			c.Assert(err, qt.IsNil)
			for i := range size.endpoints {
				g := &generator.Generator{ID: fmt.Sprintf("near%d", i), Incarnation: 1, Versions: []string{"small@v1"}}
				c.Assert(s.Engine("north", g), qt.IsNil)
			}
			for i := range size.listed - size.endpoints {
				vm := samphireturn.VM{ID: fmt.Sprintf("far%d", i), Role: samphireturn.RoleEngine, Centre: fmt.Sprintf("centre%d", i%18), Addr: "10.0.0.1:8000"}
				c.Assert(s.List(vm), qt.IsNil)
			}
			for i := range size.daemons - 1 {
				centre := "north"
				if i%size.centres != 0 {
					centre = fmt.Sprintf("centre%d", i%size.centres)
				}
				id := fmt.Sprintf("entry%d", i+1)
				c.Assert(s.List(samphireturn.VM{ID: id, Role: samphireturn.RoleEntry, Centre: centre, Addr: id + ":80", Peer: id + ":90"}), qt.IsNil)
			}
			before := heap()
			_, err = s.Daemon(context.Background(), "entry0", "north")
			c.Assert(err, qt.IsNil)
			time.Sleep(span)
			calls, cpu := s.Objects.Calls(), processorTime()
			for b.Loop() {
				time.Sleep(span)
			}
			spent := processorTime() - cpu
			elapsed := b.Elapsed()
			reads := int64(0)
			for op, n := range s.Objects.Calls() {
				if op != "waiting" {
					reads += n - calls[op]
				}
			}
			b.ReportMetric(float64(heap()-before)/(1<<20), "MiB/daemon")
			b.ReportMetric(100*spent.Seconds()/elapsed.Seconds(), "%core")
			b.ReportMetric(float64(reads)/elapsed.Seconds(), "calls/s")
			c.Assert(s.Close(), qt.IsNil)
		})
	}
}

// heap returns the bytes of live objects.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// processorTime returns the user and system time of this process.
func processorTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
