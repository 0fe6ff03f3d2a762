// Package accessor is the client of the platform: its object API, VM list,
// rating service and weight store.
package accessor

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-resty/resty/v2"

	"samphireturn"
)

const (
	defaultTimeout   = 3 * time.Second
	defaultWatchTime = 30 * time.Second
	dialTimeout      = 2 * time.Second
	idleTimeout      = 60 * time.Second
	maxIdle          = 16
	// maxAnswer bounds an answer in bytes; lists are longer than values.
	maxAnswer = 16 << 20

	opCreate = "create"
	opUpdate = "update"
	opDelete = "delete"
)

var (
	calls    = expvar.NewMap("accessor_calls")
	failures = expvar.NewMap("accessor_failures")

	_ samphireturn.Store  = (*Accessor)(nil)
	_ samphireturn.Lister = (*Accessor)(nil)
	_ samphireturn.Rater  = (*Accessor)(nil)
)

// Accessor is a client of the platform. It repeats no call. Exported fields
// must be set before the first call.
type Accessor struct {
	// Base is the platform's URL, such as "http://10.0.0.1:7000".
	Base string
	// Timeout bounds each call; for a watch it is added to WatchTime.
	Timeout time.Duration
	// WatchTime is how long the platform is asked to hold a quiet watch; whole
	// seconds count.
	WatchTime time.Duration
	// Centre limits the VM list to this data centre's VMs and all daemons; empty
	// means the whole list.
	Centre string
	// Transport carries the requests; nil means a transport of its own.
	Transport http.RoundTripper

	once   sync.Once
	client *resty.Client
	list   list
}

// New returns an accessor of the platform at the URL base.
func New(base string) *Accessor {
	return &Accessor{Base: base, Timeout: defaultTimeout, WatchTime: defaultWatchTime}
}

// Close closes idle connections.
func (a *Accessor) Close() {
	a.setUp()
	a.client.GetClient().CloseIdleConnections()
}

// Get implements samphireturn.Store.
func (a *Accessor) Get(ctx context.Context, name string) (samphireturn.Object, error) {
	c := call{op: "get", name: name, method: http.MethodGet, path: objectPath(name)}
	return a.object(ctx, &c)
}

// Create implements samphireturn.Store.
func (a *Accessor) Create(ctx context.Context, name string, value []byte) (uint64, error) {
	c := call{op: opCreate, name: name, method: http.MethodPut, path: objectPath(name), body: value}
	c.header = map[string]string{"If-None-Match": "*"}
	return a.write(ctx, &c)
}

// Update implements samphireturn.Store.
func (a *Accessor) Update(ctx context.Context, name string, value []byte, version uint64) (uint64, error) {
	c := call{op: opUpdate, name: name, method: http.MethodPut, path: objectPath(name), body: value}
	c.header = map[string]string{"If-Match": tag(version)}
	return a.write(ctx, &c)
}

// Delete implements samphireturn.Store.
func (a *Accessor) Delete(ctx context.Context, name string, version uint64) error {
	c := call{op: opDelete, name: name, method: http.MethodDelete, path: objectPath(name)}
	c.header = map[string]string{"If-Match": tag(version)}
	_, err := a.send(ctx, &c)
	return err
}

// List implements samphireturn.Store.
func (a *Accessor) List(ctx context.Context, prefix string) ([]samphireturn.Object, error) {
	c := call{op: "list", name: prefix, method: http.MethodGet, path: "/v1/objects"}
	c.query = map[string]string{"prefix": prefix}
	var objs []samphireturn.Object
	err := a.decode(ctx, &c, &objs)
	return objs, err
}

// Watch implements samphireturn.Store.
func (a *Accessor) Watch(ctx context.Context, name string, since uint64) (samphireturn.Object, error) {
	c := call{op: "watch", name: name, method: http.MethodGet, path: objectPath(name), extra: a.WatchTime}
	c.query = map[string]string{
		"since": strconv.FormatUint(since, 10),
		"wait":  strconv.Itoa(int(a.WatchTime / time.Second)),
	}
	return a.object(ctx, &c)
}

