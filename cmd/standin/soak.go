package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"samphireturn/internal/soak/planner"
	"samphireturn/internal/soak/runner"
)

// soakCmd runs soaks, one seed after the other.
type soakCmd struct {
	Daemon    string        `arg:"--daemon,required" help:"path of samphireturnd"`
	Earlier   string        `arg:"--earlier" help:"path of samphireturnd of another build, with which the daemons start and are replaced"`
	Settings  []string      `arg:"--setting,separate" help:"line added to the daemons' settings, NAME=VALUE; may be repeated"`
	Seed      uint64        `arg:"--seed" help:"first seed; 0 for one of the time"`
	Seeds     int           `arg:"--seeds" default:"1" help:"number of seeds"`
	Duration  time.Duration `arg:"--duration" default:"20s" help:"time in which faults begin"`
	Daemons   int           `arg:"--daemons" default:"4" help:"number of daemons"`
	Endpoints int           `arg:"--endpoints" default:"4" help:"number of endpoints of each of two pools"`
	Callers   int           `arg:"--callers" default:"24" help:"number of callers"`
	Ratio     float64       `arg:"--retry-ratio" help:"retries that the daemons are allowed per request, with --retry-extra; 0 for those of the users' deployments"`
	Extra     float64       `arg:"--retry-extra" help:"retries that they are allowed besides in each window"`
	Closing   time.Duration `arg:"--close-delay" help:"time for which the address of an endpoint that has ended accepts connections"`
	Kinds     []string      `arg:"--kind,separate" help:"only faults of this kind; may be repeated"`
	Dir       string        `arg:"--dir" help:"directory for logs; by default a temporary one"`
	Plan      bool          `arg:"--plan" help:"print the schedule and exit"`
}

// check returns an error if an option is out of range.
func (s *soakCmd) check() error {
	if s.Daemons < 1 || s.Endpoints < 2 || s.Callers < 1 || s.Seeds < 1 || s.Duration <= 0 {
		return errors.New("--daemons, --callers and --seeds must be at least 1, --endpoints at least 2, --duration above 0")
	}
	for _, kind := range s.Kinds {
		if s.Earlier == "" && (kind == planner.DaemonsUpgrade || kind == planner.DaemonsDowngrade) {
			return errors.Errorf("--kind %s needs --earlier", kind)
		}
	}
	for _, line := range s.Settings {
		if name, _, ok := strings.Cut(line, "="); !ok || name == "" || strings.Contains(line, "\n") {
			return errors.Errorf("--setting %q is not NAME=VALUE", line)
		}
	}
	return nil
}

// run carries out the soaks and fails if any broke a promise.
func (s *soakCmd) run(ctx context.Context, _ zerolog.Logger) error {
	if s.Seed == 0 {
		s.Seed = uint64(time.Now().UnixNano()) % 1_000_000
	}
	if s.Dir == "" {
		dir, err := os.MkdirTemp("", "soak")
		if err != nil {
			return err
		}
		s.Dir = dir
	}
	failed := 0
	for i := range s.Seeds {
		seed := s.Seed + uint64(i)
		if s.Plan {
			size := planner.Size{Daemons: s.Daemons, Endpoints: 2 * s.Endpoints, Duration: s.Duration, Kinds: s.Kinds, Replace: s.Earlier != ""}
			for _, step := range planner.Plan(seed, size) {
				fmt.Println(step)
			}
			continue
		}
		ok, err := s.soak(ctx, seed)
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		if !ok {
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds broke a promise; logs in %s", failed, s.Seeds, s.Dir)
	}
	return nil
}

// soak carries out one soak and reports whether all promises held.
func (s *soakCmd) soak(ctx context.Context, seed uint64) (bool, error) {
	dir := filepath.Join(s.Dir, strconv.FormatUint(seed, 10))
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return false, err
	}
	log, err := os.Create(filepath.Join(filepath.Clean(dir), "schedule.log"))
	if err != nil {
		return false, err
	}
	defer log.Close()
	self, err := os.Executable()
	if err != nil {
		return false, err
	}
	r := runner.Runner{
		Seed: seed, Daemons: s.Daemons, Endpoints: s.Endpoints, Callers: s.Callers, Duration: s.Duration, Kinds: s.Kinds,
		DaemonProgram: s.Daemon, EarlierProgram: s.Earlier, RetryShare: s.Ratio, RetryExtra: s.Extra, CloseDelay: s.Closing, Settings: s.Settings, StandinProgram: self, Dir: dir, Log: log,
	}
	report, err := r.Run(ctx)
	if err != nil {
		return false, err
	}
	for _, w := range []io.Writer{os.Stdout, log} {
		_, _ = fmt.Fprintln(w, report)
	}
	return len(report.Violations) == 0, nil
}
