// Package caller sends a bounded load of chat requests and measures how long
// the answers take.
package caller

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	defaultClients = 1
	defaultCount   = 1000
	defaultTime    = 10 * time.Second

	idlePerHost = 256
	median      = 0.5
	high        = 0.99
)

// Load describes a load. Zero fields get defaults.
type Load struct {
	// URL is the base URL of an engine or a daemon; Key the bearer key.
	URL, Key string
	// Model is "model@version"; Tokens bounds the answer.
	Model  string
	Tokens int
	Stream bool
	// Clients send at the same time, each its next request after an answer.
	Clients int
	// Count and Time bound the load.
	Count int
	Time  time.Duration
}

// Figures are the results of a load. Times are in microseconds.
type Figures struct {
	Answers  int     `json:"answers"`
	Failures int     `json:"failures"`
	Median   float64 `json:"median_us"`
	High     float64 `json:"p99_us"`
	// First is the median time to the first byte of the body.
	First float64 `json:"first_us"`
	// Rate is the answers a second.
	Rate float64 `json:"rate"`
}

// sample is one answer's times.
type sample struct{ first, whole time.Duration }

// Caller sends loads; its connections are kept between them.
type Caller struct {
	client http.Client
	serial atomic.Int64
}

// New returns a caller.
func New() *Caller {
	return &Caller{client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idlePerHost, DisableCompression: true}}}
}

// Run sends the load and returns its figures.
func (c *Caller) Run(ctx context.Context, l Load) Figures {
	if l.Clients <= 0 {
		l.Clients = defaultClients
	}
	if l.Count <= 0 {
		l.Count = defaultCount
	}
	if l.Time <= 0 {
		l.Time = defaultTime
	}
	ctx, cancel := context.WithTimeout(ctx, l.Time)
	defer cancel()
	var (
		wait    sync.WaitGroup
		mu      sync.Mutex
		samples []sample
		failed  int
		left    atomic.Int64
	)
	left.Store(int64(l.Count))
	start := time.Now()
	for range l.Clients {
		wait.Go(func() {
			for left.Add(-1) >= 0 && ctx.Err() == nil {
				s, err := c.send(ctx, l)
				mu.Lock()
				if err != nil && ctx.Err() == nil {
					failed++
				}
				if err == nil {
					samples = append(samples, s)
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	return figures(samples, failed, time.Since(start))
}

// send sends one request and reads its answer.
func (c *Caller) send(ctx context.Context, l Load) (sample, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"Write an itinerary."}]}`, l.Model, l.Stream, l.Tokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.URL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return sample{}, err
	}
	req.Header.Set("Authorization", "Bearer "+l.Key)
	req.Header.Set("X-Request-Id", fmt.Sprintf("load-%d-%d", time.Now().UnixNano(), c.serial.Add(1)))
	start := time.Now()
	res, err := c.client.Do(req)
	if err != nil {
		return sample{}, err
	}
	defer res.Body.Close()
	var answer bytes.Buffer
	if _, err := io.CopyN(&answer, res.Body, 1); err != nil {
		return sample{}, err
	}
	first := time.Since(start)
	if _, err := io.Copy(&answer, res.Body); err != nil {
		return sample{}, err
	}
	whole := time.Since(start)
	if res.StatusCode != http.StatusOK {
		return sample{}, fmt.Errorf("status %d: %s", res.StatusCode, answer.String())
	}
	if l.Stream && !strings.HasSuffix(answer.String(), "data: [DONE]\n\n") {
		return sample{}, fmt.Errorf("stream not whole")
	}
	return sample{first: first, whole: whole}, nil
}

// figures sums up samples taken over a time.
func figures(samples []sample, failed int, took time.Duration) Figures {
	f := Figures{Answers: len(samples), Failures: failed, Rate: float64(len(samples)) / took.Seconds()}
	var first, whole []time.Duration
	for _, s := range samples {
		first, whole = append(first, s.first), append(whole, s.whole)
	}
	f.First, f.Median, f.High = quantile(first, median), quantile(whole, median), quantile(whole, high)
	return f
}

// quantile returns the q-quantile in microseconds.
func quantile(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return float64(d[int(q*float64(len(d)-1))]) / float64(time.Microsecond)
}
