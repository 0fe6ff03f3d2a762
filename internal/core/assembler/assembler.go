// Package assembler puts the services of a daemon together.
package assembler

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/config/loader"
	"samphireturn/internal/config/reporter"
	"samphireturn/internal/config/watcher"
	"samphireturn/internal/core/kernel"
	"samphireturn/internal/fleet/announcer"
	"samphireturn/internal/fleet/detector"
	"samphireturn/internal/fleet/granter"
	"samphireturn/internal/fleet/guard"
	"samphireturn/internal/fleet/leaser"
	"samphireturn/internal/fleet/messenger"
	"samphireturn/internal/fleet/orderer"
	"samphireturn/internal/fleet/ranker"
	"samphireturn/internal/ledger/biller"
	"samphireturn/internal/ledger/claimer"
	"samphireturn/internal/ledger/minter"
	"samphireturn/internal/ledger/runner"
	"samphireturn/internal/platform/accessor"
	"samphireturn/internal/traffic/admitter"
	"samphireturn/internal/traffic/budgeter"
	"samphireturn/internal/traffic/cascader"
	"samphireturn/internal/traffic/dispatcher"
	"samphireturn/internal/traffic/limiter"
	"samphireturn/internal/traffic/picker"
	"samphireturn/internal/traffic/queuer"
	"samphireturn/internal/traffic/receiver"
	"samphireturn/internal/traffic/router"
)

// Names of the services.
const (
	Messenger = "messenger"
	Announcer = "announcer"
	Watcher   = "watcher"
	Detector  = "detector"
	Granter   = "granter"
	Guard     = "guard"
	Orderer   = "orderer"
	Claimer   = "claimer"
	Biller    = "biller"
	Reporter  = "reporter"
	Receiver  = "receiver"
)

const (
	manifestHomes = 2 // daemons of a data centre that watch the manifest
	manifestName  = "config/manifest"
	statusName    = "status/"
	holdsName     = "holds/"

	dialTimeout = 2 * time.Second
	idleTimeout = 30 * time.Second
	idlePerHost = 16
)

// Assembler makes the kernel of a daemon. Set the exported fields before
// Kernel.
type Assembler struct {
	Settings *loader.Settings
	Log      zerolog.Logger
	// Dial and Listen replace the network; nil means TCP.
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	Listen func(addr string) (net.Listener, error)
}

// parts is what the services of one daemon share.
type parts struct {
	*Assembler

	settings  *loader.Settings
	log       zerolog.Logger
	kernel    *kernel.Kernel
	platform  *accessor.Accessor
	peers     *messenger.Messenger
	leaves    *announcer.Announcer
	limiter   *limiter.Limiter
	transport *http.Transport
	instance  string
}

// Kernel returns a kernel with the services of a daemon, ready to run.
func (a *Assembler) Kernel() (*kernel.Kernel, error) {
	settings, log := a.Settings, a.Log
	if a.Dial == nil {
		a.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if a.Listen == nil {
		a.Listen = func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	}
	self := samphireturn.VM{
		ID:     settings.ID,
		Role:   samphireturn.RoleEntry,
		Centre: settings.Centre,
		Addr:   settings.Advertise.Listen,
		Peer:   settings.Advertise.Peer,
	}
	p := &parts{
		Assembler: a,
		settings:  settings,
		log:       log,
		kernel:    kernel.New(self, log),
		platform:  accessor.New(settings.Platform),
		peers:     messenger.New(self, settings.Fleet, service(log, Messenger)),
		limiter:   new(limiter.Limiter),
		transport: &http.Transport{DialContext: a.Dial, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout},
		instance:  samphireturn.Instance(settings.ID, uuid.NewString()),
	}
	p.leaves = &announcer.Announcer{Peers: p.peers, Control: p.kernel, Self: self}
	p.platform.WatchTime = watcher.WatchTime
	p.platform.Transport = p.transport
	p.platform.Centre = settings.Centre
	p.peers.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return a.Dial(ctx, "tcp", addr) }
	ln, err := a.Listen(settings.Peer)
	if err != nil {
		return nil, err
	}
	p.peers.Listener = ln
	services := []struct {
		name string
		make func() (kernel.Service, error)
	}{
		{Messenger, func() (kernel.Service, error) { return p.peers, nil }},
		{Announcer, p.announcer},
		{Detector, p.detector},
		{Watcher, p.watcher},
		{Granter, p.granter},
		{Guard, p.guard},
		{Orderer, p.orderer},
		{Claimer, p.claimer},
		{Biller, p.biller},
		{Reporter, p.reporter},
		{Receiver, p.receiver},
	}
	for _, v := range services {
		s, err := v.make()
		if err != nil {
			return nil, err
		}
		if err := p.kernel.Add(v.name, s); err != nil {
			return nil, err
		}
	}
	return p.kernel, nil
}

// service returns the log of a service.
func service(log zerolog.Logger, name string) zerolog.Logger {
	return log.With().Str("service", name).Logger()
}

// home reports whether this daemon is among the first n homes of name among the
// daemons of its data centre that it is linked with and that don't leave. While
// no members are known it is.
func (p *parts) home(name string, n int) bool {
	var members []samphireturn.VM
	linked := p.peers.Connected()
	for _, m := range ranker.Within(p.settings.Centre, p.kernel.Snapshot().Members) {
		if m.ID == p.settings.ID || slices.Contains(linked, m.ID) {
			members = append(members, m)
		}
	}
	if len(members) == 0 {
		return true
	}
	ranks := ranker.Rank(name, p.leaves.Staying(members))
	return slices.Contains(ranks[:min(n, len(ranks))], p.settings.ID)
}

