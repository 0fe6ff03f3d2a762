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

// load reads a committed trace with its configuration.
func load(t testing.TB, name string) (*sr.Config, *reader.Trace) {
	t.Helper()
	cfg, trace, err := open(name)
	qt.Assert(t, err, qt.IsNil)
	return cfg, trace
}

// open reads a committed trace with its configuration.
func open(name string) (*sr.Config, *reader.Trace, error) {
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

// small returns a configuration of two models and a trace of one daemon whose
// runs are given as cheap rating, dear rating.
func small(ratings ...[2]float64) (*sr.Config, *reader.Trace) {
	cfg := &sr.Config{
		Presets: []sr.Preset{{Active: true, Aliases: []sr.Alias{{Name: "draft", Steps: []string{"s", "l"}, MinQuality: 0.7, TargetShare: 0.9}}}},
		Models: []sr.Model{
			{Name: "s", Versions: []sr.Version{{Name: "v", State: sr.VersionLive, Share: 1, OutputPrice: 1}}},
			{Name: "l", Versions: []sr.Version{{Name: "v", State: sr.VersionLive, Share: 1, OutputPrice: 10}}},
		},
		Teams: []sr.Team{{Name: "t", Models: []string{"s", "l"}}},
	}
	trace := &reader.Trace{Head: reader.Head{Daemons: []string{"d"}}}
	for i, r := range ratings {
		trace.Lines = append(trace.Lines, reader.Line{Kind: reader.LineRequest, Time: int64(i) * 1000, Request: &reader.Request{
			ID: string(rune('a' + i)), Daemon: "d", Team: "t", Model: "draft", Prompt: 1, Output: 1,
			Runs: []reader.Run{
				{Version: "s@v", Rating: r[0], Cost: 1, First: 10, Whole: 100, Late: 5},
				{Version: "l@v", Rating: r[1], Cost: 10, First: 30, Whole: 300, Late: 5},
			},
		}})
	}
	return cfg, trace
}

func TestAccount(t *testing.T) {
	cfg, trace := small([2]float64{0.9, 0.9}, [2]float64{0.1, 0.9}, [2]float64{0.1, 0.1}, [2]float64{0.1, 0.8})
	tests := []struct {
		name   string
		policy Policy
		cost   float64
		share  float64
		p99    int64
	}{
		{"judged", Configured, 34, 0.75, 135},
		{"cheap", Cheap, 4, 0.25, 10},
		{"dear", Dear, 40, 0.75, 30},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			r := (&Player{Config: cfg, Trace: trace, Policy: tt.policy}).Play()
			c.Check(r.Cost, qt.Equals, tt.cost)
			c.Check(r.Share, qt.Equals, tt.share)
			c.Check(r.P99, qt.Equals, tt.p99)
		})
	}
	best := Hindsight(cfg, trace)
	qt.Check(t, best.Cost, qt.Equals, 22.0)
	qt.Check(t, best.Share, qt.Equals, 0.75)
}

// TestNoLookAhead changes what a trace records after a time and checks that no
// decision before it changes.
func TestNoLookAhead(t *testing.T) {
	c := qt.New(t)
	cfg, trace := load(t, "counter")
	half := len(trace.Lines) / 2
	before := *trace
	before.Lines = trace.Lines[:half]
	short := &Player{Config: cfg, Trace: &before}
	whole := &Player{Config: cfg, Trace: trace}
	short.Play()
	whole.Play()
	c.Assert(len(short.account.entries) > 1000, qt.IsTrue)
	c.Assert(slices.Equal(whole.account.entries[:len(short.account.entries)], short.account.entries), qt.IsTrue)
}

func TestUnknownMeasure(t *testing.T) {
	cfg, trace := small([2]float64{1, 1})
	one := 1.0
	trace.Expects = []reader.Expect{{Name: "x", Measure: "beauty", Max: &one}}
	_, err := Compare(cfg, trace, 1)
	qt.Assert(t, err, qt.ErrorMatches, `.*unknown measure "beauty"`)
}

// TestStatedOutcomes checks the outcomes that the committed traces state on
// quality, latency and exposure.
func TestStatedOutcomes(t *testing.T) { checkStated(t, false) }

// TestStatedCosts checks the outcomes that the committed traces state on cost.
func TestStatedCosts(t *testing.T) { checkStated(t, true) }

// stated are the reports of the committed traces, three seeds each.
var stated = sync.OnceValue(func() []*Report {
	var reports []*Report
	for _, name := range []string{"counter", "dossier"} {
		cfg, trace, err := open(name)
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

// checkStated checks the stated outcomes, those on cost or the others.
func checkStated(t *testing.T, costs bool) {
	for i, report := range stated() {
		for _, o := range report.Outcomes {
			if cost := o.Measure == "best" || o.Measure == "dear"; cost == costs {
				qt.Check(t, o.Kept, qt.IsTrue, qt.Commentf("%s, seed %d: %s: %s is %.3f", report.Trace, i%3, o.Name, o.Measure, o.Value))
			}
		}
	}
}
