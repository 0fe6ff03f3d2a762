// Command maker writes the traces in testdata. docs/TRACES.md states its
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
	million = 1e6
	// spread is the standard deviation of ratings; common is the part of it
	// that all versions share for one session.
	spread = 0.12
	common = 0.8
	// follow is the share of requests that go on with a session.
	follow = 0.15
	// reportPeriod is the time between two load reports in milliseconds.
	reportPeriod = 30_000
	// firstBlock is the length of the shortest prefix and tokenBytes that of a
	// token; teamBlocks is the number of blocks that a team's prompts share.
	firstBlock = 256
	tokenBytes = 4
	teamBlocks = 2
	// engineSpeed is the tokens a second that an engine makes for all requests
	// together.
	engineSpeed = 2500
	// slowShare and slowLate are the share of slow ratings and their lateness
	// in milliseconds.
	slowShare = 0.02
	slowLate  = 6000
)

// maker draws one trace.
type maker struct {
	deployment
	rand     *rand.Rand
	lines    []reader.Line
	sessions []session
	weights  []float64
}

// session is a session that may go on.
type session struct {
	id, team   string
	class      int
	difficulty float64
	turns      int
}

func main() {
	dir := flag.String("dir", "testdata", "directory to write to")
	flag.Parse()
	for _, d := range deployments {
		if err := write(filepath.Join(*dir, d.name+".jsonl.gz"), d); err != nil {
			fmt.Fprintln(os.Stderr, "maker:", err)
			os.Exit(1)
		}
	}
}

