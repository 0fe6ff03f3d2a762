// Package loader reads the settings of a daemon from a TOML file.
package loader

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/rs/zerolog"

	"samphireturn/internal/config/parser"
)

// Kinds of errors.
const (
	// KindRead means that the file could not be read.
	KindRead Kind = iota
	// KindInvalid means that the settings are invalid; the cause is a
	// parser.Problems.
	KindInvalid
)

// Defaults and bounds of settings.
const (
	// MinFleetKeyBytes is the least length of a fleet key in bytes.
	MinFleetKeyBytes = 16

	defaultLogLevel        = "info"
	defaultMaxHeaderBytes  = 64 << 10
	defaultMaxBodyBytes    = 4 << 20
	defaultMemoryBytes     = 512 << 20
	defaultIdleTimeoutMs   = 120_000
	defaultReadTimeoutMs   = 10_000
	defaultDrainTimeoutMs  = 600_000
	defaultShutdownDelayMs = 10_000 // two checks of a load balancer, 5 s apart
)

type (
	// Kind classifies an Error.
	Kind int

	// Error is an error of the loader.
	Error struct {
		Op   string
		Kind Kind
		Err  error
	}

	// Settings are the settings of one daemon.
	Settings struct {
		// ID names the daemon. It is unique in the fleet.
		ID string `toml:"id"`
		// Centre is the data centre that the daemon runs in.
		Centre string `toml:"centre"`
		// Listen is the host:port for callers, and Peer the host:port for other
		// daemons.
		Listen string `toml:"listen"`
		Peer   string `toml:"peer"`
		// Advertise holds the addresses at which others reach the daemon.
		Advertise Advertise `toml:"advertise"`
		// Platform is the base URL of the platform's API.
		Platform string `toml:"platform"`
		// FleetKey is the key that all daemons share.
		FleetKey string `toml:"fleet"`
		// AcceptedFleetKeys are further keys that other daemons may use while the
		// fleet key is being changed.
		AcceptedFleetKeys []string `toml:"fleets"`
		// Seeds are peer addresses of other daemons, tried while no VM list contains
		// this daemon.
		Seeds []string `toml:"seeds"`
		// LogLevel is the lowest level that is logged.
		LogLevel string `toml:"level"`
		Limits   Limits `toml:"limits"`
	}

	// Advertise holds the addresses that others use. An empty one means the address
	// that the daemon listens on.
	Advertise struct {
		Listen string `toml:"listen"`
		Peer   string `toml:"peer"`
	}

	// Limits bounds the size of requests and the time that they may take.
	Limits struct {
		// MemoryBytes is the memory in bytes that the daemon may use: it bounds the requests,
		// bodies, answers and connections that it holds.
		MemoryBytes int64 `toml:"memory"`
		// MaxHeaderBytes and MaxBodyBytes bound a request's header and body.
		MaxHeaderBytes int64 `toml:"header"`
		MaxBodyBytes   int64 `toml:"body"`
		// IdleTimeoutMs bounds the time that a connection may stay idle, ReadTimeoutMs
		// the time to read a header, and DrainTimeoutMs the time that a shutdown waits
		// for requests in flight. All are in milliseconds.
		IdleTimeoutMs  int64 `toml:"idle"`
		ReadTimeoutMs  int64 `toml:"read"`
		DrainTimeoutMs int64 `toml:"drain"`
		// ShutdownDelayMs is the time in milliseconds for which a shutdown still
		// accepts new requests while /readyz answers 503.
		ShutdownDelayMs int64 `toml:"notice"`
	}

	// checker collects the problems of one file.
	checker struct {
		file      string
		positions parser.Positions
		problems  parser.Problems
	}
)

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Load reads the settings file at path and sets defaults. An error of KindInvalid
// holds every problem with its key and line.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "load settings", Kind: KindRead, Err: err}
	}
	return Read(path, data)
}

// Read is like Load but takes the content of the file; file is its name in problems.
func Read(file string, data []byte) (*Settings, error) {
	s := &Settings{
		LogLevel: defaultLogLevel,
		Limits:   Limits{MemoryBytes: defaultMemoryBytes, MaxHeaderBytes: defaultMaxHeaderBytes, MaxBodyBytes: defaultMaxBodyBytes, IdleTimeoutMs: defaultIdleTimeoutMs, ReadTimeoutMs: defaultReadTimeoutMs, DrainTimeoutMs: defaultDrainTimeoutMs, ShutdownDelayMs: defaultShutdownDelayMs},
	}
	c := checker{file: file}
	var err error
	c.positions, err = parser.Decode(parser.File{Name: file, Data: data}, s)
	if err != nil && !errors.As(err, &c.problems) {
		c.problems = parser.Problems{{File: file, Message: err.Error()}}
	}
	var pe *parser.Error
	if errors.As(err, &pe) && pe.Kind == parser.KindSyntax {
		return nil, &Error{Op: "load settings", Kind: KindInvalid, Err: c.problems}
	}
	if err != nil {
		s = decodeLenient(data, s)
	}
	c.settings(s)
	if len(c.problems) > 0 {
		slices.SortStableFunc(c.problems, func(a, b parser.Problem) int { return a.Line - b.Line })
		return nil, &Error{Op: "load settings", Kind: KindInvalid, Err: c.problems}
	}
	if s.Advertise.Listen == "" {
		s.Advertise.Listen = s.Listen
	}
	if s.Advertise.Peer == "" {
		s.Advertise.Peer = s.Peer
	}
	return s, nil
}

