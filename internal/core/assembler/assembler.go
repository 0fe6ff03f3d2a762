// Package assembler creates the services of a daemon and connects them with each other.
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
	manifestWatchers = 2 // daemons per data centre that watch the manifest
	manifestName     = "config/manifest"
	statusPrefix     = "status/"
	holdsPrefix      = "holds/"

	dialTimeout         = 2 * time.Second
	idleTimeout         = 30 * time.Second
	maxIdleConnsPerHost = 16
	maxHeaderBytes      = 64 << 10
)

// Assembler creates the kernel of a daemon. Set the exported fields before calling
// Kernel.
type Assembler struct {
	Settings *loader.Settings
	Log      zerolog.Logger
	// Dial and Listen open connections and listeners; nil means TCP.
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	Listen func(addr string) (net.Listener, error)
}

// components holds what the services of one daemon share.
type components struct {
	*Assembler

	settings       *loader.Settings
	log            zerolog.Logger
	kernel         *kernel.Kernel
	platform       *accessor.Accessor
	peers          *messenger.Messenger
	leaveAnnouncer *announcer.Announcer
	limiter        *limiter.Limiter
	transport      *http.Transport
	instance       string
}

// Kernel opens the daemon's listeners and returns a kernel with all services added, ready
// to run.
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
	p := &components{
		Assembler: a,
		settings:  settings,
		log:       log,
		kernel:    kernel.New(self, log),
		platform:  accessor.New(settings.Platform),
		peers:     messenger.New(self, settings.FleetKey, serviceLog(log, Messenger)),
		limiter:   new(limiter.Limiter),
		transport: &http.Transport{DialContext: a.Dial, MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: maxHeaderBytes},
		instance:  samphireturn.InstanceName(settings.ID, uuid.NewString()),
	}
	p.leaveAnnouncer = &announcer.Announcer{Peers: p.peers, Control: p.kernel, Self: self}
	p.platform.WatchTime = watcher.WatchHoldTime
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
		name   string
		create func() (kernel.Service, error)
	}{
		{Messenger, func() (kernel.Service, error) { return p.peers, nil }},
		{Announcer, p.newAnnouncer},
		{Detector, p.newDetector},
		{Watcher, p.newWatcher},
		{Granter, p.newGranter},
		{Guard, p.newGuard},
		{Orderer, p.newOrderer},
		{Claimer, p.newClaimer},
		{Biller, p.newBiller},
		{Reporter, p.newReporter},
		{Receiver, p.newReceiver},
	}
	for _, v := range services {
		s, err := v.create()
		if err != nil {
			return nil, err
		}
		if err := p.kernel.Add(v.name, s); err != nil {
			return nil, err
		}
	}
	return p.kernel, nil
}

// serviceLog returns the logger of the named service.
func serviceLog(log zerolog.Logger, name string) zerolog.Logger {
	return log.With().Str("service", name).Logger()
}
