// Package meter defines the Prometheus metrics of the forwarding daemon and serves
// them over HTTP, together with the expvar variables of all packages.
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

// maxRouteLabels bounds the routes with time series of their own; all others are
// counted as route "other".
const maxRouteLabels = 100

// Values of the label outcome of requests.
const (
	OutcomeServed     = "served"
	OutcomeFailed     = "failed"
	OutcomeRefused    = "refused"
	OutcomeBroken     = "broken"
	OutcomeCallerLeft = "left"
)

// Values of the label outcome of pauses.
const (
	PauseBegun   = "begun"
	PauseBounded = "bounded"
	PauseIgnored = "ignored"
)

// Values of the label outcome of limits.
const (
	LimitBegun   = "begun"
	LimitEnded   = "ended"
	LimitIgnored = "ignored"
)

// Values of the label outcome of brittle endpoints.
const (
	BrittleBegun   = "begun"
	BrittleEnded   = "ended"
	BrittleIgnored = "ignored"
)

// Values of the label outcome of suspicions.
const (
	SuspicionMisdirected = "misdirected"
	SuspicionBegun       = "begun"
	SuspicionConfirmed   = "confirmed"
	SuspicionEnded       = "ended"
)

// Values of the label outcome of isolations.
const (
	IsolationBegun = "begun"
	IsolationEnded = "ended"
)

// Values of the label outcome of losses of the link to endpoints.
const (
	LinkLost     = "lost"
	LinkRegained = "regained"
)

// Values of the label outcome of attempts by way of peers.
const (
	PeerServed  = "served"
	PeerRefused = "refused"
	PeerLost    = "lost"
)

// Values of the label outcome of requests that waited at the daemon, beside the kinds of the
// queue's errors and the reasons of refusals.
const (
	QueueSent       = "sent"
	QueueNoEndpoint = "no_endpoint"
)

// durationBuckets are the upper bounds of all histograms in seconds. They range from
// a short plain request to a long stream.
var durationBuckets = []float64{.005, .01, .025, .05, .1, .2, .3, .5, 1, 2, 4, 8, 16, 30}

var (
	requests       = newCounterVec("samphireturn_requests_total", "Requests by route and outcome.", "route", "outcome")
	refusals       = newCounterVec("samphireturn_refusals_total", "Refusals by reason.", "reason")
	attempts       = newCounterVec("samphireturn_sends_total", "Sends to endpoints by route, number of the send and outcome.", "route", "attempt", "outcome")
	firstResponses = newHistogramVec("samphireturn_first_seconds", "Time to the first event or the head of an answer.", "route")
	responses      = newHistogramVec("samphireturn_answer_seconds", "Time to the end of an answer.", "route", "outcome")
	eventGaps      = newHistogramVec("samphireturn_pause_seconds", "Pauses between events.", "route")
	sourceCalls    = newHistogramVec("samphireturn_source_seconds", "Calls to the source of tables, endpoints and members.", "topic", "outcome")

	departures   = newCounterVec("samphireturn_departures_total", "Endpoints that announced in an answer that they leave, by who received it.", "source")
	pauses       = newCounterVec("samphireturn_pauses_total", "Pauses that endpoints asked for by outcome.", "outcome")
	brittle      = newCounterVec("samphireturn_brittle_total", "Endpoints that said that they end if they turn away too many requests, by outcome.", "outcome")
	limits       = newCounterVec("samphireturn_limits_total", "Limits of the rate of requests that endpoints named, by outcome.", "outcome")
	loadsIgnored = newCounterVec("samphireturn_loads_ignored_total", "Reports of endpoints' load and pace that were malformed.")
	retries      = newGaugeVec("samphireturn_window_retries", "Retries of the last window of the bound on them: made, and allowed by its requests.", "pool", "value")
	paces        = newGaugeVec("samphireturn_endpoint_paces", "Endpoints that report their pace, by the pace in use.", "pace")
	crashes      = newCounterVec("samphireturn_crashes_total", "Requests that endpoints may have been running when they crashed, by who sent them.", "source")
	isolations   = newCounterVec("samphireturn_isolations_total", "Isolations of requests and prompt parts by outcome.", "outcome")
	suspicions   = newCounterVec("samphireturn_suspicions_total", "Answers of other instances than the addressed ones, and suspicions that the endpoints of a data centre are gone, by outcome.", "outcome")

	peerAttempts = newCounterVec("samphireturn_peer_attempts_total", "Attempts by way of another daemon by outcome.", "outcome")
	links        = newCounterVec("samphireturn_links_total", "Losses of the link to all endpoints by outcome.", "outcome")

	queued     = newCounterVec("samphireturn_queued_total", "Requests that were to wait at the daemon by rank, team and outcome.", "rank", "team", "outcome")
	queueWaits = newHistogramVec("samphireturn_queue_seconds", "Time for which requests waited at the daemon.", "rank", "team")

	teamLabels  = &labelValues{known: make(map[string]bool)}
	routeLabels = &labelValues{known: make(map[string]bool)}
)

// labelValues bounds the number of distinct values of a label.
type labelValues struct {
	mu    sync.Mutex
	known map[string]bool
}

