package receiver

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
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

// passedOn are the headers that go along with a request to another daemon.
var passedOn = []string{
	"Authorization", "Content-Type", "Accept",
	decoder.HeaderSession, decoder.HeaderRequest, decoder.HeaderPriority, decoder.HeaderClass, decoder.HeaderKey,
}

// canOverflow reports whether a request that ended with err can be served by
// another data centre: it has not run and this one has no room for it.
func (r *Receiver) canOverflow(x *exchange, err error) bool {
	var f *samphireturn.Refusal
	if !errors.As(err, &f) || f.Run != samphireturn.RunNo || x.began {
		return false
	}
	if x.request.Header.Get(HeaderHop) != "" {
		return false
	}
	return f.Reason == samphireturn.ReasonEmpty || f.Reason == samphireturn.ReasonBusy
}

// overflow passes a request on to a daemon of another data centre that serves
// one of the versions. The daemon there spends its own grants and bills. Cause
// is returned if there is none.
func (r *Receiver) overflow(ctx context.Context, x *exchange, versions []samphireturn.VersionRef, body []byte, cause error) error {
	s := r.Control.Snapshot()
	request := &samphireturn.Request{ID: x.id, Team: x.team.Name}
	for _, v := range versions {
		centre, err := r.Picker.Remote(s, request, v, nil)
		if err != nil {
			continue
		}
		to, ok := daemonIn(s, centre, x.id)
		if !ok {
			continue
		}
		overflows.Add(centre, 1)
		return r.pass(ctx, x, to, body)
	}
	return cause
}

// daemonIn returns a daemon of the data centre, chosen by the hash of key.
func daemonIn(s *samphireturn.Snapshot, centre, key string) (samphireturn.VM, bool) {
	var members []samphireturn.VM
	for _, m := range s.Members {
		if m.Centre == centre && !m.Leaving {
			members = append(members, m)
		}
	}
	home := ranker.Home(key, members)
	for _, m := range members {
		if m.ID == home {
			return m, true
		}
	}
	return samphireturn.VM{}, false
}

// pass sends the request to another daemon and passes its answer on.
func (r *Receiver) pass(ctx context.Context, x *exchange, to samphireturn.VM, body []byte) error {
	url := "http://" + to.Addr + x.request.URL.RequestURI()
	var written bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { written = true },
	})
	req, err := http.NewRequestWithContext(ctx, x.request.Method, url, bytes.NewReader(body))
	if err != nil {
		return refusal(samphireturn.ReasonEndpoint, err)
	}
	for _, name := range passedOn {
		if value := x.request.Header.Get(name); value != "" {
			req.Header.Set(name, value)
		}
	}
	req.Header.Set(HeaderHop, r.Self.ID)
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(decoder.HeaderDeadline, strconv.FormatFloat(time.Until(deadline).Seconds(), 'f', 3, 64))
	}
	res, err := r.remote.RoundTrip(req)
	if err != nil {
		run := samphireturn.RunNo
		if written {
			run = samphireturn.RunUnknown
		}
		return &samphireturn.Refusal{Reason: samphireturn.ReasonEndpoint, Run: run, RetryAfter: time.Second, Err: errors.Wrapf(err, "pass on to %s", to.ID)}
	}
	defer res.Body.Close()
	return x.copy(res)
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
			return &samphireturn.Refusal{Reason: samphireturn.ReasonBroken, Run: samphireturn.RunYes, Err: err}
		}
	}
}

// dialer returns the dial function for other daemons.
func (r *Receiver) dialer() func(ctx context.Context, network, addr string) (net.Conn, error) {
	if r.Dial != nil {
		return r.Dial
	}
	return (&net.Dialer{Timeout: dialTimeout}).DialContext
}
