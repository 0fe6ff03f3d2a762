package cascader

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
)

var (
	cheap = Step{Version: samphireturn.VersionRef{Model: "small", Version: "v1"}, InputPrice: 1, OutputPrice: 1}
	dear  = Step{Version: samphireturn.VersionRef{Model: "large", Version: "v1"}, InputPrice: 10, OutputPrice: 10}
	other = Step{Version: samphireturn.VersionRef{Model: "small", Version: "v2"}, InputPrice: 1, OutputPrice: 1}
	alias = samphireturn.Alias{MinQuality: 0.7, TargetShare: 0.9}
	ask   = samphireturn.Request{Team: "t", Class: "k", PromptTokens: 1000, OutputTokens: 1000}
)

func names(p Plan) string {
	out := ""
	for _, s := range p.Steps {
		out += s.Version.Model + "@" + s.Version.Version + " "
	}
	return out
}

// newCascader returns a cascader with a clock that the test moves.
func newCascader() (*Cascader, *time.Time) {
	now := time.Unix(1000, 0)
	return &Cascader{Now: func() time.Time { return now }, Rand: func() float64 { return 0.5 }}, &now
}

// teach learns n ratings of a step, of which the given number passes.
func teach(c *Cascader, s Step, n, passed int, after bool, delay time.Duration) {
	for i := range n {
		o := Outcome{Team: "t", Class: "k", Version: s.Version, MinQuality: 0.7, AfterFailure: after, Rated: true, Rating: 0.2, Delay: delay}
		o.Cost = 2000 * s.InputPrice / million
		if i < passed {
			o.Rating = 0.9
		}
		c.RecordOutcome(o)
	}
}

func TestPlan(t *testing.T) {
	const both, small, large = "small@v1 large@v1 ", "small@v1 ", "large@v1 "
	tests := []struct {
		name    string
		passed  int // of 100 ratings of the cheap step
		alias   samphireturn.Alias
		class   string
		taught  Step
		noJudge bool
		explore float64
		want    string
	}{
		{name: "nothing known yet", alias: alias, class: "new", taught: cheap, want: both},
		{name: "cheap passes often", passed: 70, alias: alias, class: "k", taught: cheap, want: both},
		{name: "cheap meets the target alone", passed: 99, alias: alias, class: "k", taught: cheap, want: small},
		{name: "cheap seldom passes", passed: 5, alias: alias, class: "k", taught: cheap, want: large},
		{name: "judging takes too long", passed: 70, alias: samphireturn.Alias{MinQuality: 0.7, TargetShare: 0.9, MaxDelayMs: 900}, class: "k", taught: cheap, want: large},
		{name: "judging is quick enough", passed: 70, alias: samphireturn.Alias{MinQuality: 0.7, TargetShare: 0.9, MaxDelayMs: 1000}, class: "k", taught: cheap, want: both},
		{name: "no judge", passed: 70, alias: alias, class: "k", taught: cheap, noJudge: true, want: large},
		{name: "no judge and cheap is good", passed: 99, alias: alias, class: "k", taught: cheap, noJudge: true, want: small},
		{name: "ratings of another version", passed: 100, alias: alias, class: "k", taught: other, want: both},
		{name: "ratings of another class", passed: 100, alias: alias, class: "z", taught: cheap, want: both},
		{name: "ratings at another bar", passed: 100, alias: samphireturn.Alias{MinQuality: 0.8, TargetShare: 0.9}, class: "k", taught: cheap, want: both},
		{name: "no exploration while fresh", passed: 5, alias: alias, class: "k", taught: cheap, explore: 0.6, want: large},
		{name: "target out of reach", passed: 50, alias: samphireturn.Alias{MinQuality: 0.7, TargetShare: 1}, class: "k", taught: cheap, want: both},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, _ := newCascader()
			teach(c, tt.taught, 100, tt.passed, false, time.Second)
			teach(c, dear, 100, 97, false, 3*time.Second)
			teach(c, dear, 100, 95, true, 3*time.Second)
			r := ask
			r.Class = tt.class
			p := c.Plan(&r, &tt.alias, []Step{cheap, dear}, !tt.noJudge, tt.explore)
			qt.Assert(t, names(p), qt.Equals, tt.want)
		})
	}
}

