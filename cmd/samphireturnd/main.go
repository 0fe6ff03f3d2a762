// Command samphireturnd is the entry daemon: it routes callers' requests to
// model engines and plain services.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/rs/zerolog"

	"samphireturn/internal/config/loader"
	"samphireturn/internal/core/assembler"
	"samphireturn/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// memoryLimitShare is the part of the daemon's memory that is set as the soft limit of the Go
// runtime; the rest is for stacks and unread bytes.
const memoryLimitShare = 0.6

// options are the command-line arguments.
type options struct {
	Settings string `arg:"positional" help:"settings file of this daemon, in TOML"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
	Platform bool   `arg:"--platform" help:"run on the users' platform, with the settings file that it writes"`
}

// Description heads the help text.
func (options) Description() string {
	return "samphireturnd routes callers' requests to versions of models and to plain services."
}

// Version is printed by --version.
func (options) Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "samphireturnd"
	}
	return "samphireturnd " + info.Main.Version
}

func main() {
	var opts options
	parser := arg.MustParse(&opts)
	if opts.Platform {
		runOnPlatform(opts.Check)
		return
	}
	if opts.Settings == "" {
		parser.Fail("a settings file is required")
	}
	settings, err := loader.Load(opts.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if opts.Check {
		return
	}
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	zerolog.TimeFieldFormat = time.RFC3339Nano
	log := zerolog.New(os.Stderr).Level(level).With().Timestamp().Str("daemon", settings.ID).Logger()
	if err := run(settings, log); err != nil {
		log.Error().Str("event", "failed").Err(err).Msg("daemon failed")
		os.Exit(exitFailed)
	}
}

// runOnPlatform runs the daemon, or checks its settings, on the users' platform.
func runOnPlatform(check bool) {
	if err := platform.Check(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if check {
		return
	}
	if err := platform.Run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

// run runs the daemon until SIGTERM or SIGINT and then shuts it down.
func run(settings *loader.Settings, log zerolog.Logger) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	publishProcess()
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(settings.Limits.MemoryBytes)))
	k, err := (&assembler.Assembler{Settings: settings, Log: log}).Kernel()
	if err != nil {
		return err
	}
	if err := k.Run(context.Background()); err != nil {
		return err
	}
	log.Info().Str("event", "started").Str("listen", settings.Listen).Str("peer", settings.Peer).Msg("daemon started")
	<-ctx.Done()
	log.Info().Str("event", "closing").Msg("daemon closes")
	err = k.Close()
	log.Info().Str("event", "closed").Msg("daemon closed")
	return err
}
