// Package accessor is a client of the platform: of its object API, VM list,
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
	maxIdleConns     = 16
	// maxResponseBytes bounds a response body. Lists are longer than single
	// values.
	maxResponseBytes = 16 << 20
	maxHeaderBytes   = 64 << 10

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

// Accessor is a client of the platform. It retries no call. The exported fields
// must be set before the first call.
type Accessor struct {
	// BaseURL is the platform's URL, such as "http://10.0.0.1:7000".
	BaseURL string
	// Timeout bounds each call; a watch may take WatchTime longer.
	Timeout time.Duration
	// WatchTime is how long the platform is asked to hold a watch without a
	// change. It is sent in whole seconds, rounded down.
	WatchTime time.Duration
	// Centre limits the VM list to the VMs of this data centre and the daemons
	// of all; empty means the whole list.
	Centre string
	// Transport sends the requests; nil means a new http.Transport.
	Transport http.RoundTripper

	once   sync.Once
	client *resty.Client
	list   vmList
}

// New returns an accessor of the platform at the URL base, with default times.
func New(base string) *Accessor {
	return &Accessor{BaseURL: base, Timeout: defaultTimeout, WatchTime: defaultWatchTime}
}

// Close closes idle connections.
func (a *Accessor) Close() {
	a.initClient()
	a.client.GetClient().CloseIdleConnections()
}

// Get implements samphireturn.Store.
func (a *Accessor) Get(ctx context.Context, name string) (samphireturn.Object, error) {
	c := call{op: "get", name: name, method: http.MethodGet, path: objectPath(name)}
	return a.sendForObject(ctx, &c)
}

// Create implements samphireturn.Store.
func (a *Accessor) Create(ctx context.Context, name string, value []byte) (uint64, error) {
	c := call{op: opCreate, name: name, method: http.MethodPut, path: objectPath(name), body: value}
	c.header = map[string]string{"If-None-Match": "*"}
	return a.sendWrite(ctx, &c)
}

// Update implements samphireturn.Store.
func (a *Accessor) Update(ctx context.Context, name string, value []byte, version uint64) (uint64, error) {
	c := call{op: opUpdate, name: name, method: http.MethodPut, path: objectPath(name), body: value}
	c.header = map[string]string{"If-Match": formatETag(version)}
	return a.sendWrite(ctx, &c)
}

// Delete implements samphireturn.Store.
func (a *Accessor) Delete(ctx context.Context, name string, version uint64) error {
	c := call{op: opDelete, name: name, method: http.MethodDelete, path: objectPath(name)}
	c.header = map[string]string{"If-Match": formatETag(version)}
	_, err := a.send(ctx, &c)
	return err
}

// List implements samphireturn.Store.
func (a *Accessor) List(ctx context.Context, prefix string) ([]samphireturn.Object, error) {
	c := call{op: "list", name: prefix, method: http.MethodGet, path: "/v1/objects"}
	c.query = map[string]string{"prefix": prefix}
	var objs []samphireturn.Object
	err := a.sendForJSON(ctx, &c, &objs)
	return objs, err
}

// Watch implements samphireturn.Store.
func (a *Accessor) Watch(ctx context.Context, name string, since uint64) (samphireturn.Object, error) {
	c := call{op: "watch", name: name, method: http.MethodGet, path: objectPath(name), extraTimeout: a.WatchTime}
	c.query = map[string]string{
		"since": strconv.FormatUint(since, 10),
		"wait":  strconv.Itoa(int(a.WatchTime / time.Second)),
	}
	return a.sendForObject(ctx, &c)
}

// Rate implements samphireturn.Rater.
func (a *Accessor) Rate(ctx context.Context, version samphireturn.VersionRef, prompt, answer string) (float64, error) {
	body, err := json.Marshal(rateRequest{Version: version.String(), Prompt: prompt, Answer: answer})
	if err != nil {
		return 0, &samphireturn.Error{Op: "rate", Kind: samphireturn.KindInvalid, Err: err}
	}
	c := call{op: "rate", name: version.String(), method: http.MethodPost, path: "/v1/ratings", body: body}
	c.header = map[string]string{"Content-Type": "application/json"}
	var reply rateReply
	if err := a.sendForJSON(ctx, &c, &reply); err != nil {
		return 0, err
	}
	if reply.Rating == nil || *reply.Rating < 0 || *reply.Rating > 1 {
		return 0, c.newError(samphireturn.KindUnavailable, errors.New("rating missing or out of range"))
	}
	return *reply.Rating, nil
}

