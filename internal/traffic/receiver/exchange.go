package receiver

import (
	"cmp"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/core/accountant"
	"samphireturn/internal/ledger/minter"
	"samphireturn/internal/traffic/collector"
	"samphireturn/internal/traffic/decoder"
	"samphireturn/internal/traffic/finisher"
)

const requestPrefix = "req-"

// exchange is a caller's request together with the writer of its answer.
type exchange struct {
	http.ResponseWriter
	request  *http.Request
	snapshot *samphireturn.Snapshot
	team     *samphireturn.Team
	options  decoder.Options
	// id identifies the request at endpoints and in usage records.
	id string
	// issuedID is the verified request id that the caller sent; zero if none.
	issuedID minter.ID
	log      zerolog.Logger
	// affinity is the session that determines the preferred data centre when the
	// request is forwarded; nil for services.
	affinity *samphireturn.Session
	// held is what the request has of the account of memory, in bytes, and body holds the room of its
	// body; nil if it was not read.
	held int64
	body *collector.Body
	// bodyStarted is true once bytes of the answer's body were sent to the caller.
	bodyStarted bool
	// start is the time at which the request arrived.
	start  time.Time
	result result
}

// result holds the fields of the log line of an answered request.
type result struct {
	// version is the version or service that answered, and endpoint the endpoint,
	// or the daemon that the request was forwarded to.
	version, endpoint string
	executed          string
	status, tokens    int
	// timeToFirstByte is zero until the first bytes of the answer are written.
	timeToFirstByte time.Duration
}

// WriteHeader records the status and sends it.
func (x *exchange) WriteHeader(status int) {
	x.result.status = status
	x.ResponseWriter.WriteHeader(status)
}

// Write records the time to the first byte and sends p.
func (x *exchange) Write(p []byte) (int, error) {
	if x.result.timeToFirstByte == 0 {
		x.result.timeToFirstByte = time.Since(x.start)
	}
	return x.ResponseWriter.Write(p)
}

// logAnswered logs an answered request.
func (x *exchange) logAnswered() {
	x.log.Debug().Str("event", "answered").
		Str("team", x.team.Name).
		Str("version", x.result.version).
		Str("endpoint", x.result.endpoint).
		Int("status", cmp.Or(x.result.status, http.StatusOK)).
		Int("tokens", x.result.tokens).
		Int64("first_ms", x.result.timeToFirstByte.Milliseconds()).
		Int64("whole_ms", time.Since(x.start).Milliseconds()).
		Str("run", cmp.Or(x.result.executed, samphireturn.ExecutedNo)).
		Msg("request answered")
}

