package publisher_test

import (
	"context"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/config/publisher"
	"samphireturn/internal/config/reporter"
	"samphireturn/internal/standin/keeper"
)

const manifest = publisher.ManifestName

// faultInjector runs two operators against one object store and injects faults into
// the calls of one step.
type faultInjector struct {
	c       *qt.C
	objects *keeper.Objects
	cancel  context.CancelFunc
	// op and name select the step; fault is called for each of its calls with
	// the number of the call, from 1.
	op, name string
	fault    func(d *faultInjector, n int) keeper.Fault
	calls    int
	// bypass is true while calls are neither checked nor given faults.
	bypass bool
}

// exampleFiles returns the example with a comment, split into two files.
func exampleFiles(c *qt.C, comment string) map[string][]byte {
	data, err := os.ReadFile("../../../examples/config.toml")
	c.Assert(err, qt.IsNil)
	config, retry, ok := strings.Cut(string(data), "[retry]")
	c.Assert(ok, qt.IsTrue)
	return map[string][]byte{"config.toml": []byte("# " + comment + "\n" + config), "retry.toml": []byte("# " + comment + "\n[retry]" + retry)}
}

// beforeCall checks before every call that the configuration in force is complete,
// and returns the fault of the call.
func (d *faultInjector) beforeCall(op, name string) keeper.Fault {
	if d.bypass {
		return keeper.Fault{}
	}
	d.bypass = true
	defer func() { d.bypass = false }()
	_, _, err := (&publisher.Publisher{Store: d.objects}).Fetch(context.Background())
	d.c.Check(err, qt.IsNil, qt.Commentf("the configuration in force is incomplete before %s %s", op, name))
	if op != d.op || !strings.HasPrefix(name, d.name) {
		return keeper.Fault{}
	}
	d.calls++
	return d.fault(d, d.calls)
}

// apply puts files in force without faults.
func (d *faultInjector) apply(author, comment string, base uint64) {
	bypass := d.bypass
	d.bypass = true
	p := publisher.Publisher{Store: d.objects, Author: author}
	_, err := p.Apply(context.Background(), exampleFiles(d.c, comment), base)
	d.c.Check(err, qt.IsNil)
	d.bypass = bypass
}

func unavailable(n int) func(*faultInjector, int) keeper.Fault {
	return func(_ *faultInjector, call int) keeper.Fault { return keeper.Fault{Down: call <= n} }
}

func dropReply(_ *faultInjector, call int) keeper.Fault { return keeper.Fault{DropReply: call == 1} }

func delay(*faultInjector, int) keeper.Fault { return keeper.Fault{Delay: 2 * time.Second} }

func cancelContext(d *faultInjector, _ int) keeper.Fault {
	d.cancel()
	return keeper.Fault{}
}

// secondOperator makes the second operator apply files with the comment during the
// step's first call. The first operator's comment gives the same files.
func secondOperator(comment string) func(*faultInjector, int) keeper.Fault {
	return func(d *faultInjector, call int) keeper.Fault {
		if call == 1 {
			d.apply("ben", comment, 0)
		}
		return keeper.Fault{}
	}
}

func dropReplyThenUnavailable(d *faultInjector, call int) keeper.Fault {
	if call == 1 {
		d.objects.SetFaults(keeper.Faults{})
		d.op, d.name = keeper.OpGet, manifest
		d.fault = unavailable(100)
	}
	return keeper.Fault{DropReply: call == 1}
}

