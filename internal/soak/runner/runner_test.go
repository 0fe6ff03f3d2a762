package runner

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/soak/planner"
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