// TestPlanReachesWhatItsStepsDo checks that a few failed ratings of the dear
// step after the cheap one do not make the dear step alone look better.
func TestPlanReachesWhatItsStepsDo(t *testing.T) {
	k, _ := newCascader()
	teach(k, cheap, 100, 30, false, time.Second)
	teach(k, dear, 100, 97, false, time.Second)
	teach(k, dear, 6, 3, true, time.Second)
	p := k.Plan(&ask, &alias, []Step{cheap, dear}, true, 0)
	qt.Check(t, names(p), qt.Equals, "small@v1 large@v1 ")
	qt.Check(t, p.Reach >= 0.95, qt.IsTrue, qt.Commentf("%.3f", p.Reach))
}

// TestFollow checks that answers of requests that only one step can run are
// rated until enough is known, and that they count for their own estimate.
func TestFollow(t *testing.T) {
	c := qt.New(t)
	k, now := newCascader()
	follow := func() bool { return k.PlanPinned(&ask, &alias, cheap).RateAfterRelease }
	c.Check(follow(), qt.IsTrue)
	kept := Outcome{Team: "t", Class: "k", Version: cheap.Version, MinQuality: 0.7, Pinned: true, Rated: true, Rating: 0.9}
	for range enough {
		k.RecordOutcome(kept)
	}
	c.Check(follow(), qt.IsFalse)
	c.Check(names(k.Plan(&ask, &alias, []Step{cheap, dear}, true, 0)), qt.Equals, "small@v1 large@v1 ")
	*now = now.Add(defaultHalfLife)
	c.Check(follow(), qt.IsTrue)
	for range failLimit {
		k.RecordRatingInTime(false)
	}
	c.Check(follow(), qt.IsFalse)
}

// TestRateThinEstimates checks that answers of the last step are rated after
// release until enough ratings are known.
func TestRateThinEstimates(t *testing.T) {
	c := qt.New(t)
	k, _ := newCascader()
	teach(k, cheap, 100, 50, false, time.Second)
	plan := func() Plan { return k.Plan(&ask, &alias, []Step{cheap, dear}, true, 0) }
	c.Check(plan().RateAfterRelease, qt.IsTrue)
	teach(k, dear, enough, enough, false, time.Second)
	c.Check(plan().RateAfterRelease, qt.IsTrue)
	teach(k, dear, enough, enough, true, time.Second)
	c.Check(plan().RateAfterRelease, qt.IsFalse)
}

func TestExploreStale(t *testing.T) {
	c := qt.New(t)
	k, now := newCascader()
	teach(k, cheap, 100, 0, false, time.Second)
	teach(k, dear, 100, 99, false, time.Second)
	*now = now.Add(defaultStale)
	draws := rand.New(rand.NewPCG(1, 1))
	k.Rand = draws.Float64
	tried := 0
	for range 10000 {
		if p := k.Plan(&ask, &alias, []Step{cheap, dear}, true, 0.05); len(p.Steps) == 2 {
			tried++
		}
	}
	c.Assert(tried > 400 && tried < 600, qt.IsTrue, qt.Commentf("%d", tried))
	c.Assert(names(k.Plan(&ask, &alias, []Step{cheap, dear}, false, 1)), qt.Equals, "large@v1 ")
	slow := alias
	slow.MaxDelayMs = 900
	c.Assert(names(k.Plan(&ask, &slow, []Step{cheap, dear}, true, 1)), qt.Equals, "large@v1 ")
}