// TestFaultConfigPublish injects each fault at each step of Apply. At every
// call the configuration in force must be complete, the result of Apply must
// agree with what is in force afterwards, and later changes must leave no
// unused parts.
func TestFaultConfigPublish(t *testing.T) {
	const forever = 1000
	tests := []struct {
		step, op, name string
		fault          string
		call           func(*faultInjector, int) keeper.Fault
		want           samphireturn.Kind
		ok             bool
		author         string // of the change in force at the end
	}{
		{"read", keeper.OpGet, manifest, "down", unavailable(forever), samphireturn.KindUnavailable, false, "ann"},
		{"read", keeper.OpGet, manifest, "slow", delay, 0, true, "eve"},
		{"read", keeper.OpGet, manifest, "killed", cancelContext, samphireturn.KindUnavailable, false, "ann"},
		{"read status", keeper.OpList, "status/", "down", unavailable(forever), samphireturn.KindUnavailable, false, "ann"},
		{"write part", keeper.OpCreate, "config/part/", "down", unavailable(forever), samphireturn.KindUnavailable, false, "ann"},
		{"write part", keeper.OpCreate, "config/part/", "down for a moment", unavailable(3), 0, true, "eve"},
		{"write part", keeper.OpCreate, "config/part/", "lost", dropReply, 0, true, "eve"},
		{"write part", keeper.OpCreate, "config/part/", "slow", delay, 0, true, "eve"},
		{"write part", keeper.OpCreate, "config/part/", "two operators", secondOperator("ben"), samphireturn.KindConflict, false, "ben"},
		{"write part", keeper.OpCreate, "config/part/", "two operators, same files", secondOperator("eve"), samphireturn.KindConflict, false, "ben"},
		{"write part", keeper.OpCreate, "config/part/", "killed", cancelContext, samphireturn.KindUnavailable, false, "ann"},
		{"swap", keeper.OpUpdate, manifest, "down", unavailable(forever), samphireturn.KindUnavailable, false, "ann"},
		{"swap", keeper.OpUpdate, manifest, "lost", dropReply, 0, true, "eve"},
		{"swap", keeper.OpUpdate, manifest, "lost, then down", dropReplyThenUnavailable, samphireturn.KindUnknown, false, "eve"},
		{"swap", keeper.OpUpdate, manifest, "slow", delay, 0, true, "eve"},
		{"swap", keeper.OpUpdate, manifest, "two operators", secondOperator("ben"), samphireturn.KindConflict, false, "ben"},
		{"swap", keeper.OpUpdate, manifest, "killed", cancelContext, samphireturn.KindUnavailable, false, "ann"},
		{"list parts", keeper.OpList, "config/part/", "down", unavailable(forever), 0, true, "eve"},
		{"list parts", keeper.OpList, "config/part/", "killed", cancelContext, 0, true, "eve"},
		{"clean up", keeper.OpDelete, "config/part/", "down", unavailable(forever), 0, true, "eve"},
		{"clean up", keeper.OpDelete, "config/part/", "lost", dropReply, 0, true, "eve"},
		{"clean up", keeper.OpDelete, "config/part/", "slow", delay, 0, true, "eve"},
		// The second operator goes back to the files whose parts are being removed.
		{"clean up", keeper.OpDelete, "config/part/", "two operators, old files", secondOperator("first"), 0, true, "ben"},
		{"clean up", keeper.OpDelete, "config/part/", "killed", cancelContext, 0, true, "eve"},
	}
	for _, tt := range tests {
		t.Run(tt.step+" x "+tt.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				d := &faultInjector{c: c, objects: new(keeper.Objects), cancel: cancel, op: tt.op, name: tt.name, fault: tt.call, bypass: true}
				d.objects.Fault = d.beforeCall
				d.apply("ann", "first", 0)
				d.apply("ann", "second", 1)
				d.bypass = false
				p := publisher.Publisher{Store: d.objects, Author: "eve"}
				m, err := p.Apply(ctx, exampleFiles(c, "eve"), 2)
				c.Check(d.calls > 0, qt.IsTrue, qt.Commentf("the step was not reached"))
				c.Check(err == nil, qt.Equals, tt.ok, qt.Commentf("%v", err))
				d.bypass = true
				now, _, fetched := p.Fetch(context.Background())
				c.Assert(fetched, qt.IsNil)
				c.Check(now.Author, qt.Equals, tt.author)
				if err != nil {
					c.Check(publisher.KindOf(err), qt.Equals, tt.want)
				}
				if tt.want == samphireturn.KindConflict && err != nil {
					c.Check(err.(*publisher.Error).InForce.Author, qt.Equals, "ben")
				}
				if err == nil {
					c.Check(now.Generation >= m.Generation, qt.IsTrue)
				}
				d.apply("ann", "last", now.Generation)
				d.apply("ann", "very last", now.Generation+1)
				parts, err := d.objects.List(context.Background(), publisher.PartPrefix)
				c.Check(err, qt.IsNil)
				c.Check(parts, qt.HasLen, 4)
			})
		})
	}
}

// TestFaultConfigParts guards against a missing or damaged part being taken for
// valid, and checks that applying the same files again repairs it.
func TestFaultConfigParts(t *testing.T) {
	ctx := context.Background()
	tests := []struct {
		name   string
		damage func(o *keeper.Objects, part samphireturn.Object) error
	}{
		{"missing", func(o *keeper.Objects, part samphireturn.Object) error { return o.Delete(ctx, part.Name, part.Version) }},
		{"other content", func(o *keeper.Objects, part samphireturn.Object) error {
			_, err := o.Update(ctx, part.Name, []byte("# nothing"), part.Version)
			return err
		}},
	}
	for _, tt := range tests {
		c := qt.New(t)
		d := &faultInjector{c: c, objects: new(keeper.Objects), bypass: true}
		d.apply("ann", "first", 0)
		parts, err := d.objects.List(ctx, publisher.PartPrefix)
		c.Assert(err, qt.IsNil)
		c.Assert(tt.damage(d.objects, parts[0]), qt.IsNil)
		_, _, err = (&publisher.Publisher{Store: d.objects}).Fetch(ctx)
		c.Check(err, qt.Not(qt.IsNil), qt.Commentf(tt.name))
		d.apply("ann", "first", 1)
		_, cfg, err := (&publisher.Publisher{Store: d.objects}).Fetch(ctx)
		c.Assert(err, qt.IsNil, qt.Commentf(tt.name))
		c.Check(cfg.Generation, qt.Equals, uint64(2))
	}
}

// TestFaultConfigRestored guards against a new generation that daemons ignore,
// because they ran a higher one before the platform was restored from an older
// state.
func TestFaultConfigRestored(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	d := &faultInjector{c: c, objects: new(keeper.Objects), bypass: true}
	d.apply("ann", "first", 0)
	_, err := d.objects.Create(ctx, reporter.Prefix+"north", []byte(`{"centre":"north","daemons":[{"id":"n1","generation":7}]}`))
	c.Assert(err, qt.IsNil)
	m, err := (&publisher.Publisher{Store: d.objects}).Apply(ctx, exampleFiles(c, "second"), 1)
	c.Assert(err, qt.IsNil)
	c.Check(m.Generation, qt.Equals, uint64(8))
}