// write writes the trace of a deployment.
func write(path string, d deployment) error {
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
	for _, l := range draw(d) {
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

// draw returns the lines of a deployment's trace.
func draw(d deployment) []reader.Line {
	m := &maker{deployment: d, rand: rand.New(rand.NewPCG(d.seed, 1))}
	for i := range teams {
		m.weights = append(m.weights, 1/math.Pow(float64(i+1), 1.1))
	}
	for i := range d.requests {
		at := int64(float64(i) / float64(d.requests) * float64(d.length))
		m.lines = append(m.lines, reader.Line{Kind: reader.LineRequest, Time: at, Request: m.request(i, at)})
	}
	m.reports()
	m.lines = append(m.lines, d.events...)
	slices.SortStableFunc(m.lines, func(a, b reader.Line) int { return int(a.Time - b.Time) })
	head := reader.Line{Kind: reader.LineTrace, Trace: &reader.Head{Format: reader.Format, Name: d.name, Seed: d.seed}}
	for i := range d.daemons {
		head.Trace.Daemons = append(head.Trace.Daemons, fmt.Sprint("entry", i+1))
	}
	out := append([]reader.Line{head}, m.lines...)
	for i := range d.expects {
		out = append(out, reader.Line{Kind: reader.LineExpect, Time: d.length, Expect: &d.expects[i]})
	}
	return out
}

// request draws one request.
func (m *maker) request(i int, at int64) *reader.Request {
	s := m.session(i)
	c := m.classes[s.class]
	daemon := m.rand.IntN(m.daemons)
	r := &reader.Request{
		ID:      fmt.Sprint("r", i),
		Daemon:  fmt.Sprint("entry", daemon+1),
		Centre:  centres[daemon%len(centres)],
		Team:    s.team,
		Class:   c.name,
		Model:   "draft",
		Session: s.id,
		Prompt:  int(float64(c.prompt) * m.lognormal(0.4) * float64(1+s.turns)),
		Output:  int(float64(c.output) * m.lognormal(0.3)),
	}
	r.Prefixes = prefixes(s, r.Prompt)
	late := m.late(at)
	for _, v := range m.versions {
		r.Runs = append(r.Runs, m.run(r, c, v, s.difficulty, at, late))
	}
	return r
}

// session goes on with a session or begins one.
func (m *maker) session(i int) session {
	if len(m.sessions) > 0 && m.rand.Float64() < follow {
		at := m.rand.IntN(len(m.sessions))
		m.sessions[at].turns++
		return m.sessions[at]
	}
	s := session{id: fmt.Sprint("s", i), team: m.team(), class: m.class(), difficulty: m.rand.NormFloat64()}
	if m.sessions = append(m.sessions, s); len(m.sessions) > 200 {
		m.sessions = m.sessions[1:]
	}
	return s
}

// team draws a team; a few are large.
func (m *maker) team() string {
	sum := 0.0
	for _, w := range m.weights {
		sum += w
	}
	u := m.rand.Float64() * sum
	for i, w := range m.weights {
		if u -= w; u < 0 {
			return fmt.Sprint("team", i+1)
		}
	}
	return "team1"
}

// class draws a class of request.
func (m *maker) class() int {
	u := m.rand.Float64()
	for i, c := range m.classes {
		if u -= c.share; u < 0 {
			return i
		}
	}
	return 0
}

// late draws the lateness of ratings.
func (m *maker) late(at int64) int64 {
	if at >= m.outage[0] && at < m.outage[1] {
		return -1
	}
	if m.rand.Float64() < slowShare {
		return slowLate
	}
	return 20 + m.rand.Int64N(60)
}

// run draws what a version makes of a request.
func (m *maker) run(r *reader.Request, c class, v version, difficulty float64, at, late int64) reader.Run {
	mean := c.rating[v.step] + v.lift + c.drift*math.Sin(2*math.Pi*float64(at)/float64(m.length))
	noise := common*difficulty + math.Sqrt(1-common*common)*m.rand.NormFloat64()
	rating := mean + spread*noise
	failing := v.bad > 0 && at >= v.bad
	if failing && m.rand.Float64() < v.poor {
		rating = 0.2 * m.rand.Float64()
	}
	output := float64(r.Output) * (0.6 + 0.4*m.rand.Float64())
	first := float64(v.first) * m.lognormal(0.5)
	run := reader.Run{
		Version: v.name,
		Rating:  math.Round(1000*min(max(rating, 0), 1)) / 1000,
		Cost:    math.Round((float64(r.Prompt)*v.input+output*v.output)/million*1e7) / 1e7,
		First:   int64(first),
		Whole:   int64(first + output/v.speed*1000),
		Late:    late,
	}
	if m.rand.Float64() < errorShare || failing && m.rand.Float64() < v.errors {
		run.Error = "timeout"
		run.Rating = 0
		run.Cost = 0
	}
	return run
}

// prefixes returns the hashes of the prompt's leading blocks: the first ones are
// those of the team and class, the others those of the session.
func prefixes(s session, prompt int) []uint64 {
	team := 100*uint64(len(s.team)) + 10*uint64(s.team[len(s.team)-1]) + uint64(s.class)
	var id uint64
	_, _ = fmt.Sscanf(s.id, "s%d", &id)
	var out []uint64
	for block := uint64(0); firstBlock<<block <= prompt*tokenBytes; block++ {
		if block < teamBlocks {
			out = append(out, 10*team+block)
			continue
		}
		out = append(out, 1_000_000+100*id+block)
	}
	return out
}

// reports draws the load reports of the endpoints.
func (m *maker) reports() {
	var names []string
	for _, v := range m.versions {
		names = append(names, v.name)
	}
	for at := int64(0); at < m.length; at += reportPeriod {
		for i := range m.endpoints {
			e := &reader.Load{
				Endpoint: fmt.Sprint("engine", i+1),
				Centre:   centres[i%len(centres)],
				Versions: names,
				Lag:      500 + m.rand.Int64N(2500),
				Budget:   64000,
				Queued:   int64(4000 * m.lognormal(0.8)),
				Speed:    engineSpeed,
			}
			m.lines = append(m.lines, reader.Line{Kind: reader.LineLoad, Time: at, Load: e})
		}
	}
}

// lognormal draws a factor with a median of 1.
func (m *maker) lognormal(sigma float64) float64 { return math.Exp(sigma * m.rand.NormFloat64()) }
