package main

import (
	"samphireturn"
	"samphireturn/internal/replay/reader"
)

const (
	teamCount = 10
	// healthyErrorRate is the share of runs of a healthy version that fail.
	healthyErrorRate = 0.003
	minuteMs         = int64(60_000)
)

type (
	// deployment holds the parameters of a generated trace.
	deployment struct {
		name       string
		seed       uint64
		requests   int
		daemons    int
		endpoints  int
		durationMs int64
		// ratingOutageMs is the start and the end of a period without ratings.
		ratingOutageMs [2]int64
		classes        []class
		versions       []version
		events         []reader.Line
		expectations   []reader.Expectation
	}

	// class holds the parameters of one class of requests.
	class struct {
		name string
		// share is the class's share of new sessions.
		share float64
		// promptTokens and outputTokens are medians; a continued session has longer
		// prompts.
		promptTokens, outputTokens int
		// meanRatings are the mean ratings, indexed by stepIndex. They vary by ratingDrift in
		// a sine wave over the trace.
		meanRatings [2]float64
		ratingDrift float64
	}

	// version holds the parameters of one model version. Every request is recorded
	// on every version.
	version struct {
		name string
		// stepIndex is 0 for the cheap model and 1 for the expensive one.
		stepIndex int
		// inputPrice and outputPrice are prices per million tokens.
		inputPrice, outputPrice float64
		// firstTokenMs is the median time to the first token, and tokensPerSecond
		// the throughput of one answer after it.
		firstTokenMs    int64
		tokensPerSecond float64
		// ratingOffset is added to the class's mean rating.
		ratingOffset float64
		// badFromMs is when the version turns faulty; zero means never. From then on
		// badErrorRate of its runs fail in addition, and worthlessRate of its
		// answers get a rating below 0.2.
		badFromMs                   int64
		badErrorRate, worthlessRate float64
	}
)

var centres = []string{"north", "middle", "south"}

// deployments are the traces that are committed in testdata.
var deployments = []deployment{
	{
		name: "counter", seed: 11, requests: 12000, daemons: 8, endpoints: 12, durationMs: 60 * minuteMs,
		ratingOutageMs: [2]int64{30 * minuteMs, 33 * minuteMs},
		classes: []class{
			{name: "reply", share: 0.55, promptTokens: 600, outputTokens: 90, meanRatings: [2]float64{0.77, 0.92}, ratingDrift: -0.02},
			{name: "itinerary", share: 0.25, promptTokens: 900, outputTokens: 500, meanRatings: [2]float64{0.70, 0.91}, ratingDrift: -0.03},
			{name: "tag", share: 0.20, promptTokens: 300, outputTokens: 8, meanRatings: [2]float64{0.90, 0.94}},
		},
		versions: []version{
			{name: "small@v1", stepIndex: 0, inputPrice: 0.1, outputPrice: 0.4, firstTokenMs: 90, tokensPerSecond: 140},
			{name: "small@v2", stepIndex: 0, inputPrice: 0.1, outputPrice: 0.4, firstTokenMs: 90, tokensPerSecond: 140, ratingOffset: 0.01, badFromMs: 20 * minuteMs, badErrorRate: 0.15, worthlessRate: 0.3},
			{name: "large@v1", stepIndex: 1, inputPrice: 2, outputPrice: 8, firstTokenMs: 320, tokensPerSecond: 60},
		},
		events: []reader.Line{
			stateLine(10*minuteMs, "small@v2", samphireturn.VersionCanary, 0.1, ""),
			badLine(20*minuteMs, "small@v2"),
			stateLine(45*minuteMs, "small@v2", samphireturn.VersionWithdrawn, 0, "v1"),
		},
		expectations: []reader.Expectation{
			atLeast("quality target", "share", 0.9),
			atMost("cost against always dear", "dear", 0.5),
			atMost("cost against hindsight", "best", 1.15),
			atMost("first token", "p95", 4000),
			atMost("exposure", "bad", 120),
		},
	},
	{
		name: "dossier", seed: 12, requests: 9000, daemons: 8, endpoints: 20, durationMs: 180 * minuteMs,
		ratingOutageMs: [2]int64{100 * minuteMs, 106 * minuteMs},
		classes: []class{
			{name: "dossier", share: 0.35, promptTokens: 4000, outputTokens: 2000, meanRatings: [2]float64{0.69, 0.91}, ratingDrift: -0.03},
			{name: "broker", share: 0.40, promptTokens: 900, outputTokens: 250, meanRatings: [2]float64{0.76, 0.92}, ratingDrift: 0.02},
			{name: "tag", share: 0.25, promptTokens: 400, outputTokens: 8, meanRatings: [2]float64{0.90, 0.94}},
		},
		versions: []version{
			{name: "small@v1", stepIndex: 0, inputPrice: 0.1, outputPrice: 0.4, firstTokenMs: 110, tokensPerSecond: 120},
			{name: "small@v2", stepIndex: 0, inputPrice: 0.1, outputPrice: 0.4, firstTokenMs: 110, tokensPerSecond: 120, badFromMs: 90 * minuteMs, badErrorRate: 0.02, worthlessRate: 0.35},
			{name: "large@v1", stepIndex: 1, inputPrice: 2, outputPrice: 8, firstTokenMs: 400, tokensPerSecond: 55},
			{name: "large@v2", stepIndex: 1, inputPrice: 2, outputPrice: 8, firstTokenMs: 380, tokensPerSecond: 60, ratingOffset: 0.01},
		},
		events: []reader.Line{
			stateLine(20*minuteMs, "small@v2", samphireturn.VersionCanary, 0.1, ""),
			stateLine(30*minuteMs, "large@v2", samphireturn.VersionCanary, 0.1, ""),
			stateLine(60*minuteMs, "small@v2", samphireturn.VersionLive, 0.5, ""),
			badLine(90*minuteMs, "small@v2"),
			stateLine(150*minuteMs, "small@v2", samphireturn.VersionWithdrawn, 0, "v1"),
		},
		expectations: []reader.Expectation{
			atLeast("quality target", "share", 0.9),
			atMost("cost against always dear", "dear", 0.5),
			atMost("cost against hindsight", "best", 1.15),
			atMost("exposure", "bad", 150),
			atMost("good canary not held", "held:large@v2", 0),
		},
	},
}

func stateLine(at int64, v, s string, share float64, successor string) reader.Line {
	return reader.Line{Kind: reader.LineState, TimeMs: at, State: &reader.VersionState{Version: v, State: s, Share: share, Successor: successor}}
}

func badLine(at int64, v string) reader.Line {
	return reader.Line{Kind: reader.LineBad, TimeMs: at, BadVersion: &reader.BadVersion{Version: v}}
}

func atLeast(name, measure string, v float64) reader.Expectation {
	return reader.Expectation{Name: name, Measure: measure, Min: &v}
}

func atMost(name, measure string, v float64) reader.Expectation {
	return reader.Expectation{Name: name, Measure: measure, Max: &v}
}
