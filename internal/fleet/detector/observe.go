package detector

import (
	"time"

	"samphireturn"
	"samphireturn/internal/traffic/dispatcher"
)

// codeLeaving is the endpoint's code of a refusal because it is leaving.
const codeLeaving = "leaving"

// Sent implements router.Observer. A refusal that says that the endpoint is
// leaving takes it out of the pools at once, whatever list and report say.
func (d *Detector) Sent(e *samphireturn.Endpoint, _ samphireturn.VersionRef, _ time.Duration, err *dispatcher.Error) {
	if err == nil || err.Kind != dispatcher.KindRefused || err.Code != codeLeaving {
		return
	}
	d.mu.Lock()
	r := d.records[e.ID]
	now := d.Now()
	known := r == nil || r.started != e.Incarnation || now.Sub(r.refused) < leavingTime/2
	if !known {
		r.refused = now
	}
	d.mu.Unlock()
	if !known {
		reasons.Add("leaving", 1)
		d.publish()
	}
}
