package detector

import (
	"time"

	"samphireturn"
	"samphireturn/internal/traffic/dispatcher"
)

// codeLeaving is the endpoint's error code of a refusal because it is leaving.
const codeLeaving = "leaving"

// ObserveAttempt implements router.Observer. If an endpoint refuses a request
// because it is leaving, it is removed from the pools at once, before the list
// or its report says so.
func (d *Detector) ObserveAttempt(e *samphireturn.Endpoint, _ samphireturn.VersionRef, _ time.Duration, err *dispatcher.Error) {
	if err == nil || err.Kind != dispatcher.KindRefused || err.Code != codeLeaving {
		return
	}
	d.mu.Lock()
	r := d.records[e.ID]
	now := d.Now()
	ignore := r == nil || r.incarnation != e.Incarnation || now.Sub(r.leavingSince) < leavingTTL/2
	if !ignore {
		r.leavingSince = now
	}
	d.mu.Unlock()
	if !ignore {
		reasons.Add("leaving", 1)
		d.publish()
	}
}
