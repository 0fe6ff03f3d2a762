package receiver

import (
	"cmp"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/ledger/minter"
	"samphireturn/internal/traffic/decoder"
)

const requestPrefix = "req-"

// exchange is one caller's request and its answer.
type exchange struct {
	http.ResponseWriter
	request  *http.Request
	snapshot *samphireturn.Snapshot
	team     *samphireturn.Team
	options  decoder.Options
	// id names the request at endpoints and in usage records.
	id string
	// minted is the request id that the caller sent; zero if none.
	minted minter.ID
	log    zerolog.Logger
	// affinity is the session that prefers a data centre; nil for services.
	affinity *samphireturn.Session
	// began is true once bytes of the answer's body were passed on.
	began bool
	// start is when the request came.
	start  time.Time
	result result
}

// result is what the log tells of an answered request.
type result struct {
	// version or service, and endpoint or data centre's daemon, that answered.
	version, endpoint string
	run               string
	status, tokens    int
	// first is the time until the first bytes of the answer.
	first time.Duration
}

// WriteHeader sends the answer's status.
func (x *exchange) WriteHeader(status int) {
	x.result.status = status
	x.ResponseWriter.WriteHeader(status)
}

// Write sends a part of the answer's body.
func (x *exchange) Write(p []byte) (int, error) {
	if x.result.first == 0 {
		x.result.first = time.Since(x.start)
	}
	return x.ResponseWriter.Write(p)
}

// answered logs an answered request.
func (x *exchange) answered() {
	x.log.Debug().Str("event", "answered").
		Str("team", x.team.Name).
		Str("version", x.result.version).
		Str("endpoint", x.result.endpoint).
		Int("status", cmp.Or(x.result.status, http.StatusOK)).
		Int("tokens", x.result.tokens).
		Int64("first_ms", x.result.first.Milliseconds()).
		Int64("whole_ms", time.Since(x.start).Milliseconds()).
		Str("run", cmp.Or(x.result.run, samphireturn.ExecutedNo)).
		Msg("request answered")
}

// statuses maps the reasons of refusals to HTTP statuses.
var statuses = map[string]int{
	samphireturn.ReasonUnauthorized:        http.StatusUnauthorized,
	samphireturn.ReasonBadRequest:          http.StatusBadRequest,
	samphireturn.ReasonTooLarge:            http.StatusRequestEntityTooLarge,
	samphireturn.ReasonUnknownModel:        http.StatusNotFound,
	samphireturn.ReasonForbidden:           http.StatusForbidden,
	samphireturn.ReasonBadSession:          http.StatusBadRequest,
	samphireturn.ReasonTeamConcurrent:      http.StatusTooManyRequests,
	samphireturn.ReasonTeamTokens:          http.StatusTooManyRequests,
	samphireturn.ReasonNoEndpoint:          http.StatusServiceUnavailable,
	samphireturn.ReasonBusy:                http.StatusServiceUnavailable,
	samphireturn.ReasonEndpointFailed:      http.StatusBadGateway,
	samphireturn.ReasonDeadline:            http.StatusGatewayTimeout,
	samphireturn.ReasonUnknownRequestID:    http.StatusConflict,
	samphireturn.ReasonKeyInUse:            http.StatusConflict,
	samphireturn.ReasonKeyMismatch:         http.StatusUnprocessableEntity,
	samphireturn.ReasonPlatformUnavailable: http.StatusServiceUnavailable,
	samphireturn.ReasonNotReady:            http.StatusServiceUnavailable,
	samphireturn.ReasonClosing:             http.StatusServiceUnavailable,
	samphireturn.ReasonStreamBroken:        http.StatusBadGateway,
}

// team returns a handler that authenticates the caller and reads the Samphire
// headers before it calls next.
func (r *Receiver) team(kind string, next func(context.Context, *exchange) error) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		requests.Add(kind, 1)
		x := &exchange{ResponseWriter: w, request: req, start: time.Now(), snapshot: r.Control.Snapshot(), id: requestPrefix + uuid.NewString()}
		err := r.prepare(x)
		x.log = r.Log.With().Str("request", x.id).Logger()
		if err != nil {
			r.refuse(x, err)
			return
		}
		ctx, cancel := context.WithTimeout(req.Context(), x.options.Wait)
		defer cancel()
		if err := next(ctx, x); err != nil {
			r.refuse(x, err)
			return
		}
		x.answered()
	}
}

