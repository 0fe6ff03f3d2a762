// Command maker generates the traces in testdata. docs/TRACES.md states its
// assumptions.
package main

import (
	"bufio"
	"compress/gzip"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"

	"samphireturn/internal/replay/reader"
)

//go:generate go run . -dir ../../../testdata

const (
	// pricedTokens is the number of tokens that a price is for.
	pricedTokens = 1e6
	// ratingStdDev is the standard deviation of ratings. sessionNoiseWeight is the
	// weight of the noise that all versions share in one session; the rest is drawn
	// for each run.
	ratingStdDev       = 0.12
	sessionNoiseWeight = 0.8
	// continuationShare is the share of requests that continue a session.
	continuationShare = 0.15
	// loadReportPeriodMs is the time between two load reports of an endpoint.
	loadReportPeriodMs = 30_000
	// shortestPrefixBytes is the length of the shortest prefix; each further prefix
	// doubles it. Requests of the same team and class share their first teamPrefixes
	// prefixes.
	shortestPrefixBytes = 256
	bytesPerToken       = 4
	teamPrefixes        = 2
	// engineThroughput is an engine's output for all its requests together, in
	// tokens per second.
	engineThroughput = 2500
	// slowRatingShare of the ratings arrive slowRatingDelayMs after the answer.
	slowRatingShare   = 0.02
	slowRatingDelayMs = 6000
)

// generator generates one trace.
type generator struct {
	deployment
	rand        *rand.Rand
	lines       []reader.Line
	sessions    []session
	teamWeights []float64
}

// session is a session that later requests may continue.
type session struct {
	id, team string
	class    int
	// ratingNoise is the session's part of the rating noise, normally distributed;
	// a higher value raises the ratings.
	ratingNoise   float64
	continuations int
}

func main() {
	dir := flag.String("dir", "testdata", "directory to write to")
	flag.Parse()
	for _, d := range deployments {
		if err := writeTrace(filepath.Join(*dir, d.name+".jsonl.gz"), d); err != nil {
			fmt.Fprintln(os.Stderr, "maker:", err)
			os.Exit(1)
		}
	}
}

// writeTrace writes the trace of a deployment, compressed by gzip.
func writeTrace(path string, d deployment) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	z, err := gzip.NewWriterLevel(f, gzip.BestCompression)
	if err != nil {
		return err
	}
	b := bufio.NewWriter(z)
	e := json.NewEncoder(b)
	for _, l := range drawTrace(d) {
		if err := e.Encode(l); err != nil {
			return err
		}
	}
	if err := b.Flush(); err != nil {
		return err
	}
	if err := z.Close(); err != nil {
		return err
	}
	return f.Close()
}

// drawTrace returns the lines of a deployment's trace.
func drawTrace(d deployment) []reader.Line {
	g := &generator{deployment: d, rand: rand.New(rand.NewPCG(d.seed, 1))}
	for i := range teamCount {
		g.teamWeights = append(g.teamWeights, 1/math.Pow(float64(i+1), 1.1))
	}
	for i := range d.requests {
		at := int64(float64(i) / float64(d.requests) * float64(d.durationMs))
		g.lines = append(g.lines, reader.Line{Kind: reader.LineRequest, TimeMs: at, Request: g.drawRequest(i, at)})
	}
	g.drawLoadReports()
	g.lines = append(g.lines, d.events...)
	slices.SortStableFunc(g.lines, func(a, b reader.Line) int { return int(a.TimeMs - b.TimeMs) })
	head := reader.Line{Kind: reader.LineTrace, Trace: &reader.Header{Format: reader.Format, Name: d.name, Seed: d.seed}}
	for i := range d.daemons {
		head.Trace.Daemons = append(head.Trace.Daemons, fmt.Sprint("entry", i+1))
	}
	out := append([]reader.Line{head}, g.lines...)
	for i := range d.expectations {
		out = append(out, reader.Line{Kind: reader.LineExpectation, TimeMs: d.durationMs, Expectation: &d.expectations[i]})
	}
	return out
}

// drawRequest draws the i-th request with its runs on all versions.
func (g *generator) drawRequest(i int, at int64) *reader.Request {
	s := g.drawSession(i)
	c := g.classes[s.class]
	daemon := g.rand.IntN(g.daemons)
	r := &reader.Request{
		ID:           fmt.Sprint("r", i),
		Daemon:       fmt.Sprint("entry", daemon+1),
		Centre:       centres[daemon%len(centres)],
		Team:         s.team,
		Class:        c.name,
		Model:        "draft",
		Session:      s.id,
		PromptTokens: int(float64(c.promptTokens) * g.lognormal(0.4) * float64(1+s.continuations)),
		OutputTokens: int(float64(c.outputTokens) * g.lognormal(0.3)),
	}
	r.Prefixes = prefixes(s, r.PromptTokens)
	ratingDelay := g.drawRatingDelay(at)
	for _, v := range g.versions {
		r.Runs = append(r.Runs, g.drawRun(r, c, v, s.ratingNoise, at, ratingDelay))
	}
	return r
}

