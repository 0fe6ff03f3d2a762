package receiver

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
)

const (
	idLife = 15 * time.Minute // time in which a minted id may be used
	maxIDs = 100              // ids minted in one call
)

// idsRequest is the JSON of a call for request ids.
type idsRequest struct {
	Count int `json:"count"`
}

// idsAnswer is its answer. Expires is in seconds since 1970 UTC.
type idsAnswer struct {
	IDs     []string `json:"ids"`
	Expires int64    `json:"expires"`
}

// ids mints request ids for the team.
func (r *Receiver) ids(_ context.Context, x *exchange) error {
	body, err := r.body(x)
	if err != nil {
		return err
	}
	in := idsRequest{Count: 1}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &in); err != nil {
			return refusal(samphireturn.ReasonBadRequest, errors.Wrap(err, "decode body"))
		}
	}
	if in.Count < 1 || in.Count > maxIDs {
		return refusal(samphireturn.ReasonBadRequest, errors.Errorf("count %d is not between 1 and %d", in.Count, maxIDs))
	}
	out := idsAnswer{Expires: time.Now().Add(idLife).Unix()}
	for range in.Count {
		id, err := r.Minter.IssueID(x.team.Name, idLife)
		if err != nil {
			return refusal(samphireturn.ReasonNotReady, err)
		}
		out.IDs = append(out.IDs, id)
	}
	return writeJSON(x, http.StatusCreated, out)
}
