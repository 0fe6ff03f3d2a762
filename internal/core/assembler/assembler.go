// Package assembler puts the services of a daemon together.
package assembler

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/config/loader"
	"samphireturn/internal/config/watcher"
	"samphireturn/internal/core/kernel"
	"samphireturn/internal/fleet/announcer"
	"samphireturn/internal/fleet/messenger"
	"samphireturn/internal/store/accessor"
	"samphireturn/internal/traffic/limiter"
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
		peers:     messenger.New(self, settings.FleetKey, service(log, Messenger)),
		limiter:   new(limiter.Limiter),
		transport: &http.Transport{DialContext: a.Dial, MaxIdleConnsPerHost: idlePerHost, IdleConnTimeout: idleTimeout},
		instance:  samphireturn.InstanceName(settings.ID, uuid.NewString()),
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
	p.peers.Seeds = settings.Seeds
	p.peers.AcceptedKeys = settings.AcceptedFleetKeys
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