// statusByReason maps the reasons of refusals to HTTP status codes.
var statusByReason = map[string]int{
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

// authenticated returns a handler that authenticates the caller and decodes the
// Samphire headers before it calls next. Kind is the key of the request counter, and use that of memory.
func (r *Receiver) authenticated(kind string, use accountant.Use, next func(context.Context, *exchange) error) http.Handler {
	serve := func(w http.ResponseWriter, req *http.Request) finisher.End {
		requests.Add(kind, 1)
		x := &exchange{ResponseWriter: w, request: req, start: time.Now(), snapshot: r.Control.Snapshot(), id: requestPrefix + uuid.NewString()}
		defer r.releaseMemory(x)
		err := r.prepare(x)
		x.log = r.Log.With().Str("request", x.id).Logger()
		if err == nil {
			err = r.takeMemory(x, use)
		}
		if err == nil {
			err = r.handle(x, next)
		}
		if err != nil {
			r.writeRefusal(x, err)
		}
		return finisher.End{ID: x.id, Err: err}
	}
	return &finisher.Handler{Name: kind, Serve: serve, Log: r.Log}
}

// takeMemory takes what the request holds beside its body from the account of memory. More urgent
// requests have the higher priority here, and the lower rank there.
func (r *Receiver) takeMemory(x *exchange, use accountant.Use) error {
	size := accountant.RequestBytes + accountant.HeaderBytes(x.request.Header)
	if !r.Memory.Take(use, accountant.MaxRank-x.options.Priority, size) {
		return &samphireturn.Refusal{
			Reason: samphireturn.ReasonBusy, Executed: samphireturn.ExecutedNo, RetryAfter: time.Second, Err: errors.New("no memory for the request"),
		}
	}
	x.held = size
	return nil
}

// releaseMemory gives back what the request holds.
func (r *Receiver) releaseMemory(x *exchange) {
	x.body.Release()
	r.Memory.Give(x.held)
}

// handle calls next within the request's time and logs its answer.
func (r *Receiver) handle(x *exchange, next func(context.Context, *exchange) error) error {
	ctx, cancel := context.WithTimeout(x.request.Context(), x.options.Timeout)
	defer cancel()
	if err := next(ctx, x); err != nil {
		return err
	}
	x.logAnswered()
	return nil
}

// prepare sets the exchange's team, options and id. It refuses the request while
// the daemon is not ready or is shutting down.
func (r *Receiver) prepare(x *exchange) error {
	if r.refusing.Load() {
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
		return notExecuted(samphireturn.ReasonBadRequest, err)
	}
	x.options.Priority = min(x.options.Priority, x.team.MaxPriority)
	return r.assignID(x)
}

// authenticate returns the team whose key the Authorization header carries, or
// nil. It compares every configured hash in constant time.
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

// readBody reads the request's body up to MaxBodyBytes.
func (r *Receiver) readBody(x *exchange) ([]byte, error) {
	limit := cmp.Or(r.MaxBodyBytes, defaultMaxBodyBytes)
	control := http.NewResponseController(x.ResponseWriter)
	var err error
	x.body, err = r.Bodies.Read(x.request.Body, x.request.ContentLength, limit, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	var failed *collector.Error
	switch {
	case err == nil:
		return x.body.Data, nil
	case errors.As(err, &failed) && failed.Kind == collector.KindTooLong:
		return nil, notExecuted(samphireturn.ReasonTooLarge, errors.Errorf("body over %d bytes", limit))
	case failed != nil && (failed.Kind == collector.KindNoRoom || failed.Kind == collector.KindDropped):
		return nil, &samphireturn.Refusal{Reason: samphireturn.ReasonBusy, Executed: samphireturn.ExecutedNo, RetryAfter: time.Second, Err: err}
	}
	return nil, notExecuted(samphireturn.ReasonBadRequest, err)
}

// writeRefusal answers with an error. Once bytes of the answer's body were sent
// it aborts the connection instead, so that the caller does not take a part for
// the whole answer.
func (r *Receiver) writeRefusal(x *exchange, err error) {
	var f *samphireturn.Refusal
	if !errors.As(err, &f) {
		f = &samphireturn.Refusal{Reason: samphireturn.ReasonEndpointFailed, Executed: samphireturn.ExecutedUnknown, Err: err}
	}
	refusals.Add(f.Reason, 1)
	x.log.Warn().Str("event", "refused").Str("reason", f.Reason).Str("run", f.Executed).Err(f.Err).Msg("request refused")
	if x.bodyStarted {
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
	body, err := json.Marshal(errorBody{Error: errorDetail{
		Message:  f.Error(),
		Type:     "samphireturn_error",
		Code:     f.Reason,
		Executed: f.Executed,
	}})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)+1))
	write := func() {
		x.WriteHeader(cmp.Or(statusByReason[f.Reason], http.StatusInternalServerError))
		_, _ = x.Write(append(body, '\n'))
	}
	if x.body != nil || x.request.ContentLength == 0 {
		write()
		return
	}
	collector.Refuse(x.ResponseWriter, x.request, discardPause, write)
}

// errorBody is the JSON body of an error answer.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail is the content of an error answer.
type errorDetail struct {
	Message  string `json:"message"`
	Type     string `json:"type"`
	Code     string `json:"code"`
	Executed string `json:"run"`
}

// notExecuted returns the refusal of a request that was not executed.
func notExecuted(reason string, err error) *samphireturn.Refusal {
	return &samphireturn.Refusal{Reason: reason, Executed: samphireturn.ExecutedNo, Err: err}
}

// writeJSON answers with value encoded as JSON.
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
