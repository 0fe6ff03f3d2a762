package assembler

import (
	"net/http"
	"slices"
	"time"

	"samphireturn"
	"samphireturn/internal/config/reporter"
	"samphireturn/internal/config/watcher"
	"samphireturn/internal/core/accountant"
	"samphireturn/internal/core/kernel"
	"samphireturn/internal/core/rationer"
	"samphireturn/internal/fleet/detector"
	"samphireturn/internal/fleet/granter"
	"samphireturn/internal/fleet/guard"
	"samphireturn/internal/fleet/leaser"
	"samphireturn/internal/fleet/orderer"
	"samphireturn/internal/fleet/ranker"
	"samphireturn/internal/ledger/biller"
	"samphireturn/internal/ledger/claimer"
	"samphireturn/internal/ledger/minter"
	"samphireturn/internal/ledger/runner"
	"samphireturn/internal/traffic/admitter"
	"samphireturn/internal/traffic/budgeter"
	"samphireturn/internal/traffic/cascader"
	"samphireturn/internal/traffic/collector"
	"samphireturn/internal/traffic/dispatcher"
	"samphireturn/internal/traffic/gatekeeper"
	"samphireturn/internal/traffic/picker"
	"samphireturn/internal/traffic/queuer"
	"samphireturn/internal/traffic/receiver"
	"samphireturn/internal/traffic/router"
)

// isHome reports whether this daemon is one of the n homes of name: the first n in the
// ranking of the daemons of its data centre. Daemons that are leaving, or to which it has
// no link, don't count. It returns true while no members are known, and false if the
// members don't include this daemon.
func (p *components) isHome(name string, n int) bool {
	all := p.kernel.Snapshot().Members
	if len(all) == 0 {
		return true
	}
	var members []samphireturn.VM
	linked := p.peers.Connected()
	for _, m := range ranker.InCentre(p.settings.Centre, all) {
		if m.ID == p.settings.ID || slices.Contains(linked, m.ID) {
			members = append(members, m)
		}
	}
	ranks := ranker.Rank(name, p.leaveAnnouncer.ExcludeLeaving(members))
	return slices.Contains(ranks[:min(n, len(ranks))], p.settings.ID)
}

// isListed reports whether a daemon, which may be this one, is in the list of VMs. It
// returns true while no list is known: no member at all, or only this daemon.
func (p *components) isListed(id string) bool {
	members := p.kernel.Snapshot().Members
	if len(members) == 0 || len(members) == 1 && members[0].ID == p.settings.ID {
		return true
	}
	return slices.ContainsFunc(members, func(m samphireturn.VM) bool { return m.ID == id })
}

func (p *components) newAnnouncer() (kernel.Service, error) {
	p.leaveAnnouncer.Register()
	return p.leaveAnnouncer, nil
}

func (p *components) newDetector() (kernel.Service, error) {
	d := detector.New(p.kernel.Self, serviceLog(p.log, Detector))
	d.Control = p.kernel
	d.Lister = p.platform
	d.Links = p.peers
	d.ExcludeLeaving = p.leaveAnnouncer.ExcludeLeaving
	d.Client = &http.Client{Transport: p.transport}
	d.Register()
	p.kernel.Derive = d.Derive
	return d, nil
}

func (p *components) newWatcher() (kernel.Service, error) {
	w := watcher.New(p.kernel, p.platform, p.peers)
	w.Log = serviceLog(p.log, Watcher)
	w.IsHome = func() bool { return p.isHome(manifestName, manifestWatchers) }
	return w, nil
}

func (p *components) newGranter() (kernel.Service, error) {
	g := granter.New(p.kernel.Self, p.kernel, p.peers, p.limiter.Clock)
	g.Register()
	return g, nil
}

func (p *components) newGuard() (kernel.Service, error) {
	g := guard.New(p.kernel, p.peers, p.platform, p.instance)
	g.Log = serviceLog(p.log, Guard)
	g.ReadsStore = func() bool { return p.isHome(holdsPrefix+p.settings.Centre, 1) }
	return g, nil
}

func (p *components) newOrderer() (kernel.Service, error) {
	return &orderer.Orderer{
		Control: p.kernel,
		Store:   p.platform,
		Weights: p.platform,
		Leaser:  &leaser.Leaser{Store: p.platform, Holder: p.instance},
		Client:  &http.Client{Transport: p.transport},
		IsHome:  func() bool { return p.isHome(orderer.Prefix+p.settings.Centre, 1) },
		Log:     serviceLog(p.log, Orderer),
	}, nil
}

