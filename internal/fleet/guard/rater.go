package guard

import (
	"context"

	"samphireturn"
)

// Rater wraps a rater and reports its ratings to the guard.
type Rater struct {
	samphireturn.Rater
	Guard *Guard
}

// Rate returns the rating of the wrapped rater.
func (r *Rater) Rate(ctx context.Context, v samphireturn.VersionRef, prompt, answer string) (float64, error) {
	rating, err := r.Rater.Rate(ctx, v, prompt, answer)
	if err == nil {
		r.Guard.ObserveRating(v, rating)
	}
	return rating, err
}
