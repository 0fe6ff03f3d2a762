// Package meter holds the counters and histograms of the forwarding daemon and
// serves them, with the counters of all other packages, as text.
package meter

import (
	"expvar"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// routeLimit bounds the routes with series of their own; the others share one.
const routeLimit = 100

// Outcomes of requests.
const (
	OutcomeServed     = "served"
	OutcomeFailed     = "failed"
	OutcomeRefused    = "refused"
	OutcomeBroken     = "broken"
	OutcomeCallerLeft = "left"
)

// buckets are upper bounds in seconds, from a plain call to a long stream.
var buckets = []float64{.005, .01, .025, .05, .1, .2, .3, .5, 1, 2, 4, 8, 16, 30}

var (
	requests = vector("samphireturn_requests_total", "Requests by route and outcome.", "route", "outcome")
	reasons  = vector("samphireturn_refusals_total", "Refusals by reason.", "reason")
	sends    = vector("samphireturn_sends_total", "Sends to endpoints by route, number of the send and outcome.", "route", "attempt", "outcome")
	first    = histogram("samphireturn_first_seconds", "Time to the first event or the head of an answer.", "route")
	whole    = histogram("samphireturn_answer_seconds", "Time to the end of an answer.", "route", "outcome")
	pauses   = histogram("samphireturn_pause_seconds", "Pauses between events.", "route")
	calls    = histogram("samphireturn_source_seconds", "Calls to the source of tables, endpoints and members.", "topic", "outcome")

	routes = &names{known: make(map[string]bool)}
)

// names bounds the values of a label.
type names struct {
	mu    sync.Mutex
	known map[string]bool
}

// of returns the name, or "other" once too many are known.
func (n *names) of(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.known[name] && len(n.known) >= routeLimit {
		return "other"
	}
	n.known[name] = true
	return name
}

func vector(name, help string, labels ...string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	prometheus.MustRegister(v)
	return v
}

func histogram(name, help string, labels ...string) *prometheus.HistogramVec {
	v := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
	prometheus.MustRegister(v)
	return v
}

// ObserveRequest counts a request that ended.
func ObserveRequest(route, outcome string, took time.Duration) {
	route = routes.of(route)
	requests.WithLabelValues(route, outcome).Inc()
	whole.WithLabelValues(route, outcome).Observe(took.Seconds())
}

// CountRefusal counts a refusal.
func CountRefusal(reason string) { reasons.WithLabelValues(reason).Inc() }

// CountAttempt counts a send to an endpoint.
func CountAttempt(route string, attempt int, outcome string) {
	sends.WithLabelValues(routes.of(route), strconv.Itoa(attempt), outcome).Inc()
}

// ObserveFirst notes the time to the first event or the head of an answer.
func ObserveFirst(route string, took time.Duration) {
	first.WithLabelValues(routes.of(route)).Observe(took.Seconds())
}

// ObserveEventGap notes a pause between events.
func ObserveEventGap(route string, took time.Duration) {
	pauses.WithLabelValues(routes.of(route)).Observe(took.Seconds())
}

// ObserveSourceCall notes a call to the source.
func ObserveSourceCall(topic, outcome string, took time.Duration) {
	calls.WithLabelValues(topic, outcome).Observe(took.Seconds())
}

// Handler serves the series, and the counters of expvar at /debug/vars.
func Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.Handler())
	mux.Handle("/debug/vars", expvar.Handler())
	return mux
}
