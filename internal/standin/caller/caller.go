// Package caller sends a bounded number of chat requests and measures the latency
// of the answers.
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
	defaultClients  = 1
	defaultRequests = 1000
	defaultMaxTime  = 10 * time.Second

	maxIdlePerHost = 256
	median         = 0.5
	p99            = 0.99
)

// Load describes a load. Zero values of Clients, Requests and MaxTime mean 1, 1000 and
// 10 s.
type Load struct {
	// URL is the base URL of an engine or a daemon, Key the bearer key.
	URL, Key string
	// Model is "model@version"; MaxTokens bounds the tokens of an answer.
	Model     string
	MaxTokens int
	Stream    bool
	// Clients is the number of concurrent clients, each with one request in flight.
	Clients int
	// Requests and MaxTime bound the load.
	Requests int
	MaxTime  time.Duration
}

// Stats are the results of a load. Times are in microseconds.
type Stats struct {
	Answers  int     `json:"answers"`
	Failures int     `json:"failures"`
	Median   float64 `json:"median_us"`
	P99      float64 `json:"p99_us"`
	// FirstByte is the median time to the first byte of the body.
	FirstByte        float64 `json:"first_us"`
	AnswersPerSecond float64 `json:"rate"`
}

// latency is the time to an answer's first byte and to its end.
type latency struct{ firstByte, total time.Duration }

// Caller sends loads. It keeps idle connections from one load to the next.
type Caller struct {
	client   http.Client
	requests atomic.Int64
}

// New returns a caller.
func New() *Caller {
	return &Caller{client: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdlePerHost, DisableCompression: true}}}
}

// Run sends the load and returns its results. Requests in flight when MaxTime ends
// count neither as answers nor as failures.
func (c *Caller) Run(ctx context.Context, l Load) Stats {
	if l.Clients <= 0 {
		l.Clients = defaultClients
	}
	if l.Requests <= 0 {
		l.Requests = defaultRequests
	}
	if l.MaxTime <= 0 {
		l.MaxTime = defaultMaxTime
	}
	ctx, cancel := context.WithTimeout(ctx, l.MaxTime)
	defer cancel()
	var (
		wg        sync.WaitGroup
		mu        sync.Mutex
		latencies []latency
		failed    int
		remaining atomic.Int64
	)
	remaining.Store(int64(l.Requests))
	start := time.Now()
	for range l.Clients {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 && ctx.Err() == nil {
				s, err := c.send(ctx, l)
				mu.Lock()
				if err != nil && ctx.Err() == nil {
					failed++
				}
				if err == nil {
					latencies = append(latencies, s)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return summarize(latencies, failed, time.Since(start))
}

// send sends one request and reads the whole answer.
func (c *Caller) send(ctx context.Context, l Load) (latency, error) {
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":"Write an itinerary."}]}`, l.Model, l.Stream, l.MaxTokens)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.URL+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return latency{}, err
	}
	req.Header.Set("Authorization", "Bearer "+l.Key)
	req.Header.Set("X-Request-Id", fmt.Sprintf("load-%d-%d", time.Now().UnixNano(), c.requests.Add(1)))
	start := time.Now()
	res, err := c.client.Do(req)
	if err != nil {
		return latency{}, err
	}
	defer res.Body.Close()
	var answer bytes.Buffer
	if _, err := io.CopyN(&answer, res.Body, 1); err != nil {
		return latency{}, err
	}
	firstByte := time.Since(start)
	if _, err := io.Copy(&answer, res.Body); err != nil {
		return latency{}, err
	}
	total := time.Since(start)
	if res.StatusCode != http.StatusOK {
		return latency{}, fmt.Errorf("status %d: %s", res.StatusCode, answer.String())
	}
	if l.Stream && !strings.HasSuffix(answer.String(), "data: [DONE]\n\n") {
		return latency{}, fmt.Errorf("stream ended without [DONE]")
	}
	return latency{firstByte: firstByte, total: total}, nil
}

// summarize returns the results of a load that took elapsed.
func summarize(latencies []latency, failed int, elapsed time.Duration) Stats {
	f := Stats{Answers: len(latencies), Failures: failed, AnswersPerSecond: float64(len(latencies)) / elapsed.Seconds()}
	var firstBytes, totals []time.Duration
	for _, s := range latencies {
		firstBytes, totals = append(firstBytes, s.firstByte), append(totals, s.total)
	}
	f.FirstByte, f.Median, f.P99 = quantile(firstBytes, median), quantile(totals, median), quantile(totals, p99)
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
