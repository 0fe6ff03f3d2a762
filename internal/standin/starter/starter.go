// Package starter runs daemons and stand-ins in one process on an in-memory
// network, for end-to-end tests.
package starter

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/config/loader"
	"samphireturn/internal/config/publisher"
	"samphireturn/internal/core/assembler"
	"samphireturn/internal/core/kernel"
	"samphireturn/internal/standin/booker"
	"samphireturn/internal/standin/connector"
	"samphireturn/internal/standin/generator"
	"samphireturn/internal/standin/keeper"
)

const (
	// PlatformAddr is the address of the platform's stand-in.
	PlatformAddr = "platform:80"
	// FleetKey is the key that the daemons share by default.
	FleetKey = "a fleet key for tests"

	drainTimeout = 10 * time.Second
)

// Starter is an installation of a platform, endpoints and daemons. Close it at the
// end of a test.
type Starter struct {
	Network connector.Network
	Objects *keeper.Objects
	Server  *keeper.Server
	// Log receives the daemons' log lines; nil discards them.
	Log io.Writer
	// ShutdownDelay is the daemons' setting limits.notice: the time for which a
	// shutdown still takes new requests.
	ShutdownDelay time.Duration
	// MemoryBytes and MaxBodyBytes are the daemons' settings limits.memory and limits.body; zero means no
	// bound of the first and the default of the second.
	MemoryBytes, MaxBodyBytes int64
	// FleetKey is the daemons' setting fleet, by default the constant FleetKey;
	// AcceptedFleetKeys is their setting fleets.
	FleetKey          string
	AcceptedFleetKeys []string
	// Seeds is the daemons' setting seeds.
	Seeds []string

	servers []*http.Server
	daemons []*Daemon
}

// Daemon is a running daemon.
type Daemon struct {
	VM     samphireturn.VM
	Kernel *kernel.Kernel

	starter *Starter
	closed  bool
}

// New returns an installation with a running platform and nothing else.
func New() (*Starter, error) {
	s := &Starter{Objects: new(keeper.Objects)}
	s.Server = &keeper.Server{Objects: s.Objects}
	return s, s.serve(PlatformAddr, s.Server)
}

// Engine starts a model engine and lists it at the platform.
func (s *Starter) Engine(centre string, g *generator.Generator) error {
	vm := samphireturn.VM{ID: g.ID, Role: samphireturn.RoleEngine, Centre: centre, Addr: g.ID + ":80"}
	if err := s.serve(vm.Addr, g); err != nil {
		return err
	}
	return s.List(vm)
}

// Service starts a VM of a plain service and lists it at the platform.
func (s *Starter) Service(centre, name string, b *booker.Booker) error {
	vm := samphireturn.VM{ID: b.ID, Role: samphireturn.RoleService, Centre: centre, Addr: b.ID + ":80", Service: name}
	if err := s.serve(vm.Addr, b); err != nil {
		return err
	}
	return s.List(vm)
}

// List puts a VM into the platform's list.
func (s *Starter) List(vm samphireturn.VM) error {
	body, err := json.Marshal(vm)
	if err != nil {
		return err
	}
	return s.updateVMList(http.MethodPut, vm.ID, body)
}

// Unlist removes a VM from the platform's list.
func (s *Starter) Unlist(id string) error { return s.updateVMList(http.MethodDelete, id, nil) }

// Apply publishes a configuration in place of the one in force.
func (s *Starter) Apply(ctx context.Context, config string) (publisher.Manifest, error) {
	p := publisher.Publisher{Store: s.Objects, Author: "test"}
	return p.Apply(ctx, map[string][]byte{"config.toml": []byte(config)}, 0)
}

// Daemon lists and starts a daemon.
func (s *Starter) Daemon(ctx context.Context, id, centre string) (*Daemon, error) {
	vm := samphireturn.VM{ID: id, Role: samphireturn.RoleEntry, Centre: centre, Addr: id + ":80", Peer: id + ":90"}
	if err := s.List(vm); err != nil {
		return nil, err
	}
	return s.Start(ctx, vm)
}

