package messenger

import (
	"context"
	"net"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"samphireturn"
)

// TestInline checks that the calls of an inline topic are handled one at a time.
func TestInline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		all := startAll(t, newNetwork(), []string{fleetKey}, vm("a", "x"), vm("b", "x"))
		defer stopAll(all)
		running, maxRunning := 0, 0
		all[0].handlers["note"] = func(context.Context, string, []byte) (any, error) {
			running++
			maxRunning = max(maxRunning, running)
			time.Sleep(time.Millisecond)
			running--
			return nil, nil
		}
		all[0].InlineTopics = []string{"note"}
		done := make(chan error)
		for range 5 {
			go func() { done <- all[1].Call(context.Background(), "a", "note", text{}, nil) }()
		}
		for range 5 {
			c.Check(<-done, qt.IsNil)
		}
		c.Check(maxRunning, qt.Equals, 1)
	})
}

// BenchmarkCall compares topics handled on a worker with inline topics, over TCP on
// loopback and with GOMAXPROCS of 1.
func BenchmarkCall(b *testing.B) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	vms := []samphireturn.VM{vm("a", "x"), vm("b", "x")}
	var all []*Messenger
	for i := range vms {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		qt.Assert(b, err, qt.IsNil)
		vms[i].Peer = l.Addr().String()
		m := New(vms[i], fleetKey, zerolog.Nop())
		m.Listener, m.InlineTopics = l, []string{"inline"}
		for _, topic := range []string{"worker", "inline"} {
			m.Handle(topic, func(context.Context, string, []byte) (any, error) { return nil, nil })
		}
		qt.Assert(b, m.Run(context.Background()), qt.IsNil)
		all = append(all, m)
	}
	defer stopAll(all)
	for _, m := range all {
		m.SetMembers(vms)
	}
	for len(all[0].Connected()) == 0 || len(all[1].Connected()) == 0 {
		runtime.Gosched()
	}
	for _, topic := range []string{"worker", "inline"} {
		b.Run(topic, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := all[0].Call(context.Background(), "b", topic, text{}, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