// prepare finds the exchange's team and options.
func (r *Receiver) prepare(x *exchange) error {
	if r.ended.Load() {
		return &samphireturn.Refusal{Reason: samphireturn.ReasonClosing, Executed: samphireturn.ExecutedNo, RetryAfter: time.Second}
	}
	if !r.Ready() || x.snapshot.Config == nil {
		return &samphireturn.Refusal{Reason: samphireturn.ReasonNotReady, Executed: samphireturn.ExecutedNo, RetryAfter: time.Second}
	}
	x.team = authenticate(x.snapshot.Config, x.request.Header.Get("Authorization"))
	if x.team == nil {
		return &samphireturn.Refusal{Reason: samphireturn.ReasonUnauthorized, Executed: samphireturn.ExecutedNo, Err: errors.New("no team has this key")}
	}
	var err error
	x.options, err = decoder.DecodeOptions(x.request.Header)
	if err != nil {
		return refusal(samphireturn.ReasonBadRequest, err)
	}
	x.options.Priority = min(x.options.Priority, x.team.MaxPriority)
	return r.identify(x)
}

// authenticate returns the team whose key the Authorization header carries.
// Every configured hash is compared in constant time.
func authenticate(cfg *samphireturn.Config, header string) *samphireturn.Team {
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok || key == "" {
		return nil
	}
	sum := sha256.Sum256([]byte(key))
	hash := []byte(hex.EncodeToString(sum[:]))
	var found *samphireturn.Team
	for i := range cfg.Teams {
		for _, k := range cfg.Teams[i].Keys {
			if subtle.ConstantTimeCompare(hash, []byte(k)) == 1 {
				found = &cfg.Teams[i]
			}
		}
	}
	return found
}

// body reads the request's body up to the limit.
func (r *Receiver) body(x *exchange) ([]byte, error) {
	limit := cmp.Or(r.MaxBodyBytes, defaultBody)
	body, err := io.ReadAll(http.MaxBytesReader(x.ResponseWriter, x.request.Body, limit))
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, refusal(samphireturn.ReasonTooLarge, errors.Errorf("body over %d bytes", limit))
	}
	if err != nil {
		return nil, refusal(samphireturn.ReasonBadRequest, errors.Wrap(err, "read body"))
	}
	return body, nil
}

// refuse answers with an error. After the first bytes of an answer the
// connection is broken off, so that a part is not taken for the whole.
func (r *Receiver) refuse(x *exchange, err error) {
	var f *samphireturn.Refusal
	if !errors.As(err, &f) {
		f = &samphireturn.Refusal{Reason: samphireturn.ReasonEndpointFailed, Executed: samphireturn.ExecutedUnknown, Err: err}
	}
	refusals.Add(f.Reason, 1)
	x.log.Warn().Str("event", "refused").Str("reason", f.Reason).Str("run", f.Executed).Err(f.Err).Msg("request refused")
	if x.began {
		panic(http.ErrAbortHandler)
	}
	h := x.Header()
	h.Set("Content-Type", "application/json")
	if f.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	if f.Reason == samphireturn.ReasonUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	x.WriteHeader(cmp.Or(statuses[f.Reason], http.StatusInternalServerError))
	_ = json.NewEncoder(x).Encode(errorBody{Error: errorDetail{
		Message: f.Error(),
		Type:    "samphireturn_error",
		Code:    f.Reason,
		Run:     f.Executed,
	}})
}

// errorBody is the JSON of an error answer.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is the content of an error answer.
type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Run     string `json:"run"`
}

// refusal returns a refusal of a request that was not run.
func refusal(reason string, err error) *samphireturn.Refusal {
	return &samphireturn.Refusal{Reason: reason, Executed: samphireturn.ExecutedNo, Err: err}
}

// writeJSON answers with a value in JSON.
func writeJSON(w http.ResponseWriter, status int, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
	return nil
}
