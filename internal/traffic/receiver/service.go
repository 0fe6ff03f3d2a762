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

// strippedHeaders are the request headers that are not sent to a plain service:
// those of the connection and those addressed to the router.
var strippedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Host", "Content-Length",
	HeaderHop, decoder.HeaderSession, decoder.HeaderRequestID, decoder.HeaderDeadline,
	decoder.HeaderPriority, decoder.HeaderClass,
}

// service handles a call of a plain service.
func (r *Receiver) service(ctx context.Context, x *exchange) error {
	name := x.request.PathValue("service")
	if err := r.Picker.AuthorizeService(x.snapshot, x.team.Name, name); err != nil {
		return pickRefusal(err)
	}
	body, err := r.readBody(x)
	if err != nil {
		return err
	}
	admission, err := r.admit(x, 0)
	if err != nil {
		return err
	}
	defer admission.Close(0)
	w := r.serviceWork(ctx, x, name, body)
	if x.options.IdempotencyKey != "" || x.options.RequestID != "" {
		versions := func() []samphireturn.VersionRef { return []samphireturn.VersionRef{samphireturn.ServiceRef(name)} }
		return r.runOnce(ctx, x, body, versions, func(ctx context.Context) (*reply, error) { return r.callService(ctx, x, w) })
	}
	a, err := r.callService(ctx, x, w)
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
	for _, drop := range strippedHeaders {
		h.Del(drop)
	}
	deadline, _ := ctx.Deadline()
	target := path
	if x.request.URL.RawQuery != "" {
		target += "?" + x.request.URL.RawQuery
	}
	return router.Work{
		Request:   &samphireturn.Request{ID: x.id, Team: x.team.Name, Priority: x.options.Priority, Deadline: deadline},
		Service:   name,
		Method:    x.request.Method,
		Path:      target,
		Header:    h,
		Body:      body,
		Weight:    x.team.Weight,
		Overflow:  x.mayOverflow(),
		Retryable: idempotent(findService(x.snapshot.Config, name), x.request.Method, path),
	}
}

// callService sends the work and bills it.
func (r *Receiver) callService(ctx context.Context, x *exchange, w router.Work) (*reply, error) {
	response, e, err := r.Router.Send(ctx, w)
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
	return &reply{status: response.Status, contentType: response.Header.Get("Content-Type"), body: response.Body, executed: samphireturn.ExecutedYes}, nil
}

// findService returns the configured plain service, or nil.
func findService(cfg *samphireturn.Config, name string) *samphireturn.Service {
	for i := range cfg.Services {
		if cfg.Services[i].Name == name {
			return &cfg.Services[i]
		}
	}
	return nil
}

// idempotent reports whether a call may be retried. Without a matching pattern
// only GET and HEAD may.
func idempotent(service *samphireturn.Service, method, path string) bool {
	if service == nil || matchesAny(service.NotIdempotent, method, path) {
		return false
	}
	if method == http.MethodGet || method == http.MethodHead {
		return true
	}
	return matchesAny(service.Idempotent, method, path)
}

// matchesAny reports whether any "METHOD /path" pattern matches the call. A path
// that ends in "*" matches by prefix.
func matchesAny(patterns []string, method, path string) bool {
	for _, pattern := range patterns {
		m, p, _ := strings.Cut(pattern, " ")
		if m != method {
			continue
		}
		prefix, wildcard := strings.CutSuffix(p, "*")
		if p == path || wildcard && strings.HasPrefix(path, prefix) {
			return true
		}
	}
	return false
}
