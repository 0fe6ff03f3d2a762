package receiver

import (
	"context"
	"net/http"
	"strings"
	"time"

	"samphireturn"
	"samphireturn/internal/traffic/decoder"
	"samphireturn/internal/traffic/router"
)

// dropped are the headers of a caller's request that a plain service does not
// get: those of the connection and those that are meant for the router.
var dropped = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Host", "Content-Length",
	HeaderHop, decoder.HeaderSession, decoder.HeaderRequest, decoder.HeaderDeadline,
	decoder.HeaderPriority, decoder.HeaderClass,
}

// service answers a call of a plain service.
func (r *Receiver) service(ctx context.Context, x *exchange) error {
	name := x.request.PathValue("service")
	if err := r.Picker.AllowedService(x.snapshot, x.team.Name, name); err != nil {
		return pickRefusal(err)
	}
	body, err := r.body(x)
	if err != nil {
		return err
	}
	ticket, err := r.admit(x, 0)
	if err != nil {
		return err
	}
	defer ticket.Close(0)
	w := r.serviceWork(ctx, x, name, body)
	if x.options.Key != "" || x.options.Request != "" {
		versions := func() []samphireturn.VersionRef { return []samphireturn.VersionRef{samphireturn.ServiceRef(name)} }
		return r.once(ctx, x, body, versions, func(ctx context.Context) (*reply, error) { return r.call(ctx, x, w) })
	}
	a, err := r.call(ctx, x, w)
	if r.canOverflow(x, err) {
		return r.overflow(ctx, x, []samphireturn.VersionRef{samphireturn.ServiceRef(name)}, body, err)
	}
	if err != nil {
		return err
	}
	x.write(a)
	return nil
}

// serviceWork returns the work of a call of a plain service.
func (r *Receiver) serviceWork(ctx context.Context, x *exchange, name string, body []byte) router.Work {
	path := "/" + x.request.PathValue("path")
	h := x.request.Header.Clone()
	for _, drop := range dropped {
		h.Del(drop)
	}
	deadline, _ := ctx.Deadline()
	target := path
	if x.request.URL.RawQuery != "" {
		target += "?" + x.request.URL.RawQuery
	}
	return router.Work{
		Request:    &samphireturn.Request{ID: x.id, Team: x.team.Name, Priority: x.options.Priority, Deadline: deadline},
		Service:    name,
		Method:     x.request.Method,
		Path:       target,
		Header:     h,
		Body:       body,
		Weight:     x.team.Weight,
		Overflow:   x.overflows(),
		Repeatable: idempotent(findBackend(x.snapshot.Config, name), x.request.Method, path),
	}
}

// call runs the work and bills it.
func (r *Receiver) call(ctx context.Context, x *exchange, w router.Work) (*reply, error) {
	got, e, err := r.Router.Send(ctx, w)
	if err != nil {
		return nil, err
	}
	x.result.endpoint, x.result.version = e.ID, w.Service
	err = r.Biller.Record(context.WithoutCancel(ctx), samphireturn.Usage{
		Request: x.id,
		Team:    x.team.Name,
		Service: w.Service,
		Time:    time.Now().UnixMilli(),
	})
	if err != nil {
		return nil, &samphireturn.Refusal{Reason: samphireturn.ReasonPlatformUnavailable, Executed: samphireturn.ExecutedYes, Err: err}
	}
	return &reply{status: got.Status, kind: got.Header.Get("Content-Type"), body: got.Body, run: samphireturn.ExecutedYes}, nil
}

// findBackend returns the configured plain service, or nil.
func findBackend(cfg *samphireturn.Config, name string) *samphireturn.Service {
	for i := range cfg.Services {
		if cfg.Services[i].Name == name {
			return &cfg.Services[i]
		}
	}
	return nil
}

// idempotent reports whether a call may be repeated. Unsaid means that it may
// not, except GET and HEAD.
func idempotent(b *samphireturn.Service, method, path string) bool {
	if b == nil || matches(b.NotIdempotent, method, path) {
		return false
	}
	if method == http.MethodGet || method == http.MethodHead {
		return true
	}
	return matches(b.Idempotent, method, path)
}

// matches reports whether any "METHOD /path" pattern covers the call. A path
// may end in "*".
func matches(patterns []string, method, path string) bool {
	for _, pattern := range patterns {
		m, p, _ := strings.Cut(pattern, " ")
		if m != method {
			continue
		}
		prefix, open := strings.CutSuffix(p, "*")
		if p == path || open && strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}