func TestBoundedMemory(t *testing.T) {
	c := qt.New(t)
	k, _ := newCascader()
	k.Max = 10
	for i := range 100 {
		k.RecordOutcome(Outcome{Team: "t", Class: fmt.Sprint(i), Version: cheap.Version})
	}
	c.Assert(len(k.known), qt.Equals, 10)
	c.Assert(k.recent.Len(), qt.Equals, 10)
	c.Assert(k.known[key{team: "t", class: "99", version: cheap.Version}], qt.IsNotNil)
}

// TestCostAtTarget runs classes of unlike difficulty with late ratings and
// compares the cost with that of always dear and of the best in hindsight.
func TestCostAtTarget(t *testing.T) {
	c := qt.New(t)
	k, now := newCascader()
	r := rand.New(rand.NewPCG(4, 2))
	k.Rand = r.Float64
	pass := map[string][2]float64{"easy": {0.97, 0.99}, "mixed": {0.6, 0.97}, "hard": {0.03, 0.95}}
	classes := []string{"easy", "mixed", "hard"}
	var cost, always, best float64
	good, n := 0, 30000
	var late []Outcome
	for range n {
		*now = now.Add(100 * time.Millisecond)
		class := classes[r.IntN(3)]
		oks := map[Step]bool{cheap: r.Float64() < pass[class][0], dear: r.Float64() < pass[class][1]}
		req := ask
		req.Class = class
		plan := k.Plan(&req, &alias, []Step{cheap, dear}, true, 0.05)
		ok := false
		for j, s := range plan.Steps {
			o := Outcome{Team: "t", Class: class, Version: s.Version, MinQuality: 0.7, AfterFailure: j > 0, Cost: 2000 * s.InputPrice / million, Delay: time.Second}
			cost += o.Cost
			ok = oks[s]
			if o.Rated = j < len(plan.Steps)-1 || plan.RateAfterRelease; ok {
				o.Rating = 1
			}
			late = append(late, o)
			if ok {
				break
			}
		}
		for len(late) > 200 {
			k.RecordOutcome(late[0])
			late = late[1:]
		}
		if ok {
			good++
		}
		always += 0.02
		best += map[string]float64{"easy": 0.002, "mixed": 0.002 + 0.4*0.02, "hard": 0.02}[class]
	}
	t.Logf("reached %.4f, cost %.1f, always dear %.1f, best fixed plan a class %.1f", float64(good)/float64(n), cost, always, best)
	c.Assert(float64(good)/float64(n) >= alias.TargetShare, qt.IsTrue)
	c.Assert(cost <= 1.15*best, qt.IsTrue)
}

// TestSettle checks that an answer below the bar is released only while the
// team's answers of the class are above the target.
func TestSettle(t *testing.T) {
	plan := Plan{Steps: []Step{cheap, dear}}
	tests := []struct {
		name   string
		rating float64
		good   int // rated answers that reached the bar
		missed int
		class  string
		at     int
		want   bool
	}{
		{name: "above the target", rating: 0.6, good: 50, class: "k", want: true},
		{name: "below the target", rating: 0.6, good: 50, missed: 10, class: "k"},
		{name: "surplus of another class", rating: 0.6, good: 50, class: "z"},
		{name: "worthless answer", rating: 0.3, good: 50, class: "k"},
		{name: "last step", rating: 0.6, good: 50, class: "k", at: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k, _ := newCascader()
			r := ask
			r.Class = tt.class
			learn := func(n int, rating float64) {
				for range n {
					k.RecordOutcome(Outcome{Team: "t", Class: "k", Version: cheap.Version, MinQuality: 0.7, Alias: &alias, Rated: true, Final: true, Rating: rating})
				}
			}
			learn(tt.good, 0.9)
			for range 20 { // lowers the price if there is a surplus
				k.AcceptBelowQuality(&r, &alias, plan, tt.at, tt.rating)
			}
			learn(tt.missed, 0.1)
			settled := k.AcceptBelowQuality(&r, &alias, plan, tt.at, tt.rating)
			qt.Assert(t, settled, qt.Equals, tt.want)
		})
	}
}

