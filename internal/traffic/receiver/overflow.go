package receiver

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"samphireturn"
	"samphireturn/internal/fleet/ranker"
	"samphireturn/internal/traffic/decoder"
)

// HeaderHop names the daemon that forwarded a request. A request that carries
// it is not forwarded again.
const HeaderHop = "Samphire-Hop"

// maxDaemonsPerCentre bounds the daemons of a data centre that a request is
// forwarded to in turn.
const maxDaemonsPerCentre = 2

// forwardedHeaders are the request headers that are sent on to another daemon.
var forwardedHeaders = []string{
	"Authorization", "Content-Type", "Accept",
	decoder.HeaderSession, decoder.HeaderRequestID, decoder.HeaderPriority, decoder.HeaderClass, decoder.HeaderIdempotencyKey,
}

// canOverflow reports whether another data centre can serve a request that failed
// with err here: it was not executed, and this data centre has no capacity for it.
func (r *Receiver) canOverflow(x *exchange, err error) bool {
	var f *samphireturn.Refusal
	if !errors.As(err, &f) || f.Executed != samphireturn.ExecutedNo || x.bodyStarted {
		return false
	}
	switch f.Reason {
	case samphireturn.ReasonNoEndpoint, samphireturn.ReasonBusy, samphireturn.ReasonEndpointFailed:
		return x.mayOverflow()
	}
	return false
}

// mayOverflow reports whether the request may be forwarded to another data centre:
// it was not forwarded before, and no issued id binds it to a daemon. An
// idempotency key does not bind it, since the claim here is released first.
func (x *exchange) mayOverflow() bool {
	return x.request.Header.Get(HeaderHop) == "" && x.options.RequestID == ""
}

// overflow forwards a request to a daemon of another data centre that serves one
// of the versions. That daemon uses its own grants and bills the request. Further
// daemons and data centres are tried while no byte of the request has been
// written to a daemon. If none is left, overflow returns cause.
func (r *Receiver) overflow(ctx context.Context, x *exchange, versions []samphireturn.VersionRef, body []byte, cause error) error {
	s := r.Control.Snapshot()
	request := &samphireturn.Request{ID: x.id, Team: x.team.Name, Session: x.affinity}
	var unreachable []string // data centres whose daemons could not be reached
	for _, v := range versions {
		for {
			centre, err := r.Picker.RemoteCentre(s, request, v, unreachable)
			if err != nil {
				break
			}
			for _, to := range rankedDaemons(s, centre, x.id) {
				overflows.Add(centre, 1)
				err := r.forward(ctx, x, to, body)
				if !notDelivered(err) || ctx.Err() != nil {
					return err
				}
				failedForwards.Add("unreached", 1)
			}
			unreachable = append(unreachable, centre)
		}
	}
	return cause
}

// notDelivered reports whether err means that a forwarded request reached no
// daemon and so was not executed.
func notDelivered(err error) bool {
	var f *samphireturn.Refusal
	return errors.As(err, &f) && f.Executed == samphireturn.ExecutedNo
}

// rankedDaemons returns up to maxDaemonsPerCentre daemons of the data centre,
// ranked by their hash with key.
func rankedDaemons(s *samphireturn.Snapshot, centre, key string) []samphireturn.VM {
	byID := make(map[string]samphireturn.VM)
	var members []samphireturn.VM
	for _, m := range s.Members {
		if m.Centre == centre && !m.Leaving {
			members = append(members, m)
			byID[m.ID] = m
		}
	}
	var found []samphireturn.VM
	for _, id := range ranker.Rank(key, members) {
		found = append(found, byID[id])
	}
	return found[:min(maxDaemonsPerCentre, len(found))]
}

// forward sends the request to another daemon and copies its answer to the caller.
func (r *Receiver) forward(ctx context.Context, x *exchange, to samphireturn.VM, body []byte) error {
	url := "http://" + to.Addr + x.request.URL.RequestURI()
	req, err := http.NewRequestWithContext(ctx, x.request.Method, url, bytes.NewReader(body))
	if err != nil {
		return notExecuted(samphireturn.ReasonEndpointFailed, err)
	}
	for _, name := range forwardedHeaders {
		if value := x.request.Header.Get(name); value != "" {
			req.Header.Set(name, value)
		}
	}
	r.addSession(x, req.Header)
	req.Header.Set(HeaderHop, r.Self.ID)
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(decoder.HeaderDeadline, strconv.FormatFloat(time.Until(deadline).Seconds(), 'f', 3, 64))
	}
	res, written, err := r.Router.Dispatcher.RoundTrip(req, !r.retryable(x))
	if err != nil {
		executed := samphireturn.ExecutedNo
		if written {
			executed = samphireturn.ExecutedUnknown
		}
		return &samphireturn.Refusal{Reason: samphireturn.ReasonEndpointFailed, Executed: executed, RetryAfter: time.Second, Err: errors.Wrapf(err, "pass on to %s", to.ID)}
	}
	defer res.Body.Close()
	x.result.endpoint, x.result.version = to.ID, res.Header.Get(decoder.HeaderVersion)
	x.result.executed = samphireturn.ExecutedUnknown
	if res.StatusCode == http.StatusOK {
		x.result.executed = samphireturn.ExecutedYes
	}
	return x.copy(res)
}

// addSession adds the token of a session that began here to a forwarded request,
// so that the other daemon places the session on the same version.
func (r *Receiver) addSession(x *exchange, h http.Header) {
	if x.affinity == nil || h.Get(decoder.HeaderSession) != "" {
		return
	}
	if token, err := r.Minter.IssueSession(*x.affinity); err == nil {
		h.Set(decoder.HeaderSession, token)
	}
}

// retryable reports whether the request may be executed more than once.
func (r *Receiver) retryable(x *exchange) bool {
	name := x.request.PathValue("service")
	if name == "" {
		return true
	}
	return idempotent(findService(x.snapshot.Config, name), x.request.Method, "/"+x.request.PathValue("path"))
}

// copy streams another daemon's answer to the caller.
func (x *exchange) copy(res *http.Response) error {
	h := x.Header()
	for name, values := range res.Header {
		h[name] = values
	}
	x.WriteHeader(res.StatusCode)
	x.bodyStarted = true
	flush := http.NewResponseController(x.ResponseWriter)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			if _, err := x.Write(buf[:n]); err != nil {
				return errors.Wrap(err, "pass answer on")
			}
			_ = flush.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return &samphireturn.Refusal{Reason: samphireturn.ReasonStreamBroken, Executed: samphireturn.ExecutedYes, Err: err}
		}
	}
}
