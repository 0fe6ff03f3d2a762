package assembler

import (
	"net/http"
	"slices"
	"time"

	"samphireturn"
	"samphireturn/internal/config/reporter"
	"samphireturn/internal/config/watcher"
	"samphireturn/internal/core/kernel"
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
	"samphireturn/internal/traffic/dispatcher"
	"samphireturn/internal/traffic/picker"
	"samphireturn/internal/traffic/queuer"
	"samphireturn/internal/traffic/receiver"
	"samphireturn/internal/traffic/router"
)

// home reports whether this daemon is among the first n homes of name among the
// daemons of its data centre that it is linked with and that don't leave. While
// no members are known it is; while they lack this daemon it is not.
func (p *parts) home(name string, n int) bool {
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
	ranks := ranker.Rank(name, p.leaves.ExcludeLeaving(members))
	return slices.Contains(ranks[:min(n, len(ranks))], p.settings.ID)
}

// listed reports whether a daemon, self included, is in the list of VMs. While
// no list is known all are.
func (p *parts) listed(id string) bool {
	members := p.kernel.Snapshot().Members
	if len(members) == 0 || len(members) == 1 && members[0].ID == p.settings.ID {
		return true
	}
	return slices.ContainsFunc(members, func(m samphireturn.VM) bool { return m.ID == id })
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
	d.ExcludeLeaving = p.leaves.ExcludeLeaving
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
			return ranker.Home(shard, p.leaves.ExcludeLeaving(p.kernel.Snapshot().Members))
		},
	}
	c.Register()
	return c, nil
}

func (p *parts) biller() (kernel.Service, error) {
	p.peers.InlineTopics = append(p.peers.InlineTopics, biller.TopicCopy)
	b := &biller.Biller{Store: p.platform, Peers: p.peers, Instance: p.instance, Log: service(p.log, Biller), Listed: p.listed}
	b.Register()
	return b, nil
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
		Listener:       ln,
		MaxBodyBytes:   limits.MaxBodyBytes,
		MaxHeaderBytes: int(limits.MaxHeaderBytes),
		IdleTimeout:    time.Duration(limits.IdleTimeoutMs) * time.Millisecond,
		ReadTimeout:    time.Duration(limits.ReadTimeoutMs) * time.Millisecond,
		DrainTimeout:   time.Duration(limits.DrainTimeoutMs) * time.Millisecond,
		ShutdownDelay:  time.Duration(limits.ShutdownDelayMs) * time.Millisecond,
		Log:            service(p.log, Receiver),
		Self:           p.kernel.Self,
		Control:        p.kernel,
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
		Ready:    func() bool { return w.Ready() && p.listed(p.settings.ID) },
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