func (p *parts) announcer() (kernel.Service, error) {
	p.leaves.Register()
	return p.leaves, nil
}

func (p *parts) detector() (kernel.Service, error) {
	d := detector.New(p.kernel.Self, service(p.log, Detector))
	d.Control = p.kernel
	d.Lister = p.platform
	d.Links = p.peers
	d.Staying = p.leaves.Staying
	d.Client = &http.Client{Transport: p.transport}
	d.Register()
	p.kernel.Derive = d.Derive
	return d, nil
}

func (p *parts) watcher() (kernel.Service, error) {
	w := watcher.New(p.kernel, p.platform, p.peers)
	w.Log = service(p.log, Watcher)
	w.Home = func() bool { return p.home(manifestName, manifestHomes) }
	return w, nil
}

func (p *parts) granter() (kernel.Service, error) {
	g := granter.New(p.kernel.Self, p.kernel, p.peers, p.limiter.Clock)
	g.Register()
	return g, nil
}

func (p *parts) guard() (kernel.Service, error) {
	g := guard.New(p.kernel, p.peers, p.platform, p.instance)
	g.Log = service(p.log, Guard)
	g.Home = func() bool { return p.home(holdsName+p.settings.Centre, 1) }
	return g, nil
}

func (p *parts) orderer() (kernel.Service, error) {
	return &orderer.Orderer{
		Control: p.kernel,
		Store:   p.platform,
		Weights: p.platform,
		Leaser:  &leaser.Leaser{Store: p.platform, Holder: p.instance},
		Client:  &http.Client{Transport: p.transport},
		Home:    func() bool { return p.home(orderer.Prefix+p.settings.Centre, 1) },
		Log:     service(p.log, Orderer),
	}, nil
}

func (p *parts) claimer() (kernel.Service, error) {
	c := &claimer.Claimer{
		Store: p.platform,
		Peers: p.peers,
		Self:  p.settings.ID,
		Log:   service(p.log, Claimer),
		Home: func(shard string) string {
			return ranker.Home(shard, p.leaves.Staying(p.kernel.Snapshot().Members))
		},
	}
	c.Register()
	return c, nil
}

func (p *parts) biller() (kernel.Service, error) {
	b := &biller.Biller{Store: p.platform, Peers: p.peers, Instance: p.instance, Log: service(p.log, Biller), Listed: p.listed}
	b.Register()
	return b, nil
}

// listed reports whether a daemon is in the list of VMs. While no members are
// known all are.
func (p *parts) listed(id string) bool {
	members := p.kernel.Snapshot().Members
	return len(members) <= 1 || slices.ContainsFunc(members, func(m samphireturn.VM) bool { return m.ID == id })
}

func (p *parts) reporter() (kernel.Service, error) {
	w, err := kernel.Find[*watcher.Watcher](p.kernel, Watcher)
	if err != nil {
		return nil, err
	}
	r := reporter.New(p.kernel, p.platform, p.peers, w)
	r.Log = service(p.log, Reporter)
	r.Home = func() bool { return p.home(statusName+p.settings.Centre, 1) }
	return r, nil
}

func (p *parts) receiver() (kernel.Service, error) {
	w, err := kernel.Find[*watcher.Watcher](p.kernel, Watcher)
	if err != nil {
		return nil, err
	}
	b, err := kernel.Find[*biller.Biller](p.kernel, Biller)
	if err != nil {
		return nil, err
	}
	c, err := kernel.Find[*claimer.Claimer](p.kernel, Claimer)
	if err != nil {
		return nil, err
	}
	g, err := kernel.Find[*granter.Granter](p.kernel, Granter)
	if err != nil {
		return nil, err
	}
	d, err := kernel.Find[*detector.Detector](p.kernel, Detector)
	if err != nil {
		return nil, err
	}
	judge, err := kernel.Find[*guard.Guard](p.kernel, Guard)
	if err != nil {
		return nil, err
	}
	pick := &picker.Picker{Now: p.limiter.Clock, Prefixes: new(picker.Prefixes)}
	limits := p.settings.Limits
	ln, err := p.Listen(p.settings.Listen)
	if err != nil {
		return nil, err
	}
	return &receiver.Receiver{
		Listener: ln,
		Body:     limits.Body,
		Header:   int(limits.Header),
		Idle:     time.Duration(limits.Idle) * time.Millisecond,
		Read:     time.Duration(limits.Read) * time.Millisecond,
		Drain:    time.Duration(limits.Drain) * time.Millisecond,
		Notice:   time.Duration(limits.Notice) * time.Millisecond,
		Log:      service(p.log, Receiver),
		Self:     p.kernel.Self,
		Control:  p.kernel,
		Router: &router.Router{
			Control:    p.kernel,
			Picker:     pick,
			Limiter:    p.limiter,
			Dispatcher: dispatcher.New(p.Dial),
			Retries:    new(budgeter.Budgeter),
			Observer:   router.Observers{g, d, judge},
			Queue:      new(queuer.Queuer),
		},
		Picker:   pick,
		Cascader: new(cascader.Cascader),
		Admitter: new(admitter.Admitter),
		Biller:   b,
		Claimer:  c,
		Minter:   &minter.Minter{Keys: p.keys, Instance: p.instance},
		Runner:   &runner.Runner{Instance: p.instance},
		Rater:    &guard.Rater{Rater: p.platform, Guard: judge},
		Ready:    w.Ready,
	}, nil
}

// keys returns the token keys in force.
func (p *parts) keys() []samphireturn.TokenKey {
	cfg := p.kernel.Snapshot().Config
	if cfg == nil {
		return nil
	}
	return cfg.Keys
}
