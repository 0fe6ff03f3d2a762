package player

import (
	"os"
	"slices"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	sr "samphireturn"
	"samphireturn/internal/config/parser"
	"samphireturn/internal/replay/reader"
)

// loadTrace reads a committed trace with its configuration.
func loadTrace(t testing.TB, name string) (*sr.Config, *reader.Trace) {
	t.Helper()
	cfg, trace, err := openTrace(name)
	qt.Assert(t, err, qt.IsNil)
	return cfg, trace
}

// openTrace reads a committed trace with its configuration. Unlike loadTrace it
// needs no test.
func openTrace(name string) (*sr.Config, *reader.Trace, error) {
	data, err := os.ReadFile("../../../testdata/" + name + ".toml")
	if err != nil {
		return nil, nil, err
	}
	cfg, err := parser.Parse(name, data)
	if err != nil {
		return nil, nil, err
	}
	f, err := os.Open("../../../testdata/" + name + ".jsonl.gz")
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	trace, err := reader.Read(f)
	return cfg, trace, err
}

// smallTrace returns a configuration of a cheap and an expensive model and a trace
// of one daemon, with one request for each pair of ratings of the two models.
func smallTrace(ratings ...[2]float64) (*sr.Config, *reader.Trace) {
	cfg := &sr.Config{
		Presets: []sr.Preset{{Active: true, Aliases: []sr.Alias{{Name: "draft", Steps: []string{"s", "l"}, MinQuality: 0.7, TargetShare: 0.9}}}},
		Models: []sr.Model{
			{Name: "s", Versions: []sr.Version{{Name: "v", State: sr.VersionLive, Share: 1, OutputPrice: 1}}},
			{Name: "l", Versions: []sr.Version{{Name: "v", State: sr.VersionLive, Share: 1, OutputPrice: 10}}},
		},
		Teams: []sr.Team{{Name: "t", Models: []string{"s", "l"}}},
	}
	trace := &reader.Trace{Header: reader.Header{Daemons: []string{"d"}}}
	for i, r := range ratings {
		trace.Lines = append(trace.Lines, reader.Line{Kind: reader.LineRequest, TimeMs: int64(i) * 1000, Request: &reader.Request{
			ID: string(rune('a' + i)), Daemon: "d", Team: "t", Model: "draft", PromptTokens: 1, OutputTokens: 1,
			Runs: []reader.Run{
				{Version: "s@v", Rating: r[0], Cost: 1, FirstTokenMs: 10, LastTokenMs: 100, RatingDelayMs: 5},
				{Version: "l@v", Rating: r[1], Cost: 10, FirstTokenMs: 30, LastTokenMs: 300, RatingDelayMs: 5},
			},
		}})
	}
	return cfg, trace
}

// TestResult checks the cost, the share and the latency of each policy, and the cost
// and the share of Hindsight, on a trace small enough to compute them by hand.
func TestResult(t *testing.T) {
	cfg, trace := smallTrace([2]float64{0.9, 0.9}, [2]float64{0.1, 0.9}, [2]float64{0.1, 0.1}, [2]float64{0.1, 0.8})
	tests := []struct {
		name   string
		policy Policy
		cost   float64
		share  float64
		p99    int64
	}{
		{"configured", PolicyConfigured, 34, 0.75, 135},
		{"cheap", PolicyFirstStep, 4, 0.25, 10},
		{"dear", PolicyLastStep, 40, 0.75, 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := (&Player{Config: cfg, Trace: trace, Policy: tt.policy}).Play()
			c.Check(r.Cost, qt.Equals, tt.cost)
			c.Check(r.QualityShare, qt.Equals, tt.share)
			c.Check(r.P99, qt.Equals, tt.p99)
		})
	}
	hindsight := Hindsight(cfg, trace)
	qt.Check(t, hindsight.Cost, qt.Equals, 22.0)
	qt.Check(t, hindsight.QualityShare, qt.Equals, 0.75)
}

// TestNoLookAhead guards against a replay whose decisions depend on later lines of
// the trace: a trace cut in half gives the same results as the first half of the
// whole trace.
func TestNoLookAhead(t *testing.T) {
	c := qt.New(t)
	cfg, trace := loadTrace(t, "counter")
	half := len(trace.Lines) / 2
	before := *trace
	before.Lines = trace.Lines[:half]
	short := &Player{Config: cfg, Trace: &before}
	whole := &Player{Config: cfg, Trace: trace}
	short.Play()
	whole.Play()
	c.Assert(len(short.stats.results) > 1000, qt.IsTrue)
	c.Assert(slices.Equal(whole.stats.results[:len(short.stats.results)], short.stats.results), qt.IsTrue)
}

// TestUnknownMeasure guards against a misspelt measure in a trace, whose outcome would
// otherwise go unchecked.
func TestUnknownMeasure(t *testing.T) {
	cfg, trace := smallTrace([2]float64{1, 1})
	one := 1.0
	trace.Expectations = []reader.Expectation{{Name: "x", Measure: "beauty", Max: &one}}
	_, err := Compare(cfg, trace, 1)
	qt.Assert(t, err, qt.ErrorMatches, `.*unknown measure "beauty"`)
}

// TestStatedOutcomes checks the outcomes on quality, latency and exposure to faulty
// versions that the committed traces state.
func TestStatedOutcomes(t *testing.T) { checkStated(t, false) }

// TestStatedCosts checks the outcomes on cost that the committed traces state.
func TestStatedCosts(t *testing.T) { checkStated(t, true) }

// statedReports returns the reports of the committed traces, three seeds each.
var statedReports = sync.OnceValue(func() []*Report {
	var reports []*Report
	for _, name := range []string{"counter", "dossier"} {
		cfg, trace, err := openTrace(name)
		if err != nil {
			panic(err)
		}
		for seed := range uint64(3) {
			report, err := Compare(cfg, trace, seed)
			if err != nil {
				panic(err)
			}
			reports = append(reports, report)
		}
	}
	return reports
})

// checkStated checks the stated outcomes on cost if costs is true, otherwise all
// others.
func checkStated(t *testing.T, costs bool) {
	for i, report := range statedReports() {
		for _, o := range report.Outcomes {
			if cost := o.Measure == "best" || o.Measure == "dear"; cost == costs {
				qt.Check(t, o.Met, qt.IsTrue, qt.Commentf("%s, seed %d: %s: %s is %.3f", report.Trace, i%3, o.Name, o.Measure, o.Value))
			}
		}
	}
}