// TestUnratedAnswersEarnLittle checks that answers of the cheap step that nobody
// rated do not count as good ones.
func TestUnratedAnswersEarnLittle(t *testing.T) {
	k, _ := newCascader()
	steps := samphireturn.Alias{Name: "draft", Steps: []string{"small", "large"}, MinQuality: 0.7, TargetShare: 0.8}
	for range 50 {
		k.RecordOutcome(Outcome{Team: "t", Class: "k", Version: cheap.Version, MinQuality: 0.7, Alias: &steps, Final: true})
	}
	settled := 0
	for range 50 {
		if k.AcceptBelowQuality(&ask, &steps, Plan{Steps: []Step{cheap, dear}}, 0, 0.6) {
			settled++
		}
	}
	qt.Assert(t, settled, qt.Equals, 0)
}

// TestFaultRatings checks that one late rating does not stop judging, that
// several in a row do, and that it is tried again.
func TestFaultRatings(t *testing.T) {
	tests := []struct {
		name  string
		came  []bool
		after time.Duration
		want  bool
	}{
		{"none asked", nil, 0, true},
		{"one late", []bool{false}, 0, true},
		{"late now and then", []bool{false, false, true, false, false}, 0, true},
		{"three in a row", []bool{true, false, false, false}, 0, false},
		{"after the pause", []bool{false, false, false}, judgePause + 1, true},
		{"down still", []bool{false, false, false, false}, judgePause, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k, now := newCascader()
			for _, ok := range tt.came {
				k.RecordRatingInTime(ok)
			}
			*now = now.Add(tt.after)
			qt.Assert(t, k.RatingAvailable(), qt.Equals, tt.want)
		})
	}
}

// TestDelayOfTheRequest checks that the bound on judging holds for the request's
// own length, not for the mean.
func TestDelayOfTheRequest(t *testing.T) {
	k, _ := newCascader()
	for i := range 200 {
		for _, step := range []Step{cheap, dear} {
			cost := step.Quote(&ask)
			o := Outcome{Team: "t", Class: "k", Version: step.Version, MinQuality: 0.7, Rated: true, Rating: 0.9, EstimatedOutput: 1000, Delay: time.Second, Cost: cost, QuotedCost: cost}
			if step == cheap && i%2 == 0 {
				o.Rating = 0.2
			}
			k.RecordOutcome(o)
		}
	}
	bounded := alias
	bounded.MaxDelayMs = 1000
	for _, tt := range []struct {
		output int
		want   string
	}{{900, "small@v1 large@v1 "}, {1100, "large@v1 "}} {
		r := ask
		r.OutputTokens = tt.output
		qt.Check(t, names(k.Plan(&r, &bounded, []Step{cheap, dear}, true, 0)), qt.Equals, tt.want)
	}
}

// TestCheapen checks that the cheap step runs unjudged in place of the dear one
// only while there is a surplus.
func TestCheapen(t *testing.T) {
	for _, tt := range []struct {
		name   string
		missed int
		want   bool
	}{{"above the target", 0, true}, {"below the target", 20, false}} {
		t.Run(tt.name, func(t *testing.T) {
			k, _ := newCascader()
			teach(k, cheap, 100, 50, false, time.Second)
			teach(k, dear, 100, 97, false, time.Second)
			final := Outcome{Team: "t", Class: "k", Version: dear.Version, MinQuality: 0.7, Alias: &alias, Rated: true, Final: true, Rating: 0.9}
			for range 50 {
				k.RecordOutcome(final)
			}
			for range 20 { // lowers the price
				k.Plan(&ask, &alias, []Step{cheap, dear}, false, 0)
			}
			final.Rating = 0.1
			for range tt.missed {
				k.RecordOutcome(final)
			}
			teach(k, dear, 1000, 990, false, time.Second)
			got := names(k.Plan(&ask, &alias, []Step{cheap, dear}, false, 0))
			qt.Assert(t, got == "small@v1 ", qt.Equals, tt.want, qt.Commentf("%s", got))
		})
	}
}
