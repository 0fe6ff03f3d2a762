package main

import (
	"samphireturn"
	"samphireturn/internal/replay/reader"
)

const (
	teams = 10
	// errorShare is the share of runs of a healthy version that fail.
	errorShare = 0.003
	minute     = int64(60_000) // milliseconds
)

type (
	// deployment is what a trace is drawn from.
	deployment struct {
		name      string
		seed      uint64
		requests  int
		daemons   int
		endpoints int
		// length is in milliseconds, as are the bounds of the rating outage.
		length   int64
		outage   [2]int64
		classes  []class
		versions []version
		events   []reader.Line
		expects  []reader.Expect
	}

	// class is a kind of request.
	class struct {
		name           string
		share          float64
		prompt, output int
		// rating is the mean rating of the cheap and of the dear model; drift is
		// how far it moves over the trace.
		rating [2]float64
		drift  float64
	}

	// version is a version that all requests are recorded on.
	version struct {
		name          string
		step          int
		input, output float64
		// first is the median time to the first token in milliseconds, speed the
		// tokens a second of one answer.
		first int64
		speed float64
		// lift is added to the class's mean rating.
		lift float64
		// bad is when the version turns bad, in milliseconds; errors is then the
		// share of failed runs and poor that of worthless answers.
		bad          int64
		errors, poor float64
	}
)

var centres = []string{"north", "middle", "south"}

// deployments are the traces that are committed.
var deployments = []deployment{
	{
		name: "counter", seed: 11, requests: 12000, daemons: 8, endpoints: 12, length: 60 * minute,
		outage: [2]int64{30 * minute, 33 * minute},
		classes: []class{
			{name: "reply", share: 0.55, prompt: 600, output: 90, rating: [2]float64{0.77, 0.92}, drift: -0.02},
			{name: "itinerary", share: 0.25, prompt: 900, output: 500, rating: [2]float64{0.70, 0.91}, drift: -0.03},
			{name: "tag", share: 0.20, prompt: 300, output: 8, rating: [2]float64{0.90, 0.94}},
		},
		versions: []version{
			{name: "small@v1", step: 0, input: 0.1, output: 0.4, first: 90, speed: 140},
			{name: "small@v2", step: 0, input: 0.1, output: 0.4, first: 90, speed: 140, lift: 0.01, bad: 20 * minute, errors: 0.15, poor: 0.3},
			{name: "large@v1", step: 1, input: 2, output: 8, first: 320, speed: 60},
		},
		events: []reader.Line{
			state(10*minute, "small@v2", samphireturn.VersionCanary, 0.1, ""),
			bad(20*minute, "small@v2"),
			state(45*minute, "small@v2", samphireturn.VersionWithdrawn, 0, "v1"),
		},
		expects: []reader.Expect{
			least("quality target", "share", 0.9),
			most("cost against always dear", "dear", 0.5),
			most("cost against hindsight", "best", 1.15),
			most("first token", "p95", 4000),
			most("exposure", "bad", 120),
		},
	},
	{
		name: "dossier", seed: 12, requests: 9000, daemons: 8, endpoints: 20, length: 180 * minute,
		outage: [2]int64{100 * minute, 106 * minute},
		classes: []class{
			{name: "dossier", share: 0.35, prompt: 4000, output: 2000, rating: [2]float64{0.69, 0.91}, drift: -0.03},
			{name: "broker", share: 0.40, prompt: 900, output: 250, rating: [2]float64{0.76, 0.92}, drift: 0.02},
			{name: "tag", share: 0.25, prompt: 400, output: 8, rating: [2]float64{0.90, 0.94}},
		},
		versions: []version{
			{name: "small@v1", step: 0, input: 0.1, output: 0.4, first: 110, speed: 120},
			{name: "small@v2", step: 0, input: 0.1, output: 0.4, first: 110, speed: 120, bad: 90 * minute, errors: 0.02, poor: 0.35},
			{name: "large@v1", step: 1, input: 2, output: 8, first: 400, speed: 55},
			{name: "large@v2", step: 1, input: 2, output: 8, first: 380, speed: 60, lift: 0.01},
		},
		events: []reader.Line{
			state(20*minute, "small@v2", samphireturn.VersionCanary, 0.1, ""),
			state(30*minute, "large@v2", samphireturn.VersionCanary, 0.1, ""),
			state(60*minute, "small@v2", samphireturn.VersionLive, 0.5, ""),
			bad(90*minute, "small@v2"),
			state(150*minute, "small@v2", samphireturn.VersionWithdrawn, 0, "v1"),
		},
		expects: []reader.Expect{
			least("quality target", "share", 0.9),
			most("cost against always dear", "dear", 0.5),
			most("cost against hindsight", "best", 1.15),
			most("exposure", "bad", 150),
			most("good canary not held", "held:large@v2", 0),
		},
	},
}

func state(at int64, v, s string, share float64, successor string) reader.Line {
	return reader.Line{Kind: reader.LineState, Time: at, State: &reader.State{Version: v, State: s, Share: share, Successor: successor}}
}

func bad(at int64, v string) reader.Line {
	return reader.Line{Kind: reader.LineBad, Time: at, Bad: &reader.Bad{Version: v}}
}

func least(name, measure string, v float64) reader.Expect {
	return reader.Expect{Name: name, Measure: measure, Min: &v}
}

func most(name, measure string, v float64) reader.Expect {
	return reader.Expect{Name: name, Measure: measure, Max: &v}
}
