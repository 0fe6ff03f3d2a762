package main

import (
	"bytes"
	"os"
	"path/filepath"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/config/parser"
	"samphireturn/internal/config/validator"
	"samphireturn/internal/replay/player"
	"samphireturn/internal/replay/plotter"
	"samphireturn/internal/replay/reader"
)

// replaySeed seeds the random numbers of a replay.
const replaySeed = 1

type replayCmd struct {
	Config string `arg:"--config,required" help:"configuration file to try"`
	Trace  string `arg:"--trace,required" help:"recorded trace, plain or compressed by gzip"`
	Plot   string `arg:"--plot" help:"file to write a plot to, as SVG"`
}

// replay runs the routing decisions over a recorded trace and prints the outcomes.
// It fails if an outcome that the trace states is not met.
func (c *client) replay() error {
	cfg, err := readConfig(c.Replay.Config)
	if err != nil {
		return err
	}
	f, err := os.Open(c.Replay.Trace)
	if err != nil {
		return &Error{Op: "replay", Code: exitUsage, Err: err}
	}
	defer f.Close()
	trace, err := reader.Read(f)
	if err != nil {
		return &Error{Op: "replay " + filepath.Base(c.Replay.Trace), Code: exitUsage, Err: err}
	}
	report, err := player.Compare(cfg, trace, replaySeed)
	if err != nil {
		return &Error{Op: "replay", Code: exitUsage, Err: err}
	}
	if err := c.plot(report); err != nil {
		return err
	}
	if err := c.print(report, plotter.Table(report)); err != nil {
		return err
	}
	failed := 0
	for _, o := range report.Outcomes {
		if !o.Met {
			failed++
		}
	}
	if failed > 0 {
		return &Error{Op: "replay", Code: exitFailed, Err: errors.Errorf("%d stated outcomes broken", failed)}
	}
	return nil
}

// plot writes the plot of a report if --plot is given.
func (c *client) plot(report *player.Report) error {
	if c.Replay.Plot == "" {
		return nil
	}
	var b bytes.Buffer
	if err := plotter.Write(&b, report); err != nil {
		return err
	}
	return os.WriteFile(c.Replay.Plot, b.Bytes(), 0o644)
}

// readConfig reads and validates a configuration file.
func readConfig(path string) (*samphireturn.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "replay", Code: exitUsage, Err: err}
	}
	cfg, positions, err := parser.ParseFiles([]parser.File{{Name: filepath.Base(path), Data: data}})
	if err != nil {
		return nil, &Error{Op: "replay", Code: exitUsage, Err: err}
	}
	if problems := validator.Validate(cfg, positions); len(problems) > 0 {
		return nil, &Error{Op: "replay", Code: exitUsage, Err: parser.Problems(problems)}
	}
	return cfg, nil
}
