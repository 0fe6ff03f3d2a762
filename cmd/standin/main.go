// Command standin runs a stand-in for the platform, a model engine or a plain
// service, to try out and measure samphireturn without the real ones.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"samphireturn/internal/standin/booker"
	"samphireturn/internal/standin/generator"
	"samphireturn/internal/standin/keeper"
)

const (
	exitFailed = 1

	headerTimeout = 5 * time.Second
	closeTimeout  = 2 * time.Second
	// grace is the time for which requests in flight may continue after a signal.
	grace = 500 * time.Millisecond
)

type platformCmd struct {
	Listen      string        `arg:"--listen,required" help:"host:port to listen on"`
	Lag         time.Duration `arg:"--lag" default:"1s" help:"age of the VM list"`
	RateDelay   time.Duration `arg:"--rate-delay" default:"20ms" help:"time that a rating takes"`
	WeightRate  float64       `arg:"--weight-rate" default:"1" help:"weights served a second"`
	WeightBurst int           `arg:"--weight-burst" default:"2" help:"weights served at once"`
	WatchTime   time.Duration `arg:"--watch-time" default:"30s" help:"longest watch"`
}

type engineCmd struct {
	Listen    string        `arg:"--listen,required" help:"host:port to listen on"`
	ID        string        `arg:"--id,required" help:"VM id"`
	Versions  []string      `arg:"--version,separate,required" help:"model@version loaded; may be repeated"`
	Budget    int64         `arg:"--budget" default:"20000" help:"concurrent work in tokens"`
	Queue     int64         `arg:"--queue" default:"10000" help:"waiting work in tokens"`
	Speed     float64       `arg:"--speed" default:"2000" help:"tokens a second of all answers together"`
	Prefill   float64       `arg:"--prefill" default:"20000" help:"prompt tokens a second"`
	Word      time.Duration `arg:"--word" default:"5ms" help:"shortest time between two tokens"`
	Warm      time.Duration `arg:"--warm" default:"2s" help:"warm-up time"`
	WarmShare float64       `arg:"--warm-share" default:"0.1" help:"part of the budget borne at the start"`
	Cache     int           `arg:"--cache" default:"1000" help:"prefixes held"`
	EventLag  time.Duration `arg:"--event-lag" default:"500ms" help:"age of cache events"`
	EventGap  uint64        `arg:"--event-gap" default:"10" help:"every n-th cache event is lost; 0 for none"`
	ReportLag time.Duration `arg:"--report-lag" default:"200ms" help:"age of the reported load"`
	Resume    time.Duration `arg:"--resume" default:"30s" help:"time in which an answer can be resumed"`
	Load      time.Duration `arg:"--load" default:"5s" help:"time that loading a version takes"`
	Fenced    bool          `arg:"--fenced" help:"refuse orders with an old fencing number"`
	Quality   float64       `arg:"--quality" default:"0.8" help:"mean rating of answers, 0 to 1"`
	Spread    float64       `arg:"--spread" default:"0.3" help:"rating of the easiest prompt above the hardest"`
}

type serviceCmd struct {
	Listen string        `arg:"--listen,required" help:"host:port to listen on"`
	ID     string        `arg:"--id,required" help:"VM id"`
	Budget int           `arg:"--budget" default:"64" help:"concurrent calls"`
	Slots  int           `arg:"--slots" default:"100" help:"slots to book"`
	Work   time.Duration `arg:"--work" default:"5ms" help:"time that a call takes"`
}

type options struct {
	Platform *platformCmd `arg:"subcommand:platform" help:"object API, VM list, rating service, weight store"`
	Engine   *engineCmd   `arg:"subcommand:engine" help:"model engine"`
	Service  *serviceCmd  `arg:"subcommand:service" help:"plain service"`
	Pool     *poolCmd     `arg:"subcommand:pool" help:"many engines in one process, listed at the platform"`
	Sample   *sampleCmd   `arg:"subcommand:sample" help:"measure what running daemons spend on control"`
	Server   *serverCmd   `arg:"subcommand:server" help:"server of the users' protocol, which prints what it receives"`
	Soak     *soakCmd     `arg:"subcommand:soak" help:"run daemons and servers as processes under faults and check the promises"`
	Load     *loadCmd     `arg:"subcommand:load" help:"send chat requests and measure the answers"`
}

// Description implements arg.Described.
func (options) Description() string {
	return "standin runs a stand-in for the platform, a model engine or a plain service."
}