// FetchWeights requests the weights of name from the weight store. It returns an
// error of KindLimited, with the store's Retry-After, while the store's rate
// limit is reached.
func (a *Accessor) FetchWeights(ctx context.Context, name string) error {
	c := call{op: "weights", name: name, method: http.MethodGet, path: "/v1/weights/" + escapePath(name)}
	_, err := a.send(ctx, &c)
	return err
}

// retryAfter returns the value of the Retry-After header if it is a number of
// seconds, or zero.
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

func (a *Accessor) initClient() {
	a.once.Do(func() {
		transport := a.Transport
		if transport == nil {
			transport = &http.Transport{
				DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
				MaxIdleConnsPerHost:    maxIdleConns,
				IdleConnTimeout:        idleTimeout,
				MaxResponseHeaderBytes: maxHeaderBytes,
			}
		}
		a.client = resty.New().
			SetBaseURL(a.BaseURL).
			SetTransport(transport).
			SetRedirectPolicy(resty.NoRedirectPolicy()).
			SetResponseBodyLimit(maxResponseBytes)
	})
}

// send makes the call and returns a successful response.
func (a *Accessor) send(ctx context.Context, c *call) (*resty.Response, error) {
	a.initClient()
	calls.Add(c.op, 1)
	if !c.hasCleanPath() {
		return nil, c.newError(samphireturn.KindInvalid, errors.New("name with an empty or dotted segment"))
	}
	if a.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, a.Timeout+c.extraTimeout)
		defer cancel()
	}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { c.gotConn.Store(true) }}
	req := a.client.R().
		SetContext(httptrace.WithClientTrace(ctx, trace)).
		SetHeaders(c.header).
		SetQueryParams(c.query)
	if c.body != nil {
		req.SetBody(c.body)
	}
	resp, err := req.Execute(c.method, c.path)
	if errors.Is(err, context.DeadlineExceeded) {
		// The other idle connections may be dead too, without having been closed.
		a.client.GetClient().CloseIdleConnections()
	}
	if err != nil {
		return nil, c.newError(c.failureKind(), err)
	}
	kind, ok := c.statusKind(resp.StatusCode())
	if !ok {
		err := c.newError(kind, errors.New(resp.Status()))
		err.RetryAfter = retryAfter(resp.Header())
		return nil, err
	}
	return resp, nil
}

// sendForObject makes the call and returns the object in the response.
func (a *Accessor) sendForObject(ctx context.Context, c *call) (samphireturn.Object, error) {
	resp, err := a.send(ctx, c)
	if err != nil {
		return samphireturn.Object{}, err
	}
	v, err := parseETag(resp.Header().Get("ETag"))
	if err != nil {
		return samphireturn.Object{}, c.newError(c.failureKind(), err)
	}
	return samphireturn.Object{Name: c.name, Version: v, Value: resp.Body()}, nil
}

// sendWrite makes a call that writes an object and returns the new version.
func (a *Accessor) sendWrite(ctx context.Context, c *call) (uint64, error) {
	if c.body == nil {
		c.body = []byte{}
	}
	obj, err := a.sendForObject(ctx, c)
	return obj.Version, err
}

// sendForJSON makes the call and decodes the response body into v.
func (a *Accessor) sendForJSON(ctx context.Context, c *call, v any) error {
	resp, err := a.send(ctx, c)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(resp.Body(), v); err != nil {
		return c.newError(c.failureKind(), err)
	}
	return nil
}

func formatETag(version uint64) string {
	return strconv.Quote(strconv.FormatUint(version, 10))
}

func parseETag(s string) (uint64, error) {
	t, err := strconv.Unquote(s)
	if err != nil {
		return 0, errors.Errorf("bad ETag %q", s)
	}
	return strconv.ParseUint(t, 10, 64)
}

func objectPath(name string) string { return "/v1/objects/" + escapePath(name) }

// escapePath escapes each segment of a name for use in a URL path.
func escapePath(name string) string {
	parts := strings.Split(name, "/")
	for i, p := range parts {
		parts[i] = url.PathEscape(p)
	}
	return strings.Join(parts, "/")
}
