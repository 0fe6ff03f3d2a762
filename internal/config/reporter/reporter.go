// Package reporter writes the status of a data centre's daemons to the
// platform, one object for each data centre.
package reporter

import (
	"context"
	"encoding/json"
	"expvar"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireturn"
)

const (
	// Prefix begins the names of status objects; the data centre follows.
	Prefix = "status/"
	// Topic requests a daemon's status.
	Topic = "status.get"

	// minWriteInterval is the least time between two writes of a changed status.
	minWriteInterval = time.Second
	// refreshInterval is the time between two writes of an unchanged status.
	refreshInterval = 10 * time.Second
	// callTimeout bounds a call to a peer, and the reading and writing of the
	// status object together.
	callTimeout = 2 * time.Second
)

var (
	writes  = expvar.NewInt("reporter_writes")
	retries = expvar.NewMap("reporter_retry")
)

type (
	// Daemon is the status of one daemon.
	Daemon struct {
		ID         string `cbor:"i" json:"id"`
		Generation uint64 `cbor:"g" json:"generation"`
		// Digest is the hash of the manifest in force.
		Digest string `cbor:"d,omitempty" json:"digest,omitempty"`
		Ready  bool   `cbor:"r" json:"ready"`
		// HeldVersions lists the versions in Snapshot.HeldVersions.
		HeldVersions []string `cbor:"h,omitempty" json:"held,omitempty"`
		// Problem describes why a newer configuration is not in force, or that the
		// daemon did not answer; empty if neither is the case.
		Problem string `cbor:"p,omitempty" json:"problem,omitempty"`
	}

	// Status is the content of a status object.
	Status struct {
		Centre  string    `json:"centre"`
		Time    time.Time `json:"time"`
		Daemons []Daemon  `json:"daemons"`

		// Version is the version of the object that the status was read from.
		Version uint64 `json:"-"`
	}

	// Source provides the state of the configuration's watcher.
	Source interface {
		Ready() bool
		Generation() uint64
		Digest() string
		Problem() string
	}

	// Reporter is a service that writes the status while this daemon is home.
	// Set the exported fields before Run.
	Reporter struct {
		Control samphireturn.Control
		Store   samphireturn.Store
		// Peers may be nil.
		Peers  samphireturn.Peers
		Source Source
		// IsHome reports whether this daemon writes its data centre's status; nil
		// means that it always does.
		IsHome func() bool
		// Now returns the current time; time.Now by default.
		Now func() time.Time
		Log zerolog.Logger

		cancel      context.CancelFunc
		wg          sync.WaitGroup
		lastWritten Status
		// version is the status object's version; zero if it must be read first.
		version uint64
	}
)

// New returns a reporter and registers its topic with peers, which may be nil.
func New(control samphireturn.Control, store samphireturn.Store, peers samphireturn.Peers, source Source) *Reporter {
	r := &Reporter{Control: control, Store: store, Peers: peers, Source: source, Now: time.Now, Log: zerolog.Nop()}
	if peers != nil {
		peers.Handle(Topic, func(context.Context, string, []byte) (any, error) { return r.localStatus(), nil })
	}
	return r
}

// Run starts the reporter and returns at once.
func (r *Reporter) Run(ctx context.Context) error {
	ctx, r.cancel = context.WithCancel(ctx)
	r.wg.Go(func() { r.loop(ctx) })
	return nil
}

// Close stops the reporter and waits until it has stopped.
func (r *Reporter) Close() error {
	if r.cancel != nil {
		r.cancel()
	}
	r.wg.Wait()
	return nil
}

func (r *Reporter) loop(ctx context.Context) {
	t := time.NewTicker(minWriteInterval)
	defer t.Stop()
	for {
		if r.IsHome == nil || r.IsHome() {
			r.report(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// localStatus returns this daemon's status.
func (r *Reporter) localStatus() Daemon {
	s := r.Control.Snapshot()
	d := Daemon{ID: s.Self.ID, Generation: r.Source.Generation(), Digest: r.Source.Digest(), Ready: r.Source.Ready(), Problem: r.Source.Problem()}
	for ref, held := range s.HeldVersions {
		if held {
			d.HeldVersions = append(d.HeldVersions, ref.String())
		}
	}
	slices.Sort(d.HeldVersions)
	return d
}

// report collects the status and writes it if it has changed or if its last write is
// at least refreshInterval ago.
func (r *Reporter) report(ctx context.Context) {
	s := Status{Centre: r.Control.Snapshot().Self.Centre, Time: r.Now().UTC(), Daemons: r.collectStatuses(ctx)}
	if reflect.DeepEqual(s.Daemons, r.lastWritten.Daemons) && s.Time.Sub(r.lastWritten.Time) < refreshInterval {
		return
	}
	if err := r.write(ctx, s); err != nil {
		retries.Add(samphireturn.KindOf(err).String(), 1)
		r.Log.Debug().Err(err).Msg("status not written")
		r.version = 0
		return
	}
	writes.Add(1)
	r.lastWritten = s
}

// collectStatuses returns the status of every daemon of this data centre, in order
// of id. It requests them concurrently.
func (r *Reporter) collectStatuses(ctx context.Context) []Daemon {
	snap := r.Control.Snapshot()
	list := []Daemon{r.localStatus()}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range snap.Members {
		if r.Peers == nil || m.Centre != snap.Self.Centre || m.ID == snap.Self.ID {
			continue
		}
		wg.Go(func() {
			d := r.fetchStatus(ctx, m.ID)
			mu.Lock()
			defer mu.Unlock()
			list = append(list, d)
		})
	}
	wg.Wait()
	slices.SortFunc(list, func(a, b Daemon) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// fetchStatus requests the status of one daemon.
func (r *Reporter) fetchStatus(ctx context.Context, id string) Daemon {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var d Daemon
	if err := r.Peers.Call(ctx, id, Topic, struct{}{}, &d); err != nil {
		retries.Add("peer", 1)
		return Daemon{ID: id, Problem: "no answer"}
	}
	return d
}

// write stores s. After a failed write, such as one with a conflict or an unknown
// outcome, the next write reads the object's version first.
func (r *Reporter) write(ctx context.Context, s Status) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	name := Prefix + s.Centre
	if r.version == 0 {
		o, err := r.Store.Get(ctx, name)
		if err != nil && samphireturn.KindOf(err) != samphireturn.KindMissing {
			return err
		}
		r.version = o.Version
	}
	if r.version == 0 {
		r.version, err = r.Store.Create(ctx, name, data)
	} else {
		r.version, err = r.Store.Update(ctx, name, data, r.version)
	}
	return err
}