// drawSession continues one of the last 200 sessions or begins a new one.
func (g *generator) drawSession(i int) session {
	if len(g.sessions) > 0 && g.rand.Float64() < continuationShare {
		at := g.rand.IntN(len(g.sessions))
		g.sessions[at].continuations++
		return g.sessions[at]
	}
	s := session{id: fmt.Sprint("s", i), team: g.drawTeam(), class: g.drawClass(), ratingNoise: g.rand.NormFloat64()}
	if g.sessions = append(g.sessions, s); len(g.sessions) > 200 {
		g.sessions = g.sessions[1:]
	}
	return s
}

// drawTeam draws a team by its weight, so that a few teams send most requests.
func (g *generator) drawTeam() string {
	sum := 0.0
	for _, w := range g.teamWeights {
		sum += w
	}
	u := g.rand.Float64() * sum
	for i, w := range g.teamWeights {
		if u -= w; u < 0 {
			return fmt.Sprint("team", i+1)
		}
	}
	return "team1"
}

// drawClass draws the index of a class by the classes' shares.
func (g *generator) drawClass() int {
	u := g.rand.Float64()
	for i, c := range g.classes {
		if u -= c.share; u < 0 {
			return i
		}
	}
	return 0
}

// drawRatingDelay draws the time in milliseconds from the answers of a request to
// their ratings. It returns -1, for no rating, during the rating outage.
func (g *generator) drawRatingDelay(at int64) int64 {
	if at >= g.ratingOutageMs[0] && at < g.ratingOutageMs[1] {
		return -1
	}
	if g.rand.Float64() < slowRatingShare {
		return slowRatingDelayMs
	}
	return 20 + g.rand.Int64N(60)
}

// drawRun draws the run of a request on a version.
func (g *generator) drawRun(r *reader.Request, c class, v version, sessionNoise float64, at, ratingDelay int64) reader.Run {
	mean := c.meanRatings[v.stepIndex] + v.ratingOffset + c.ratingDrift*math.Sin(2*math.Pi*float64(at)/float64(g.durationMs))
	noise := sessionNoiseWeight*sessionNoise + math.Sqrt(1-sessionNoiseWeight*sessionNoiseWeight)*g.rand.NormFloat64()
	rating := mean + ratingStdDev*noise
	failing := v.badFromMs > 0 && at >= v.badFromMs
	if failing && g.rand.Float64() < v.worthlessRate {
		rating = 0.2 * g.rand.Float64()
	}
	output := float64(r.OutputTokens) * (0.6 + 0.4*g.rand.Float64())
	first := float64(v.firstTokenMs) * g.lognormal(0.5)
	run := reader.Run{
		Version:       v.name,
		Rating:        math.Round(1000*min(max(rating, 0), 1)) / 1000,
		Cost:          math.Round((float64(r.PromptTokens)*v.inputPrice+output*v.outputPrice)/pricedTokens*1e7) / 1e7,
		FirstTokenMs:  int64(first),
		LastTokenMs:   int64(first + output/v.tokensPerSecond*1000),
		RatingDelayMs: ratingDelay,
	}
	if g.rand.Float64() < healthyErrorRate || failing && g.rand.Float64() < v.badErrorRate {
		run.Error = "timeout"
		run.Rating = 0
		run.Cost = 0
	}
	return run
}

// prefixes returns the hashes of the prompt's leading blocks. The first teamPrefixes
// are those of the team and class, the others those of the session.
func prefixes(s session, prompt int) []uint64 {
	team := 100*uint64(len(s.team)) + 10*uint64(s.team[len(s.team)-1]) + uint64(s.class)
	var id uint64
	_, _ = fmt.Sscanf(s.id, "s%d", &id)
	var out []uint64
	for block := uint64(0); shortestPrefixBytes<<block <= prompt*bytesPerToken; block++ {
		if block < teamPrefixes {
			out = append(out, 10*team+block)
			continue
		}
		out = append(out, 1_000_000+100*id+block)
	}
	return out
}

// drawLoadReports draws the load reports of all endpoints.
func (g *generator) drawLoadReports() {
	var names []string
	for _, v := range g.versions {
		names = append(names, v.name)
	}
	for at := int64(0); at < g.durationMs; at += loadReportPeriodMs {
		for i := range g.endpoints {
			e := &reader.LoadReport{
				Endpoint:     fmt.Sprint("engine", i+1),
				Centre:       centres[i%len(centres)],
				Versions:     names,
				LagMs:        500 + g.rand.Int64N(2500),
				BudgetTokens: 64000,
				QueuedTokens: int64(4000 * g.lognormal(0.8)),
				Throughput:   engineThroughput,
			}
			g.lines = append(g.lines, reader.Line{Kind: reader.LineLoad, TimeMs: at, Load: e})
		}
	}
}

// lognormal draws a log-normally distributed factor with a median of 1.
func (g *generator) lognormal(sigma float64) float64 { return math.Exp(sigma * g.rand.NormFloat64()) }