func (p *components) newClaimer() (kernel.Service, error) {
	c := &claimer.Claimer{
		Store:  p.platform,
		Peers:  p.peers,
		SelfID: p.settings.ID,
		Log:    serviceLog(p.log, Claimer),
		HomeOf: func(shard string) string {
			return ranker.Home(shard, p.leaveAnnouncer.ExcludeLeaving(p.kernel.Snapshot().Members))
		},
	}
	c.Register()
	return c, nil
}

func (p *components) newBiller() (kernel.Service, error) {
	p.peers.InlineTopics = append(p.peers.InlineTopics, biller.TopicCopy)
	b := &biller.Biller{Store: p.platform, Peers: p.peers, Instance: p.instance, Log: serviceLog(p.log, Biller), IsListed: p.isListed}
	b.Register()
	return b, nil
}

func (p *components) newReporter() (kernel.Service, error) {
	w, err := kernel.Find[*watcher.Watcher](p.kernel, Watcher)
	if err != nil {
		return nil, err
	}
	r := reporter.New(p.kernel, p.platform, p.peers, w)
	r.Log = serviceLog(p.log, Reporter)
	r.IsHome = func() bool { return p.isHome(statusPrefix+p.settings.Centre, 1) }
	return r, nil
}

func (p *components) newReceiver() (kernel.Service, error) {
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
	versionGuard, err := kernel.Find[*guard.Guard](p.kernel, Guard)
	if err != nil {
		return nil, err
	}
	endpointPicker := &picker.Picker{Now: p.limiter.Clock, Prefixes: new(picker.Prefixes)}
	limits := p.settings.Limits
	ln, err := p.Listen(p.settings.Listen)
	if err != nil {
		return nil, err
	}
	clock := func() time.Duration { return time.Duration(p.limiter.Clock()) }
	endpoints := dispatcher.New(p.Dial)
	conns := gatekeeper.CapacityOf(limits.MemoryBytes, 0)
	memory := &accountant.Accountant{Capacity: accountant.CapacityOf(limits.MemoryBytes, conns)}
	endpoints.Answers = &rationer.Rationer{Capacity: rationer.CapacityOf(limits.MemoryBytes), Account: memory}
	bodies := &collector.Collector{Capacity: collector.CapacityOf(limits.MemoryBytes), Account: memory, Clock: clock}
	return &receiver.Receiver{
		Listener:       ln,
		Memory:         memory,
		Bodies:         bodies,
		Gate:           &gatekeeper.Gatekeeper{Capacity: conns, Account: memory, DropStalled: bodies.DropStalled, Clock: clock},
		MaxBodyBytes:   limits.MaxBodyBytes,
		MaxHeaderBytes: int(limits.MaxHeaderBytes),
		IdleTimeout:    time.Duration(limits.IdleTimeoutMs) * time.Millisecond,
		ReadTimeout:    time.Duration(limits.ReadTimeoutMs) * time.Millisecond,
		DrainTimeout:   time.Duration(limits.DrainTimeoutMs) * time.Millisecond,
		ShutdownDelay:  time.Duration(limits.ShutdownDelayMs) * time.Millisecond,
		Log:            serviceLog(p.log, Receiver),
		Self:           p.kernel.Self,
		Control:        p.kernel,
		Router: &router.Router{
			Control:    p.kernel,
			Picker:     endpointPicker,
			Limiter:    p.limiter,
			Dispatcher: endpoints,
			Retries:    new(budgeter.Budgeter),
			Observer:   router.Observers{g, d, versionGuard},
			Queue:      new(queuer.Queuer),
		},
		Picker:   endpointPicker,
		Cascader: new(cascader.Cascader),
		Admitter: new(admitter.Admitter),
		Biller:   b,
		Claimer:  c,
		Minter:   &minter.Minter{Keys: p.keys, Instance: p.instance},
		Runner:   &runner.Runner{Instance: p.instance},
		Rater:    &guard.Rater{Rater: p.platform, Guard: versionGuard},
		Ready:    func() bool { return w.Ready() && p.isListed(p.settings.ID) },
	}, nil
}

// keys returns the token keys of the configuration in force.
func (p *components) keys() []samphireturn.TokenKey {
	cfg := p.kernel.Snapshot().Config
	if cfg == nil {
		return nil
	}
	return cfg.Keys
}
