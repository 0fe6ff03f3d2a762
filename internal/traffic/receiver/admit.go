package receiver

import (
	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/traffic/admitter"
)

// admit applies the team's limits to a request of an estimated number of tokens.
func (r *Receiver) admit(x *exchange, tokens int) (*admitter.Admission, error) {
	admission, err := r.Admitter.Admit(x.team, x.snapshot.Preset.Scale, tokens)
	if err == nil {
		return admission, nil
	}
	reason := samphireturn.ReasonTeamTokens
	var e *admitter.Error
	if !errors.As(err, &e) {
		return nil, notExecuted(reason, err)
	}
	if e.Kind == admitter.KindConcurrent {
		reason = samphireturn.ReasonTeamConcurrent
	}
	return nil, &samphireturn.Refusal{Reason: reason, Executed: samphireturn.ExecutedNo, RetryAfter: e.RetryAfter, Err: err}
}
