// Command samphirectl is the operators' client: it applies and shows
// configurations and shows the status and usage of the fleet.
//
// Exit codes: 0 done, 1 failed, 2 usage or invalid input, 3 conflict with another
// change, 4 platform not reachable, 5 not in force before the timeout.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/config/editor"
	"samphireturn/internal/config/parser"
	"samphireturn/internal/config/publisher"
)

// Exit codes.
const (
	exitOK         = 0
	exitFailed     = 1
	exitUsage      = 2
	exitConflict   = 3
	exitPlatform   = 4
	exitNotInForce = 5
)

type (
	applyCmd struct {
		Files []string `arg:"positional,required" help:"configuration files, all of them"`
		Dry   bool     `arg:"--dry" help:"check the files and change nothing"`
		Wait  bool     `arg:"--wait" help:"wait until every data centre has it in force"`
		Note  string   `arg:"--note" help:"a line on why, kept with the change"`
		Base  uint64   `arg:"--base" help:"the generation the change was made from, unless noted beside the files; refused if another is in force"`
	}
	namedCmd struct {
		Name string `arg:"positional,required"`
		Wait bool   `arg:"--wait" help:"wait until every data centre has it in force"`
		Note string `arg:"--note" help:"a line on why, kept with the change"`
	}
	presetCmd struct {
		Use *namedCmd `arg:"subcommand:use" help:"put one preset in force"`
	}
	showCmd struct {
		Save string `arg:"--save" help:"write the files into this directory, to be edited there"`
	}
	noArgsCmd struct{}

	options struct {
		Apply   *applyCmd  `arg:"subcommand:apply" help:"check files and put them in force"`
		Show    *showCmd   `arg:"subcommand:show" help:"print the configuration in force"`
		Preset  *presetCmd `arg:"subcommand:preset" help:"work with presets"`
		Out     *namedCmd  `arg:"subcommand:out" help:"take a data centre out of service"`
		In      *namedCmd  `arg:"subcommand:in" help:"bring a data centre back into service"`
		Status  *noArgsCmd `arg:"subcommand:status" help:"show which daemon runs which generation"`
		Usage   *noArgsCmd `arg:"subcommand:usage" help:"show what teams used"`
		Release *namedCmd  `arg:"subcommand:release" help:"let a held version, model@version, take new sessions again"`
		Replay  *replayCmd `arg:"subcommand:replay" help:"try a configuration on a recorded trace"`
		Version *noArgsCmd `arg:"subcommand:version" help:"print the version of this program"`

		Platform string        `arg:"--platform,env:SAMPHIRE_PLATFORM" help:"base URL of the platform"`
		Author   string        `arg:"--author,env:USER" help:"name kept with a change"`
		JSON     bool          `arg:"--json" help:"print JSON"`
		Timeout  time.Duration `arg:"--timeout" default:"30s" help:"longest time for the whole command"`
	}

	// client runs one command.
	client struct {
		options
		out, err io.Writer
		store    samphireturn.Store
		now      func() time.Time
	}
)

// Description heads the help text.
func (options) Description() string { return "samphirectl changes and shows what a fleet runs." }

// Epilogue ends the help text.
func (options) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 usage or invalid input, 3 another change came between, 4 platform not reachable, 5 not in force in time."
}

func main() { os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr)) }

// run parses args, runs the command and returns the exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	c := &client{out: out, err: errOut, now: time.Now}
	c.Author = "unknown"
	p, err := arg.NewParser(arg.Config{Program: "samphirectl", Out: errOut}, &c.options)
	if err != nil {
		fmt.Fprintln(errOut, "samphirectl:", err)
		return exitFailed
	}
	err = p.Parse(args)
	if errors.Is(err, arg.ErrHelp) {
		_ = p.WriteHelpForSubcommand(out, p.SubcommandNames()...)
		return exitOK
	}
	if err == nil && (p.Subcommand() == nil || c.Preset != nil && c.Preset.Use == nil) {
		err = errors.New("a command is needed")
	}
	if err != nil {
		_ = p.WriteUsageForSubcommand(errOut, p.SubcommandNames()...)
		fmt.Fprintln(errOut, "samphirectl:", err)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	return c.reportError(c.command(ctx))
}

// command runs the command that was given on the command line.
func (c *client) command(ctx context.Context) error {
	switch {
	case c.Version != nil:
		return c.version()
	case c.Replay != nil:
		return c.replay()
	case c.Apply != nil && c.Apply.Dry:
		return c.apply(ctx)
	}
	if c.Platform == "" {
		return usageError("no platform: give --platform or set SAMPHIRE_PLATFORM")
	}
	var err error
	if c.store, err = openStore(c.Platform); err != nil {
		return err
	}
	switch {
	case c.Apply != nil:
		return c.apply(ctx)
	case c.Show != nil:
		return c.show(ctx)
	case c.Status != nil:
		return c.status(ctx)
	case c.Usage != nil:
		return c.usage(ctx)
	case c.Release != nil:
		return c.release(ctx)
	case c.Preset != nil:
		return c.edit(ctx, c.Preset.Use, "use preset "+c.Preset.Use.Name, func(f files) (files, error) { return editor.ActivatePreset(f, c.Preset.Use.Name) })
	case c.Out != nil:
		return c.edit(ctx, c.Out, "take out "+c.Out.Name, func(f files) (files, error) { return editor.SetOutOfService(f, c.Out.Name, true) })
	default:
		return c.edit(ctx, c.In, "take in "+c.In.Name, func(f files) (files, error) { return editor.SetOutOfService(f, c.In.Name, false) })
	}
}

// version prints the version recorded in the build information.
func (c *client) version() error {
	v := "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		v = info.Main.Version
	}
	return c.print(map[string]string{"version": v}, "samphirectl "+v)
}

// reportError prints err and returns its exit code.
func (c *client) reportError(err error) int {
	if err == nil {
		return exitOK
	}
	code := exitCode(err)
	var inForce *publisher.Manifest
	var pubErr *publisher.Error
	if errors.As(err, &pubErr) {
		inForce = pubErr.InForce
	}
	var problems parser.Problems
	errors.As(err, &problems)
	if c.JSON {
		_ = c.print(failureOutput{Code: code, Error: err.Error(), Problems: problems, InForce: inForce}, "")
		return code
	}
	if len(problems) > 0 {
		fmt.Fprintln(c.err, problems.Error())
		return code
	}
	fmt.Fprintln(c.err, "samphirectl:", err)
	if inForce != nil {
		fmt.Fprintln(c.err, "This change came between; nothing of it or of your files is lost:")
		fmt.Fprint(c.err, describe(*inForce))
	}
	return code
}

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var cmdErr *Error
	if errors.As(err, &cmdErr) {
		return cmdErr.Code
	}
	var editErr *editor.Error
	if errors.As(err, &editErr) {
		return exitUsage
	}
	switch publisher.KindOf(err) {
	case samphireturn.KindInvalid:
		return exitUsage
	case samphireturn.KindConflict:
		return exitConflict
	case samphireturn.KindUnavailable, samphireturn.KindTimeout, samphireturn.KindLimited:
		return exitPlatform
	}
	return exitFailed
}
