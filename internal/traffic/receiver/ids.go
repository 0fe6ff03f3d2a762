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
	idTTL            = 15 * time.Minute // validity of an issued request id
	maxIDsPerRequest = 100
)

// idsRequest is the JSON body of a request for request ids.
type idsRequest struct {
	Count int `json:"count"`
}

// idsResponse is the JSON body of the answer to idsRequest. Expires is in seconds
// since 1970 UTC.
type idsResponse struct {
	IDs     []string `json:"ids"`
	Expires int64    `json:"expires"`
}

// ids issues request ids to the team.
func (r *Receiver) ids(_ context.Context, x *exchange) error {
	body, err := r.readBody(x)
	if err != nil {
		return err
	}
	in := idsRequest{Count: 1}
	if len(body) > 0 {
		if err := json.Unmarshal(body, &in); err != nil {
			return notExecuted(samphireturn.ReasonBadRequest, errors.Wrap(err, "decode body"))
		}
	}
	if in.Count < 1 || in.Count > maxIDsPerRequest {
		return notExecuted(samphireturn.ReasonBadRequest, errors.Errorf("count %d is not between 1 and %d", in.Count, maxIDsPerRequest))
	}
	out := idsResponse{Expires: time.Now().Add(idTTL).Unix()}
	for range in.Count {
		id, err := r.Minter.IssueID(x.team.Name, idTTL)
		if err != nil {
			return notExecuted(samphireturn.ReasonNotReady, err)
		}
		out.IDs = append(out.IDs, id)
	}
	return writeJSON(x, http.StatusCreated, out)
}
