package main

import (
	"context"
	"strings"
	"testing"

	"github.com/alexflint/go-arg"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// TestCheck checks that options out of range are refused by their name.
func TestCheck(t *testing.T) {
	tests := []struct{ args, want string }{
		{"platform --listen 127.0.0.1:0", ""},
		{"platform --listen x", "--listen"},
		{"platform --listen :0 --weight-rate 0", "--weight-rate"},
		{"engine --listen :0 --id e --version a@1 --version b@2", ""},
		{"engine --listen :0 --id e --version a@1 --quality 1.1", "--quality"},
		{"engine --listen :0 --id e --version a@1 --budget -1", "--budget"},
		{"service --listen :0 --id s --slots 0", "--slots"},
		{"server --listen :0 --id s", ""},
		{"soak --daemon samphireturnd --seed 3", ""},
		{"soak --daemon samphireturnd --endpoints 1", "--endpoints"},
		{"load --url http://127.0.0.1:1 --model a@1", ""},
		{"load --url here --model a@1", "--url"},
		{"load --url http://127.0.0.1:1 --model a@1 --count 2000000", "--count"},
	}
	for _, tt := range tests {
		t.Run(tt.args, func(t *testing.T) {
			c := qt.New(t)
			var o options
			p, err := arg.NewParser(arg.Config{}, &o)
			c.Assert(err, qt.IsNil)
			c.Assert(p.Parse(strings.Fields(tt.args)), qt.IsNil)
			err = o.check()
			if tt.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(err, qt.ErrorMatches, ".*"+tt.want+".*")
		})
	}
}

// TestServeStops checks that serve returns and cleans up when its context ends.
func TestServeStops(t *testing.T) {
	c := qt.New(t)
	o := options{Service: &serviceCmd{Listen: "127.0.0.1:0"}}
	addr, h, _ := o.handler()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	cleaned := false
	c.Assert(serve(ctx, zerolog.Nop(), addr, h, func() { cleaned = true }), qt.IsNil)
	c.Assert(cleaned, qt.IsTrue)
}
