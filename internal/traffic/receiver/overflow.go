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

// HeaderHop names the daemon that passed a request on. Such a request is not
// passed on again.
const HeaderHop = "Samphire-Hop"

// maxHops bounds the daemons of a data centre that a request is offered to.
const maxHops = 2

// passedOn are the headers that go along with a request to another daemon.
var passedOn = []string{
	"Authorization", "Content-Type", "Accept",
	decoder.HeaderSession, decoder.HeaderRequest, decoder.HeaderPriority, decoder.HeaderClass, decoder.HeaderKey,
}

// canOverflow reports whether a request that ended with err can be served by
// another data centre: it has not run and this one has no room for it.
func (r *Receiver) canOverflow(x *exchange, err error) bool {
	var f *samphireturn.Refusal
	if !errors.As(err, &f) || f.Executed != samphireturn.ExecutedNo || x.began {
		return false
	}
	switch f.Reason {
	case samphireturn.ReasonNoEndpoint, samphireturn.ReasonBusy, samphireturn.ReasonEndpointFailed:
		return x.overflows()
	}
	return false
}

// overflows reports whether the request may be passed on to another data
// centre: it was not passed on before, and no daemon is bound to it by an id. An
// idempotency key binds it to none, since the claim here is released first.
func (x *exchange) overflows() bool {
	return x.request.Header.Get(HeaderHop) == "" && x.options.Request == ""
}

// overflow passes a request on to a daemon of another data centre that serves
// one of the versions. The daemon there spends its own grants and bills. While
// no byte was written it tries further daemons and data centres. Cause is
// returned if there is none.
func (r *Receiver) overflow(ctx context.Context, x *exchange, versions []samphireturn.VersionRef, body []byte, cause error) error {
	s := r.Control.Snapshot()
	request := &samphireturn.Request{ID: x.id, Team: x.team.Name, Session: x.affinity}
	var out []string // data centres that can't be reached
	for _, v := range versions {
		for {
			centre, err := r.Picker.RemoteCentre(s, request, v, out)
			if err != nil {
				break
			}
			for _, to := range daemonsIn(s, centre, x.id) {
				overflows.Add(centre, 1)
				err := r.pass(ctx, x, to, body)
				if !unreached(err) || ctx.Err() != nil {
					return err
				}
				hops.Add("unreached", 1)
			}
			out = append(out, centre)
		}
	}
	return cause
}

// unreached reports whether a request could not be passed on at all.
func unreached(err error) bool {
	var f *samphireturn.Refusal
	return errors.As(err, &f) && f.Executed == samphireturn.ExecutedNo
}

// daemonsIn returns up to maxHops daemons of the data centre in the order of
// their hashes with key.
func daemonsIn(s *samphireturn.Snapshot, centre, key string) []samphireturn.VM {
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
	return found[:min(maxHops, len(found))]
}

// pass sends the request to another daemon and passes its answer on.
func (r *Receiver) pass(ctx context.Context, x *exchange, to samphireturn.VM, body []byte) error {
	url := "http://" + to.Addr + x.request.URL.RequestURI()
	req, err := http.NewRequestWithContext(ctx, x.request.Method, url, bytes.NewReader(body))
	if err != nil {
		return refusal(samphireturn.ReasonEndpointFailed, err)
	}
	for _, name := range passedOn {
		if value := x.request.Header.Get(name); value != "" {
			req.Header.Set(name, value)
		}
	}
	r.passSession(x, req.Header)
	req.Header.Set(HeaderHop, r.Self.ID)
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(decoder.HeaderDeadline, strconv.FormatFloat(time.Until(deadline).Seconds(), 'f', 3, 64))
	}
	res, written, err := r.Router.Dispatcher.RoundTrip(req, !r.repeatable(x))
	if err != nil {
		run := samphireturn.ExecutedNo
		if written {
			run = samphireturn.ExecutedUnknown
		}
		return &samphireturn.Refusal{Reason: samphireturn.ReasonEndpointFailed, Executed: run, RetryAfter: time.Second, Err: errors.Wrapf(err, "pass on to %s", to.ID)}
	}
	defer res.Body.Close()
	x.result.endpoint, x.result.version = to.ID, res.Header.Get(decoder.HeaderVersion)
	x.result.run = samphireturn.ExecutedUnknown
	if res.StatusCode == http.StatusOK {
		x.result.run = samphireturn.ExecutedYes
	}
	return x.copy(res)
}

// passSession adds a session that began here to a request that is passed on, so
// that the other daemon places it on the same version.
func (r *Receiver) passSession(x *exchange, h http.Header) {
	if x.affinity == nil || h.Get(decoder.HeaderSession) != "" {
		return
	}
	if token, err := r.Minter.IssueSession(*x.affinity); err == nil {
		h.Set(decoder.HeaderSession, token)
	}
}

// repeatable reports whether the exchange may run twice.
func (r *Receiver) repeatable(x *exchange) bool {
	name := x.request.PathValue("service")
	if name == "" {
		return true
	}
	return idempotent(findBackend(x.snapshot.Config, name), x.request.Method, "/"+x.request.PathValue("path"))
}

// copy passes another daemon's answer on as it comes.
func (x *exchange) copy(res *http.Response) error {
	h := x.Header()
	for name, values := range res.Header {
		h[name] = values
	}
	x.WriteHeader(res.StatusCode)
	x.began = true
	flush := http.NewResponseController(x.ResponseWriter)
	buf := make([]byte, copyBuffer)
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