// bound returns name, or "other" if name is new and maxRouteLabels names are known.
func (n *labelValues) bound(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.known[name] && len(n.known) >= maxRouteLabels {
		return "other"
	}
	n.known[name] = true
	return name
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
	prometheus.MustRegister(v)
	return v
}

func newGaugeVec(name, help string, labels ...string) *prometheus.GaugeVec {
	v := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: name, Help: help}, labels)
	prometheus.MustRegister(v)
	return v
}

func newHistogramVec(name, help string, labels ...string) *prometheus.HistogramVec {
	v := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: durationBuckets}, labels)
	prometheus.MustRegister(v)
	return v
}

// ObserveRequest counts a request that ended and records its total time.
func ObserveRequest(route, outcome string, took time.Duration) {
	route = routeLabels.bound(route)
	requests.WithLabelValues(route, outcome).Inc()
	responses.WithLabelValues(route, outcome).Observe(took.Seconds())
}

// CountRefusal counts a request that was refused or failed, by its reason.
func CountRefusal(reason string) { refusals.WithLabelValues(reason).Inc() }

// CountAttempt counts an attempt, one try of a request at one endpoint.
func CountAttempt(route string, attempt int, outcome string) {
	attempts.WithLabelValues(routeLabels.bound(route), strconv.Itoa(attempt), outcome).Inc()
}

// ObserveFirstResponse records the time to the first event or the head of an answer.
func ObserveFirstResponse(route string, took time.Duration) {
	firstResponses.WithLabelValues(routeLabels.bound(route)).Observe(took.Seconds())
}

// ObserveEventGap records the time between two events of a stream.
func ObserveEventGap(route string, took time.Duration) {
	eventGaps.WithLabelValues(routeLabels.bound(route)).Observe(took.Seconds())
}

// ObserveSourceCall records the time of a call to the samphireturn.Source.
func ObserveSourceCall(topic, outcome string, took time.Duration) {
	sourceCalls.WithLabelValues(topic, outcome).Observe(took.Seconds())
}

// CountDeparture counts an endpoint that announced in an answer that it leaves. heard is
// true if another daemon received the answer.
func CountDeparture(heard bool) {
	departures.WithLabelValues(source(heard)).Inc()
}

// CountCrash counts a request that an endpoint may have been running when it crashed. heard is
// true if another daemon sent it.
func CountCrash(heard bool) { crashes.WithLabelValues(source(heard)).Inc() }

// CountIsolation counts an isolation of a request or a prompt part, by one of the Isolation constants.
func CountIsolation(outcome string) { isolations.WithLabelValues(outcome).Inc() }

// source returns the value of the label source.
func source(heard bool) string {
	if heard {
		return "peer"
	}
	return "answer"
}

// CountPause counts a pause that an endpoint asked for, by one of the Pause constants.
func CountPause(outcome string) { pauses.WithLabelValues(outcome).Inc() }

// CountLimit counts a limit that an endpoint named, by one of the Limit constants.
func CountLimit(outcome string) { limits.WithLabelValues(outcome).Inc() }

// CountLoadIgnored counts a malformed report of an endpoint's load.
func CountLoadIgnored() { loadsIgnored.WithLabelValues().Inc() }

// SetRetries sets the numbers of retries to a pool that were made and allowed in the last window.
func SetRetries(pool string, made int, allowed float64) {
	retries.WithLabelValues(pool, "made").Set(float64(made))
	retries.WithLabelValues(pool, "allowed").Set(allowed)
}

// SetPaces sets the numbers of endpoints that report their pace and are fast, usual or slow by it.
func SetPaces(fast, usual, slow int) {
	paces.WithLabelValues("fast").Set(float64(fast))
	paces.WithLabelValues("usual").Set(float64(usual))
	paces.WithLabelValues("slow").Set(float64(slow))
}

// CountSuspicion counts an answer of another instance than the addressed one, or a change of a
// suspicion that follows from it, by one of the Suspicion constants.
func CountSuspicion(outcome string) { suspicions.WithLabelValues(outcome).Inc() }

// CountLink counts a loss of the link to endpoints or its end, by one of the Link constants.
func CountLink(outcome string) { links.WithLabelValues(outcome).Inc() }

// CountPeerAttempt counts an attempt by way of another daemon, by one of the Peer constants.
func CountPeerAttempt(outcome string) { peerAttempts.WithLabelValues(outcome).Inc() }

// ObserveQueued counts a request that was to wait at the daemon and records how long it waited.
func ObserveQueued(rank int, team, outcome string, waited time.Duration) {
	team = teamLabels.bound(team)
	queued.WithLabelValues(strconv.Itoa(rank), team, outcome).Inc()
	queueWaits.WithLabelValues(strconv.Itoa(rank), team).Observe(waited.Seconds())
}

// CountBrittle counts an endpoint that said that it is brittle, or no longer does, by one of
// the Brittle constants.
func CountBrittle(outcome string) { brittle.WithLabelValues(outcome).Inc() }

// Handler returns a handler that serves the Prometheus metrics at /metrics and the
// expvar variables at /debug/vars.
func Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.Handler())
	mux.Handle("/debug/vars", expvar.Handler())
	return mux
}