func main() {
	var o options
	p := arg.MustParse(&o)
	if p.Subcommand() == nil {
		p.Fail("a subcommand is needed; see --help")
	}
	log := zerolog.New(os.Stderr).With().Timestamp().Str("service", p.SubcommandNames()[0]).Logger()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	task := o.task()
	if err := o.check(); err != nil {
		p.Fail(err.Error())
	}
	if task == nil {
		addr, h, cleanUp := o.handler()
		task = func(ctx context.Context, log zerolog.Logger) error { return serve(ctx, log, addr, h, cleanUp) }
	}
	if err := task(ctx, log); err != nil {
		log.Error().Err(err).Msg("failed")
		stop()
		os.Exit(exitFailed)
	}
}

// task returns the function of a subcommand that does not run a single server, or
// nil.
func (o *options) task() func(context.Context, zerolog.Logger) error {
	switch {
	case o.Pool != nil:
		return o.Pool.run
	case o.Server != nil:
		return o.Server.run
	case o.Soak != nil:
		return o.Soak.run
	case o.Sample != nil:
		return func(ctx context.Context, _ zerolog.Logger) error { return o.Sample.run(ctx) }
	case o.Load != nil:
		return func(ctx context.Context, _ zerolog.Logger) error { return o.Load.run(ctx, os.Stdout) }
	}
	return nil
}

// check returns an error if an option is out of range.
func (o *options) check() error {
	switch {
	case o.Load != nil:
		return o.Load.check()
	case o.Soak != nil:
		return o.Soak.check()
	case o.Pool != nil, o.Sample != nil, o.Server != nil:
		return nil
	}
	addr, _, _ := o.handler()
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return fmt.Errorf("--listen: %w", err)
	}
	switch {
	case o.Platform != nil && (o.Platform.WeightRate <= 0 || o.Platform.WeightBurst < 1 || o.Platform.WatchTime <= 0):
		return fmt.Errorf("--weight-rate, --weight-burst and --watch-time must be above 0")
	case o.Engine != nil && (o.Engine.Budget <= 0 || o.Engine.Speed <= 0 || o.Engine.Prefill <= 0 || o.Engine.Word <= 0):
		return fmt.Errorf("--budget, --speed, --prefill and --word must be above 0")
	case o.Engine != nil && (!inUnitRange(o.Engine.WarmShare) || !inUnitRange(o.Engine.Quality) || !inUnitRange(o.Engine.Spread)):
		return fmt.Errorf("--warm-share, --quality and --spread must be from 0 to 1")
	case o.Service != nil && (o.Service.Budget <= 0 || o.Service.Slots <= 0):
		return fmt.Errorf("--budget and --slots must be above 0")
	}
	return nil
}

func inUnitRange(f float64) bool { return f >= 0 && f <= 1 }

// handler returns the address, the handler and the clean-up function of the
// subcommand's server.
func (o *options) handler() (string, http.Handler, func()) {
	start := uint64(time.Now().UnixNano())
	switch {
	case o.Platform != nil:
		c := o.Platform
		return c.Listen, &keeper.Server{
			Objects: &keeper.Objects{WatchTime: c.WatchTime}, Lag: c.Lag, RateDelay: c.RateDelay,
			WeightLimit: rate.NewLimiter(rate.Limit(c.WeightRate), c.WeightBurst),
		}, func() {}
	case o.Engine != nil:
		c := o.Engine
		g := &generator.Generator{
			ID: c.ID, Incarnation: start, Versions: c.Versions, Budget: c.Budget, MaxQueued: c.Queue, Throughput: c.Speed,
			PrefillRate: c.Prefill, TokenGap: c.Word, WarmUp: c.Warm, WarmUpShare: c.WarmShare, CacheSize: c.Cache,
			EventLag: c.EventLag, ResumeTime: c.Resume, DropEveryNthEvent: c.EventGap, ReportLag: c.ReportLag, Fenced: c.Fenced, LoadTime: c.Load,
			Quality: c.Quality, QualitySpread: c.Spread,
		}
		return c.Listen, g, g.Close
	}
	c := o.Service
	return c.Listen, &booker.Booker{ID: c.ID, Incarnation: start, Budget: c.Budget, Slots: c.Slots, WorkTime: c.Work}, func() {}
}

// serve serves requests until ctx ends and then shuts down. The requests in flight
// are cancelled after grace; connections still busy after closeTimeout are closed.
func serve(ctx context.Context, log zerolog.Logger, addr string, h http.Handler, cleanUp func()) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	base, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		BaseContext:       func(net.Listener) context.Context { return base },
	}
	log.Info().Str("addr", ln.Addr().String()).Msg("listening")
	served := make(chan error, 1)
	go func() { served <- s.Serve(ln) }()
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	log.Info().Msg("stopping")
	time.AfterFunc(grace, cancel)
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), closeTimeout)
	defer cancelShutdown()
	if err := s.Shutdown(shutdownCtx); err != nil {
		_ = s.Close()
	}
	cleanUp()
	log.Info().Msg("stopped")
	return nil
}