// Start starts a daemon without listing it.
func (s *Starter) Start(ctx context.Context, vm samphireturn.VM) (*Daemon, error) {
	settings := &loader.Settings{
		ID:                vm.ID,
		Centre:            vm.Centre,
		Listen:            vm.Addr,
		Peer:              vm.Peer,
		Advertise:         loader.Advertise{Listen: vm.Addr, Peer: vm.Peer},
		Platform:          "http://" + PlatformAddr,
		FleetKey:          cmp.Or(s.FleetKey, FleetKey),
		AcceptedFleetKeys: s.AcceptedFleetKeys,
		Seeds:             s.Seeds,
		Limits:            loader.Limits{DrainTimeoutMs: drainTimeout.Milliseconds(), ShutdownDelayMs: s.ShutdownDelay.Milliseconds(), MemoryBytes: s.MemoryBytes, MaxBodyBytes: s.MaxBodyBytes},
	}
	log := zerolog.Nop()
	if s.Log != nil {
		log = zerolog.New(s.Log).With().Str("daemon", vm.ID).Logger()
	}
	a := &assembler.Assembler{Settings: settings, Log: log, Dial: s.Network.Dial(vm.ID), Listen: s.Network.Listen}
	k, err := a.Kernel()
	if err != nil {
		return nil, err
	}
	if err := k.Run(ctx); err != nil {
		return nil, err
	}
	d := &Daemon{VM: vm, Kernel: k, starter: s}
	s.daemons = append(s.daemons, d)
	return d, nil
}

// Close shuts the daemon down gracefully. Further calls return nil.
func (d *Daemon) Close() error {
	if d.closed {
		return nil
	}
	d.closed = true
	return d.Kernel.Close()
}

// Involves reports whether a connection begins or ends at the daemon. Pass it as
// the match function to the methods of connector.Network.
func (d *Daemon) Involves(from, to string) bool {
	return from == d.VM.ID || to == d.VM.Addr || to == d.VM.Peer
}

// Do sends a request to the daemon as a caller does and returns the status, header
// and body of the answer. The header argument alternates names and values.
func (d *Daemon) Do(ctx context.Context, method, path, body string, header ...string) (int, http.Header, string, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+d.VM.Addr+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, "", err
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	res, err := d.starter.Transport("caller").RoundTrip(req)
	if err != nil {
		return 0, nil, "", err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	return res.StatusCode, res.Header, string(answer), err
}

// Transport returns an HTTP transport that dials from the host named from and
// keeps no idle connections.
func (s *Starter) Transport(from string) *http.Transport {
	return &http.Transport{DialContext: s.Network.Dial(from), DisableKeepAlives: true}
}

// Close closes all daemons and stops the stand-ins. It returns the first error.
func (s *Starter) Close() error {
	var first error
	for _, d := range s.daemons {
		if err := d.Close(); err != nil && first == nil {
			first = err
		}
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	s.Network.CloseOpen(func(string, string) bool { return true })
	return first
}

// serve serves h at an address of the network.
func (s *Starter) serve(addr string, h http.Handler) error {
	ln, err := s.Network.Listen(addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.servers = append(s.servers, server)
	go func(ln net.Listener) { _ = server.Serve(ln) }(ln)
	return nil
}

// updateVMList sends a change of the VM list to the platform.
func (s *Starter) updateVMList(method, id string, body []byte) error {
	req, err := http.NewRequest(method, "http://"+PlatformAddr+"/v1/vms/"+url.PathEscape(id), bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := s.Transport("operator").RoundTrip(req)
	if err != nil {
		return err
	}
	_ = res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("%s VM %s: status %d", method, id, res.StatusCode)
	}
	return nil
}
