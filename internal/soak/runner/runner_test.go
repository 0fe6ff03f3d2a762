package runner

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/soak/planner"
)

// TestSoak runs daemons and endpoints as processes under the faults of a few seconds.
func TestSoak(t *testing.T) {
	c := qt.New(t)
	bin := t.TempDir()
	out, err := exec.Command("go", "build", "-o", bin+"/", "samphireturn/cmd/samphireturnd", "samphireturn/cmd/standin").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
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
