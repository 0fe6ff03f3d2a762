package router_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	sr "samphireturn"
	"samphireturn/internal/traffic/picker"
)

const (
	servers   = 10
	speed     = 1000.0 // tokens a second of a sound endpoint
	slowSpeed = 250.0  // tokens a second of the slow one
	single    = 100.0  // most tokens a second of one answer
	meanSize  = 200.0  // tokens of an answer
	load      = 0.8    // of the tokens a second of the whole pool
)

// server is an endpoint on fake time that shares its speed among its answers.
type server struct {
	speed, now float64 // now in seconds
	jobs       []*job
	endpoint   *sr.Endpoint
	picker     *picker.Picker
}

// job is an answer under way.
type job struct{ size, left, start float64 }

// advance works until a time and adds the durations of what was finished.
func (s *server) advance(to float64, took []float64) []float64 {
	for len(s.jobs) > 0 {
		rate := min(single, s.speed/float64(len(s.jobs)))
		next := slices.MinFunc(s.jobs, func(a, b *job) int { return int(math.Copysign(1, a.left-b.left)) })
		span := min(next.left/rate, to-s.now)
		for _, j := range s.jobs {
			j.left -= rate * span
		}
		s.now += span
		if s.now >= to {
			break
		}
		took = append(took, s.now-next.start)
		s.jobs = slices.DeleteFunc(s.jobs, func(j *job) bool { return j == next })
		g := s.endpoint.Quota
		s.picker.ObserveThroughput(s.endpoint, 0, int(next.size), g.Requests.Load(), time.Duration((s.now-next.start)*1e9))
		g.Outstanding.Add(-int64(next.size))
		g.Requests.Add(-1)
	}
	s.now = to
	return took
}

// slowPool runs requests on a pool with one slow endpoint and returns the 50th
// and 99th percentile of their durations in seconds. Told says whether the slow
// endpoint reports its true speed. After mended requests it is sound again, and
// again is its share of the last quarter of the requests.
func slowPool(policy string, told bool, requests, mended int) (median, high, again float64) {
	source := rand.New(rand.NewPCG(7, 11))
	s := &sr.Snapshot{Config: &sr.Config{}, Pools: map[sr.VersionRef][]*sr.Endpoint{}, Endpoints: map[string]*sr.Endpoint{}}
	now := 0.0
	p := &picker.Picker{Rand: source.Uint64, Now: func() int64 { return int64(now * 1e9) }}
	var pool []*server
	for i := range servers {
		e := &sr.Endpoint{VM: sr.VM{ID: fmt.Sprint(i)}, Budget: 1 << 30, Throughput: speed, Warm: true, Quota: new(sr.Quota)}
		e.Quota.Allowed.Store(1 << 30)
		e.Quota.Expires.Store(1 << 62)
		pool = append(pool, &server{speed: speed, endpoint: e, picker: p})
		s.Pools[version] = append(s.Pools[version], e)
		s.Endpoints[e.ID] = e
	}
	pool[0].speed = slowSpeed
	if told {
		pool[0].endpoint.Throughput = slowSpeed
	}
	arrivals := load * ((servers-1)*speed + slowSpeed) / meanSize
	var took []float64
	turn := 0
	for n := range requests {
		if n == mended {
			pool[0].speed, pool[0].endpoint.Throughput = speed, speed
		}
		now += source.ExpFloat64() / arrivals
		for _, v := range pool {
			took = v.advance(now, took)
		}
		size := math.Ceil(source.ExpFloat64() * meanSize)
		at := turn % servers
		turn++
		switch policy {
		case "least outstanding":
			at = slices.Index(pool, slices.MinFunc(pool, func(a, b *server) int { return len(a.jobs) - len(b.jobs) }))
		case "picker":
			e, _ := p.Endpoint(s, &sr.Request{OutputTokens: int(meanSize)}, version, nil)
			at = slices.Index(s.Pools[version], e)
		}
		if at == 0 && n >= requests*3/4 {
			again += 4 / float64(requests)
		}
		pool[at].jobs = append(pool[at].jobs, &job{size: size, left: size, start: now})
		pool[at].endpoint.Quota.Outstanding.Add(int64(size))
		pool[at].endpoint.Quota.Requests.Add(1)
	}
	for _, v := range pool {
		took = v.advance(1e12, took)
	}
	slices.Sort(took)
	return took[len(took)/2], took[len(took)*99/100], again
}

// TestSlowEndpoint bounds the 99th percentile against round robin and least
// outstanding, and the share of an endpoint that has recovered.
func TestSlowEndpoint(t *testing.T) {
	c := qt.New(t)
	const requests = 20000
	for _, told := range []bool{true, false} {
		_, ours, _ := slowPool("picker", told, requests, requests)
		_, robin, _ := slowPool("round robin", told, requests, requests)
		c.Check(ours < robin/2, qt.IsTrue, qt.Commentf("told %t: %.2f s against %.2f s", told, ours, robin))
		_, least, _ := slowPool("least outstanding", told, requests, requests)
		c.Check(ours <= least, qt.IsTrue, qt.Commentf("told %t: %.2f s against %.2f s", told, ours, least))
		_, _, again := slowPool("picker", told, requests, requests/2)
		c.Check(again > 0.8/servers, qt.IsTrue, qt.Commentf("told %t: share %.3f after recovery", told, again))
	}
}

// BenchmarkSlowEndpoint prints the percentiles in seconds of fake time.
func BenchmarkSlowEndpoint(b *testing.B) {
	for _, policy := range []string{"picker", "least outstanding", "round robin"} {
		for _, told := range []bool{true, false} {
			b.Run(fmt.Sprintf("%s/told=%t", policy, told), func(b *testing.B) {
				var median, high float64
				for b.Loop() {
					median, high, _ = slowPool(policy, told, 20000, 20000)
				}
				b.ReportMetric(median, "median-s")
				b.ReportMetric(high, "p99-s")
			})
		}
	}
}
