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

// desk is two operators at one platform, whose calls of a step go wrong.
type desk struct {
	c       *qt.C
	objects *keeper.Objects
	cancel  context.CancelFunc
	// op and name choose the step; fault is called for its n-th call.
	op, name string
	fault    func(d *desk, n int) keeper.Fault
	n        int
	// inside is true while a fault makes calls itself.
	inside bool
}

// files returns the example with a comment, in two files.
func files(c *qt.C, comment string) map[string][]byte {
	data, err := os.ReadFile("../../../examples/config.toml")
	c.Assert(err, qt.IsNil)
	config, retry, ok := strings.Cut(string(data), "[retry]")
	c.Assert(ok, qt.IsTrue)
	return map[string][]byte{"config.toml": []byte("# " + comment + "\n" + config), "retry.toml": []byte("# " + comment + "\n[retry]" + retry)}
}

// hook checks at every call that the configuration in force is whole.
func (d *desk) hook(op, name string) keeper.Fault {
	if d.inside {
		return keeper.Fault{}
	}
	d.inside = true
	defer func() { d.inside = false }()
	_, _, err := (&publisher.Publisher{Store: d.objects}).Fetch(context.Background())
	d.c.Check(err, qt.IsNil, qt.Commentf("half a change is in force before %s %s", op, name))
	if op != d.op || !strings.HasPrefix(name, d.name) {
		return keeper.Fault{}
	}
	d.n++
	return d.fault(d, d.n)
}

// apply puts files in force with no faults.
func (d *desk) apply(author, comment string, base uint64) {
	inside := d.inside
	d.inside = true
	p := publisher.Publisher{Store: d.objects, Author: author}
	_, err := p.Apply(context.Background(), files(d.c, comment), base)
	d.c.Check(err, qt.IsNil)
	d.inside = inside
}

func down(n int) func(*desk, int) keeper.Fault {
	return func(_ *desk, call int) keeper.Fault { return keeper.Fault{Down: call <= n} }
}

func lost(_ *desk, call int) keeper.Fault { return keeper.Fault{DropReply: call == 1} }

func slow(*desk, int) keeper.Fault { return keeper.Fault{Delay: 2 * time.Second} }

func killed(d *desk, _ int) keeper.Fault {
	d.cancel()
	return keeper.Fault{}
}

// other lets the second operator change the files, to the same content if same.
func other(comment string) func(*desk, int) keeper.Fault {
	return func(d *desk, call int) keeper.Fault {
		if call == 1 {
			d.apply("ben", comment, 0)
		}
		return keeper.Fault{}
	}
}

func lostThenDown(d *desk, call int) keeper.Fault {
	if call == 1 {
		d.objects.SetFaults(keeper.Faults{})
		d.op, d.name = keeper.OpGet, manifest
		d.fault = down(100)
	}
	return keeper.Fault{DropReply: call == 1}
}

func TestFaultConfigPublish(t *testing.T) {
	const forever = 1000
	tests := []struct {
		step, op, name string
		fault          string
		call           func(*desk, int) keeper.Fault
		want           samphireturn.Kind
		ok             bool
		author         string // of the change in force at the end
	}{
		{"read", keeper.OpGet, manifest, "down", down(forever), samphireturn.KindUnavailable, false, "ann"},
		{"read", keeper.OpGet, manifest, "slow", slow, 0, true, "eve"},
		{"read", keeper.OpGet, manifest, "killed", killed, samphireturn.KindUnavailable, false, "ann"},
		{"read status", keeper.OpList, "status/", "down", down(forever), samphireturn.KindUnavailable, false, "ann"},
		{"write part", keeper.OpCreate, "config/part/", "down", down(forever), samphireturn.KindUnavailable, false, "ann"},
		{"write part", keeper.OpCreate, "config/part/", "down for a moment", down(3), 0, true, "eve"},
		{"write part", keeper.OpCreate, "config/part/", "lost", lost, 0, true, "eve"},
		{"write part", keeper.OpCreate, "config/part/", "slow", slow, 0, true, "eve"},
		{"write part", keeper.OpCreate, "config/part/", "two operators", other("ben"), samphireturn.KindConflict, false, "ben"},
		{"write part", keeper.OpCreate, "config/part/", "two operators, same files", other("eve"), samphireturn.KindConflict, false, "ben"},
		{"write part", keeper.OpCreate, "config/part/", "killed", killed, samphireturn.KindUnavailable, false, "ann"},
		{"swap", keeper.OpUpdate, manifest, "down", down(forever), samphireturn.KindUnavailable, false, "ann"},
		{"swap", keeper.OpUpdate, manifest, "lost", lost, 0, true, "eve"},
		{"swap", keeper.OpUpdate, manifest, "lost, then down", lostThenDown, samphireturn.KindUnknown, false, "eve"},
		{"swap", keeper.OpUpdate, manifest, "slow", slow, 0, true, "eve"},
		{"swap", keeper.OpUpdate, manifest, "two operators", other("ben"), samphireturn.KindConflict, false, "ben"},
		{"swap", keeper.OpUpdate, manifest, "killed", killed, samphireturn.KindUnavailable, false, "ann"},
		{"list parts", keeper.OpList, "config/part/", "down", down(forever), 0, true, "eve"},
		{"list parts", keeper.OpList, "config/part/", "killed", killed, 0, true, "eve"},
		{"clean up", keeper.OpDelete, "config/part/", "down", down(forever), 0, true, "eve"},
		{"clean up", keeper.OpDelete, "config/part/", "lost", lost, 0, true, "eve"},
		{"clean up", keeper.OpDelete, "config/part/", "slow", slow, 0, true, "eve"},
		// The second operator goes back to the files whose parts are being removed.
		{"clean up", keeper.OpDelete, "config/part/", "two operators, old files", other("first"), 0, true, "ben"},
		{"clean up", keeper.OpDelete, "config/part/", "killed", killed, 0, true, "eve"},
	}
	for _, tt := range tests {
		t.Run(tt.step+" x "+tt.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				d := &desk{c: c, objects: new(keeper.Objects), cancel: cancel, op: tt.op, name: tt.name, fault: tt.call, inside: true}
				d.objects.Fault = d.hook
				d.apply("ann", "first", 0)
				d.apply("ann", "second", 1)
				d.inside = false
				p := publisher.Publisher{Store: d.objects, Author: "eve"}
				m, err := p.Apply(ctx, files(c, "eve"), 2)
				c.Check(d.n > 0, qt.IsTrue, qt.Commentf("the step was not reached"))
				c.Check(err == nil, qt.Equals, tt.ok, qt.Commentf("%v", err))
				d.inside = true
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
		d := &desk{c: c, objects: new(keeper.Objects), inside: true}
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

func TestFaultConfigRestored(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	d := &desk{c: c, objects: new(keeper.Objects), inside: true}
	d.apply("ann", "first", 0)
	_, err := d.objects.Create(ctx, reporter.Prefix+"north", []byte(`{"centre":"north","daemons":[{"id":"n1","generation":7}]}`))
	c.Assert(err, qt.IsNil)
	m, err := (&publisher.Publisher{Store: d.objects}).Apply(ctx, files(c, "second"), 1)
	c.Assert(err, qt.IsNil)
	c.Check(m.Generation, qt.Equals, uint64(8))
}
