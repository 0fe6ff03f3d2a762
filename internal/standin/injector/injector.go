// Package injector decides which faults the stand-ins for endpoints inject into a
// request.
package injector

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// maxBodyBytes bounds the body of PUT /faults.
const maxBodyBytes = 1 << 16

// Fault is the fault of one request. The zero value is no fault.
type Fault struct {
	// Delay passes before the request is read.
	Delay time.Duration
	// Refuse answers that the endpoint is overloaded, without running the request.
	Refuse bool
	// ResetBefore closes the connection before the request is run.
	ResetBefore bool
	// ResetAfter closes the connection after the request was run, or in the middle
	// of its stream.
	ResetAfter bool
	// SwapAnswer runs the request and answers as if to the request before it.
	SwapAnswer bool
	// Fail runs the request and answers with status 500.
	Fail bool
}

// Faults are the faults of all requests until they are replaced. Refuse,
// ResetBefore, ResetAfter, SwapAnswer and Fail are probabilities from 0 to 1; each
// is drawn for every request.
type Faults struct {
	// Delay is Fault.Delay in milliseconds.
	Delay       int64   `json:"delay_ms"`
	Refuse      float64 `json:"refuse"`
	ResetBefore float64 `json:"reset_before"`
	ResetAfter  float64 `json:"reset_after"`
	SwapAnswer  float64 `json:"crossed"`
	Fail        float64 `json:"error"`
	// QualityLoss is subtracted from the quality of answers; both are from 0 to 1.
	QualityLoss float64 `json:"worse"`
	// Draining makes the endpoint refuse new requests, as it does while it drains.
	Draining bool `json:"leaving"`
}

// Injector holds the current Faults and draws the Fault of each request. The zero
// value injects none. Exported fields must be set before the first request.
type Injector struct {
	// Hook, if not nil, returns the fault of a request id in place of a drawn one.
	Hook func(id string) Fault
	// Rand returns a number in [0, 1); nil means a generator with a fixed seed.
	Rand func() float64

	mu     sync.Mutex
	faults Faults
	source *rand.Rand
}

// Faults returns the current faults.
func (i *Injector) Faults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// Set replaces the current faults.
func (i *Injector) Set(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

// Draw returns the fault of one request, drawn from the current faults.
func (i *Injector) Draw(id string) Fault {
	if i.Hook != nil {
		return i.Hook(id)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	f := i.faults
	return Fault{
		Delay:       time.Duration(f.Delay) * time.Millisecond,
		Refuse:      i.draw(f.Refuse),
		ResetBefore: i.draw(f.ResetBefore),
		ResetAfter:  i.draw(f.ResetAfter),
		SwapAnswer:  i.draw(f.SwapAnswer),
		Fail:        i.draw(f.Fail),
	}
}

// ServeHTTP replaces the current faults by those of a JSON body. It answers 400 to an
// invalid body or an unknown key.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, "bad faults: "+err.Error(), http.StatusBadRequest)
		return
	}
	i.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

// draw returns true with the probability share. The caller holds mu.
func (i *Injector) draw(share float64) bool {
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