// settings checks the values of s.
func (c *checker) settings(s *Settings) {
	c.name("id", s.ID)
	c.name("centre", s.Centre)
	c.address("listen", s.Listen, true)
	c.address("peer", s.Peer, true)
	c.address("advertise.listen", s.Advertise.Listen, false)
	c.address("advertise.peer", s.Advertise.Peer, false)
	c.platform(s.Platform)
	c.fleetKey("fleet", s.FleetKey)
	for i, key := range s.AcceptedFleetKeys {
		c.fleetKey(fmt.Sprintf("fleets[%d]", i), key)
	}
	for i, addr := range s.Seeds {
		c.address(fmt.Sprintf("seeds[%d]", i), addr, false)
		if addr == "" || strings.HasPrefix(addr, ":") {
			c.add(fmt.Sprintf("seeds[%d]", i), fmt.Sprintf("%q names no VM", addr))
		}
	}
	if _, err := zerolog.ParseLevel(s.LogLevel); err != nil || s.LogLevel == "" {
		c.add("level", fmt.Sprintf("%q is no log level; use debug, info, warn or error", s.LogLevel))
	}
	c.positive("limits.memory", s.Limits.MemoryBytes)
	c.positive("limits.header", s.Limits.MaxHeaderBytes)
	c.positive("limits.body", s.Limits.MaxBodyBytes)
	c.positive("limits.idle", s.Limits.IdleTimeoutMs)
	c.positive("limits.read", s.Limits.ReadTimeoutMs)
	c.positive("limits.drain", s.Limits.DrainTimeoutMs)
	if s.Limits.ShutdownDelayMs < 0 {
		c.add("limits.notice", fmt.Sprintf("must not be negative, not %d", s.Limits.ShutdownDelayMs))
	}
}

// fleetKey checks the length of a fleet key.
func (c *checker) fleetKey(key, v string) {
	switch n := len(v); {
	case n == 0:
		c.missing(key)
	case n < MinFleetKeyBytes:
		c.add(key, fmt.Sprintf("must have at least %d bytes, not %d", MinFleetKeyBytes, n))
	}
}

// name checks a value that becomes part of object names and ids.
func (c *checker) name(key, v string) {
	if v == "" {
		c.missing(key)
		return
	}
	if strings.ContainsAny(v, " \t\r\n/@") {
		c.add(key, fmt.Sprintf("%q must have no space, '/' or '@'", v))
	}
}

// address checks a host:port whose host is empty or an IP address. A required one
// must not be empty, but may have port 0.
func (c *checker) address(key, v string, required bool) {
	if v == "" {
		if required {
			c.missing(key)
		}
		return
	}
	host, port, err := net.SplitHostPort(v)
	if err != nil {
		c.add(key, fmt.Sprintf("%q is no address: want HOST:PORT", v))
		return
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || (n == 0 && !required) {
		c.add(key, fmt.Sprintf("%q is no port from 0 to 65535", port))
	}
	if host != "" && net.ParseIP(host) == nil {
		c.add(key, fmt.Sprintf("%q is no IP number", host))
	}
}

// platform checks the platform's base URL.
func (c *checker) platform(v string) {
	if v == "" {
		c.missing("platform")
		return
	}
	u, err := url.Parse(v)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		c.add("platform", fmt.Sprintf("%q is no http or https URL", v))
	}
}

func (c *checker) positive(key string, v int64) {
	if v <= 0 {
		c.add(key, fmt.Sprintf("must be above 0, not %d", v))
	}
}

// missing reports a key without a value, unless the key has a problem already.
func (c *checker) missing(key string) {
	for _, p := range c.problems {
		if p.Key == key {
			return
		}
	}
	c.add(key, "is missing")
}

func (c *checker) add(key, message string) {
	c.problems = append(c.problems, parser.Problem{File: c.file, Line: c.positions.At(key).Line, Key: key, Message: message})
}
