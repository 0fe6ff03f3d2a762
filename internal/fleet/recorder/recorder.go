// Package recorder records which endpoints announced in an answer that they leave.
//
// A departure belongs to an instance of an endpoint and outlives every view that still
// lists the instance, however old. It is forgotten some time after no view of this daemon
// lists it any more.
package recorder

import (
	"maps"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/core/logger"
	"samphireturn/internal/core/meter"
)

const (
	// TTL is how long a departure is kept after its endpoint was last listed. A source
	// that is restored from a copy and daemons that lag behind may list the endpoint again
	// some seconds after its end.
	TTL = time.Minute
	// transitMargin is added to the age of a departure that a peer tells. It is longer than
	// such a message takes, so that a departure that peers tell each other in circles ages.
	transitMargin = time.Second
)

type (
	// Departure is an endpoint that announced that it leaves, as daemons tell each other.
	Departure struct {
		ID string `cbor:"1,keyasint"`
		// Started is Host.Started of the instance that leaves.
		Started int64 `cbor:"2,keyasint,omitempty"`
		// Age is the time in microseconds since the sender last listed the endpoint.
		Age int64 `cbor:"3,keyasint,omitempty"`
	}

	// Recorder records departures and shows them in all views. It is safe for concurrent
	// use.
	Recorder struct {
		clock func() time.Duration
		log   zerolog.Logger
		shown *samphireturn.Departures

		mu sync.Mutex
		// records is keyed by endpoint id.
		records map[string]record
		// changes is the number of departures recorded so far.
		changes uint64
	}

	// record is the departure of one endpoint.
	record struct {
		started int64
		// listedAt is when the endpoint was last listed, or recorded.
		listedAt time.Duration
		// change is the number of the change that recorded the departure.
		change uint64
	}

	// show sets the departures that all later views share.
	show struct{ *samphireturn.Departures }
)

// Apply implements samphireturn.Event.
func (s show) Apply(next *samphireturn.Snapshot) {
	view := samphireturn.View{}
	if next.View != nil {
		view = *next.View
	}
	view.Departures = s.Departures
	next.View = &view
}

// New returns a Recorder that shows departures in the views of control from now on. Clock
// is a monotonic clock that also advances while the machine is suspended.
func New(control samphireturn.Control, clock func() time.Duration, log zerolog.Logger) *Recorder {
	r := &Recorder{clock: clock, log: log, shown: new(samphireturn.Departures), records: make(map[string]record)}
	control.Post(show{r.shown})
	return r
}

// Record records that an endpoint announced to this daemon that it leaves.
func (r *Recorder) Record(h *samphireturn.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.add(h.ID, h.Started, r.clock(), false) {
		r.publish()
	}
}

// Add records the departures that a peer told.
func (r *Recorder) Add(told []Departure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	added := false
	for _, d := range told {
		if age := time.Duration(d.Age)*time.Microsecond + transitMargin; d.Age >= 0 && age < TTL {
			added = r.add(d.ID, d.Started, now-age, true) || added
		}
	}
	if added {
		r.publish()
	}
}

// Since returns the departures recorded after the given change, and the number of the
// last change.
func (r *Recorder) Since(change uint64) ([]Departure, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock()
	var departures []Departure
	for id, known := range r.records {
		if known.change > change {
			departures = append(departures, Departure{ID: id, Started: known.started, Age: (now - known.listedAt).Microseconds()})
		}
	}
	return departures, r.changes
}

// Retain forgets the departures of instances that have not been listed for TTL.
func (r *Recorder) Retain(pools map[string][]*samphireturn.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.records) == 0 {
		return
	}
	now := r.clock()
	for _, hosts := range pools {
		for _, h := range hosts {
			if known, ok := r.records[h.ID]; ok && h.Started <= known.started {
				known.listedAt = now
				r.records[h.ID] = known
			}
		}
	}
	before := len(r.records)
	maps.DeleteFunc(r.records, func(_ string, known record) bool { return now-known.listedAt >= TTL })
	if len(r.records) != before {
		r.publish()
	}
}

// add records a departure and reports whether it was unknown. The caller holds mu.
func (r *Recorder) add(id string, started int64, listedAt time.Duration, heard bool) bool {
	known, ok := r.records[id]
	if ok && started <= known.started {
		if started == known.started {
			known.listedAt = max(known.listedAt, listedAt)
			r.records[id] = known
		}
		return false
	}
	r.changes++
	r.records[id] = record{started: started, listedAt: listedAt, change: r.changes}
	meter.CountDeparture(heard)
	r.log.Info().Str("event", logger.EventEndpointLeaving).Str("endpoint", id).Int64("started", started).Bool("heard", heard).Send()
	return true
}

// publish shows the departures. The caller holds mu.
func (r *Recorder) publish() {
	all := make(map[string]int64, len(r.records))
	for id, known := range r.records {
		all[id] = known.started
	}
	r.shown.Replace(all)
}
