package balancer_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/forward/balancer"
)

// TestLoads checks that loads are the same after encoding and decoding, but for rounding,
// and that invalid encodings are refused.
func TestLoads(t *testing.T) {
	tests := []struct {
		name       string
		load, want balancer.Load
	}{
		{"requests only", balancer.Load{Requests: 3}, balancer.Load{Requests: 3}},
		{"rounded up", balancer.Load{Requests: 1, MemoryTokens: 7000, Backlog: 1500}, balancer.Load{Requests: 1, MemoryTokens: 6976, Backlog: 2000}},
		{"rounded to nothing", balancer.Load{Requests: 1, MemoryTokens: 31, Backlog: 499}, balancer.Load{Requests: 1}},
		{"large", balancer.Load{Requests: 5000, MemoryTokens: 64_000_000, Backlog: 3_600_000_000}, balancer.Load{Requests: 5000, MemoryTokens: 64_000_000, Backlog: 3_600_000_000}},
		{"negative", balancer.Load{Requests: 1, Backlog: -5000}, balancer.Load{Requests: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			data, err := balancer.Loads{balancer.KeyOf("h1"): test.load, balancer.KeyOf("h2"): {Requests: 1}}.MarshalBinary()
			c.Assert(err, qt.IsNil)
			var got balancer.Loads
			c.Assert(got.UnmarshalBinary(data), qt.IsNil)
			c.Check(got, qt.DeepEquals, balancer.Loads{balancer.KeyOf("h1"): test.want, balancer.KeyOf("h2"): {Requests: 1}})
			for cut := 1; cut < 4; cut++ {
				c.Check(got.UnmarshalBinary(data[:len(data)-cut]), qt.IsNotNil)
			}
		})
	}
	c := qt.New(t)
	var got balancer.Loads
	c.Check(got.UnmarshalBinary([]byte{0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 0, 0}), qt.IsNotNil)
}