// Rate implements samphireturn.Rater.
func (a *Accessor) Rate(ctx context.Context, version samphireturn.VersionRef, prompt, answer string) (float64, error) {
	body, err := json.Marshal(rateRequest{Version: version.String(), Prompt: prompt, Answer: answer})
	if err != nil {
		return 0, &samphireturn.Error{Op: "rate", Kind: samphireturn.KindInvalid, Err: err}
	}
	c := call{op: "rate", name: version.String(), method: http.MethodPost, path: "/v1/ratings", body: body}
	c.header = map[string]string{"Content-Type": "application/json"}
	var r rateReply
	if err := a.decode(ctx, &c, &r); err != nil {
		return 0, err
	}
	if r.Rating == nil || *r.Rating < 0 || *r.Rating > 1 {
		return 0, c.fail(samphireturn.KindUnavailable, errors.New("rating missing or out of range"))
	}
	return *r.Rating, nil
}

// Weights asks the weight store for the weights of name. It returns an error of
// KindLimited, with the store's Retry-After, while its rate limit is reached.
func (a *Accessor) Weights(ctx context.Context, name string) error {
	c := call{op: "weights", name: name, method: http.MethodGet, path: "/v1/weights/" + escape(name)}
	_, err := a.send(ctx, &c)
	return err
}

// retryAfter returns the wait in seconds that an answer asks for, or zero.
func retryAfter(header http.Header) time.Duration {
	n, err := strconv.ParseUint(header.Get("Retry-After"), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Second
}

type rateRequest struct {
	Version string `json:"version"`
	Prompt  string `json:"prompt"`
	Answer  string `json:"answer"`
}

type rateReply struct {
	Rating *float64 `json:"rating"`
}

func (a *Accessor) setUp() {
	a.once.Do(func() {
		rt := a.Transport
		if rt == nil {
			rt = &http.Transport{
				DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
				MaxIdleConnsPerHost: maxIdle,
				IdleConnTimeout:     idleTimeout,
			}
		}
		a.client = resty.New().
			SetBaseURL(a.Base).
			SetTransport(rt).
			SetRedirectPolicy(resty.NoRedirectPolicy()).
			SetResponseBodyLimit(maxAnswer)
	})
}

// send makes the call and returns the answer of a success.
func (a *Accessor) send(ctx context.Context, c *call) (*resty.Response, error) {
	a.setUp()
	calls.Add(c.op, 1)
	if !c.valid() {
		return nil, c.fail(samphireturn.KindInvalid, errors.New("name with an empty or dotted segment"))
	}
	if a.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, a.Timeout+c.extra)
		defer cancel()
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { c.sent.Store(true) }}
	req := a.client.R().
		SetContext(httptrace.WithClientTrace(ctx, trace)).
		SetHeaders(c.header).
		SetQueryParams(c.query)
	if c.body != nil {
		req.SetBody(c.body)
	}
	resp, err := req.Execute(c.method, c.path)
	if errors.Is(err, context.DeadlineExceeded) {
		// Other idle connections may have gone silent as this one has.
		a.client.GetClient().CloseIdleConnections()
	}
	if err != nil {
		return nil, c.fail(c.doubt(), err)
	}
	kind, ok := c.kind(resp.StatusCode())
	if !ok {
		err := c.fail(kind, errors.New(resp.Status()))
		err.RetryAfter = retryAfter(resp.Header())
		return nil, err
	}
	return resp, nil
}

func (a *Accessor) object(ctx context.Context, c *call) (samphireturn.Object, error) {
	resp, err := a.send(ctx, c)
	if err != nil {
		return samphireturn.Object{}, err
	}
	v, err := parseTag(resp.Header().Get("ETag"))
	if err != nil {
		return samphireturn.Object{}, c.fail(c.doubt(), err)
	}
	return samphireturn.Object{Name: c.name, Version: v, Value: resp.Body()}, nil
}

func (a *Accessor) write(ctx context.Context, c *call) (uint64, error) {
	if c.body == nil {
		c.body = []byte{}
	}
	obj, err := a.object(ctx, c)
	return obj.Version, err
}

func (a *Accessor) decode(ctx context.Context, c *call, v any) error {
	resp, err := a.send(ctx, c)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(resp.Body(), v); err != nil {
		return c.fail(c.doubt(), err)
	}
	return nil
}

func tag(version uint64) string {
	return strconv.Quote(strconv.FormatUint(version, 10))
}

func parseTag(s string) (uint64, error) {
	t, err := strconv.Unquote(s)
	if err != nil {
		return 0, errors.Errorf("bad ETag %q", s)
	}
	return strconv.ParseUint(t, 10, 64)
}

func objectPath(name string) string { return "/v1/objects/" + escape(name) }

// escape escapes each segment of a name.
func escape(name string) string {
	parts := strings.Split(name, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.Join(parts, "/")
}
