// Package injector decides which faults the stand-ins of endpoints show.
package injector

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// maxBody bounds the body of a change of faults in bytes.
const maxBody = 1 << 16

// Fault is what goes wrong with one request. The zero value is no fault.
type Fault struct {
	// Delay passes before the request is looked at.
	Delay time.Duration
	// Refuse answers that the endpoint is overloaded; the request is not run.
	Refuse bool
	// ResetBefore closes the connection before the request is run.
	ResetBefore bool
	// ResetAfter closes the connection after the request was run, or in the middle
	// of its stream.
	ResetAfter bool
	// Crossed answers with the answer to another request.
	Crossed bool
	// Fail runs the request and answers with an error.
	Fail bool
}

// Faults are the standing faults. Shares are from 0 to 1, drawn for each
// request.
type Faults struct {
	// Delay is in milliseconds.
	Delay       int64   `json:"delay_ms"`
	Refuse      float64 `json:"refuse"`
	ResetBefore float64 `json:"reset_before"`
	ResetAfter  float64 `json:"reset_after"`
	Crossed     float64 `json:"crossed"`
	Fail        float64 `json:"error"`
	// Worse is subtracted from the quality of answers, from 0 to 1.
	Worse float64 `json:"worse"`
	// Leaving makes the endpoint refuse new work as it does before it goes.
	Leaving bool `json:"leaving"`
}

// Injector holds standing faults and draws those of a request. The zero value
// injects nothing. Exported fields must be set before the first request.
type Injector struct {
	// Hook, if not nil, replaces the draw.
	Hook func(id string) Fault
	// Rand returns a number in [0, 1); nil means a fixed sequence.
	Rand func() float64

	mu     sync.Mutex
	faults Faults
	source *rand.Rand
}

// Faults returns the standing faults.
func (i *Injector) Faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// Set replaces the standing faults.
func (i *Injector) Set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

// Draw returns the faults of the request id.
func (i *Injector) Draw(id string) Fault {
	if i.Hook != nil {
		return i.Hook(id)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	f := i.faults
	return Fault{
		Delay:       time.Duration(f.Delay) * time.Millisecond,
		Refuse:      i.hit(f.Refuse),
		ResetBefore: i.hit(f.ResetBefore),
		ResetAfter:  i.hit(f.ResetAfter),
		Crossed:     i.hit(f.Crossed),
		Fail:        i.hit(f.Fail),
	}
}

// ServeHTTP sets the standing faults from a JSON body.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, "bad faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	i.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

// hit draws with the given share. The caller holds mu.
func (i *Injector) hit(share float64) bool {
	if share <= 0 {
		return false
	}
	if i.Rand != nil {
		return i.Rand() < share
	}
	if i.source == nil {
		i.source = rand.New(rand.NewPCG(1, 2))
	}
	return i.source.Float64() < share
}
