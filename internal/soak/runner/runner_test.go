package runner

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	// The programs that these tests build: a result in the cache of tests is that of the same code.
	_ "samphireturn/internal/core/assembler"
	"samphireturn/internal/soak/planner"
	_ "samphireturn/platform"
)

// TestSoak runs daemons and endpoints as processes under the faults of a few seconds.
func TestSoak(t *testing.T) {
	c := qt.New(t)
	bin := buildPrograms(c)
	var log bytes.Buffer
	r := &Runner{
		Seed: 6, Daemons: 3, Endpoints: 2, Callers: 12, Duration: 6 * time.Second, Dir: t.TempDir(), Log: &log,
		Kinds: []string{
			planner.DaemonTerm, planner.DaemonKill, planner.DaemonStop, planner.EndpointCrash, planner.EndpointDrain, planner.EndpointFault,
			planner.Configure, planner.LinkReset, planner.LinkCutStore, planner.StoreForget,
		},
		DaemonProgram: filepath.Join(bin, "samphireturnd"), StandinProgram: filepath.Join(bin, "standin"),
	}
	report, err := r.Run(t.Context())
	c.Assert(err, qt.IsNil)
	c.Check(report.Violations, qt.HasLen, 0, qt.Commentf("%v\n%s", report, log.String()))
	c.Check(report.Served > 0, qt.IsTrue)
	t.Log(report)
	for _, p := range r.processes() {
		c.Errorf("process %d is left over", p.pid())
	}
}

// TestCrashes guards against prompt parts that crash one endpoint after the other, before the head
// of the answer or after some events, also if its address is closed only a moment later, so that in the end
// no sound request finds an endpoint.
func TestCrashes(t *testing.T) {
	c := qt.New(t)
	bin := buildPrograms(c)
	// The draws of these seeds make endpoints crash before the head and after events.
	tests := []struct {
		seed       uint64
		closeDelay time.Duration
	}{{50, 0}, {54, 0}, {50, 50 * time.Millisecond}}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.seed, " ", test.closeDelay), func(t *testing.T) {
			c := qt.New(t)
			var log bytes.Buffer
			r := &Runner{
				Seed: test.seed, CloseDelay: test.closeDelay, Daemons: 8, Endpoints: 8, Callers: 40, Duration: 15 * time.Second, Dir: t.TempDir(), Log: &log,
				Kinds:         []string{planner.RequestsCrash},
				DaemonProgram: filepath.Join(bin, "samphireturnd"), StandinProgram: filepath.Join(bin, "standin"),
			}
			report, err := r.Run(t.Context())
			c.Assert(err, qt.IsNil)
			c.Check(report.Violations, qt.HasLen, 0, qt.Commentf("%v\n%s", report, log.String()))
			t.Log(report)
		})
	}
}

// TestReplacement guards against a replacement that leaves a daemon out, or that a restart by
// another step takes back. The two programs are the same one at two paths.
func TestReplacement(t *testing.T) {
	c := qt.New(t)
	bin := buildPrograms(c)
	current, earlier := filepath.Join(bin, "samphireturnd"), filepath.Join(bin, "earlier")
	c.Assert(os.Symlink(current, earlier), qt.IsNil)
	var log bytes.Buffer
	r := &Runner{
		Seed: 2, Daemons: 2, Endpoints: 2, Callers: 8, Duration: 4 * time.Second, Dir: t.TempDir(), Log: &log,
		Kinds:         []string{planner.DaemonsUpgrade, planner.DaemonsDowngrade, planner.DaemonKill, planner.LinkCutPeers},
		DaemonProgram: current, EarlierProgram: earlier, StandinProgram: filepath.Join(bin, "standin"),
	}
	report, err := r.Run(t.Context())
	c.Assert(err, qt.IsNil)
	c.Check(report.Violations, qt.HasLen, 0, qt.Commentf("%v\n%s", report, log.String()))
	c.Check(report.Served > 0, qt.IsTrue)
	for _, d := range r.daemons {
		var programs []string
		for _, started := range regexp.MustCompile(d.name+" started with (.*)").FindAllStringSubmatch(log.String(), -1) {
			programs = append(programs, started[1])
		}
		c.Check(slices.Compact(programs), qt.DeepEquals, []string{earlier, current, earlier}, qt.Commentf("%s\n%s", d.name, log.String()))
	}
}

// buildPrograms builds the programs of a run and returns their directory.
func buildPrograms(c *qt.C) string {
	bin := c.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "samphireturn/cmd/samphireturnd", "samphireturn/cmd/standin").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return bin
}

// TestRejection guards against a run of two builds that passes although they can't read each
// other's messages, and against one that fails as links break off. The lines are of runs with a
// daemon of another frame version, and of 65b2a42 and 7fc650c.
func TestRejection(t *testing.T) {
	tests := []struct {
		line string
		want bool
	}{
		{`{"level":"warn","daemon":"d3","service":"messenger","peer":"d1","reason":"hello","error":"x","message":"peer link refused or failed"}`, true},
		{`{"level":"info","daemon":"d2","service":"follower","event":"follow_failed","peer":"d3","error":"unmarshal: malformed message: cbor: x"}`, true},
		{`{"level":"warn","daemon":"d1","service":"messenger","peer":"d3","reason":"broken","error":"receive: connection failed: EOF"}`, false},
		{`{"level":"info","daemon":"d4","event":"peer_failed","peer":"d3","error":"dial d3: dial: open stream: not the expected daemon: status 404"}`, false},
	}
	for _, test := range tests {
		qt.New(t).Check(rejection.MatchString(test.line), qt.Equals, test.want, qt.Commentf(test.line))
	}
}
