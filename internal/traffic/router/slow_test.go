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
	servers             = 10
	throughput          = 1000.0 // tokens per second of a healthy endpoint
	slowThroughput      = 250.0  // tokens per second of the slow endpoint
	maxAnswerThroughput = 100.0  // most tokens per second of one answer
	meanSize            = 200.0  // mean tokens of an answer
	load                = 0.8    // share of the pool's throughput
)

// server simulates an endpoint that divides its throughput among its answers.
type server struct {
	throughput, now float64 // now in seconds
	jobs            []*job
	endpoint        *sr.Endpoint
	picker          *picker.Picker
}

// job is an answer in flight.
type job struct{ size, left, start float64 }

// advance simulates the server until a time, and appends the durations of the
// finished answers to took.
func (s *server) advance(to float64, took []float64) []float64 {
	for len(s.jobs) > 0 {
		rate := min(maxAnswerThroughput, s.throughput/float64(len(s.jobs)))
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
		quota := s.endpoint.Quota
		s.picker.ObserveThroughput(s.endpoint, 0, int(next.size), quota.Requests.Load(), time.Duration((s.now-next.start)*1e9))
		quota.Outstanding.Add(-int64(next.size))
		quota.Requests.Add(-1)
	}
	s.now = to
	return took
}

// slowPool simulates requests to a pool with one slow endpoint and returns the 50th
// and 99th percentile of their durations in seconds. Reported says whether the
// slow endpoint reports its true throughput. From request recoveredAt on it is
// healthy; recoveredShare is its share of the last quarter of the requests.
func slowPool(policy string, reported bool, requests, recoveredAt int) (median, p99, recoveredShare float64) {
	source := rand.New(rand.NewPCG(7, 11))
	s := &sr.Snapshot{Config: &sr.Config{}, Pools: map[sr.VersionRef][]*sr.Endpoint{}, Endpoints: map[string]*sr.Endpoint{}}
	now := 0.0
	p := &picker.Picker{Rand: source.Uint64, Now: func() int64 { return int64(now * 1e9) }}
	var pool []*server
	for i := range servers {
		e := &sr.Endpoint{VM: sr.VM{ID: fmt.Sprint(i)}, Budget: 1 << 30, Throughput: throughput, Warm: true, Quota: new(sr.Quota)}
		e.Quota.Allowed.Store(1 << 30)
		e.Quota.Expires.Store(1 << 62)
		pool = append(pool, &server{throughput: throughput, endpoint: e, picker: p})
		s.Pools[version] = append(s.Pools[version], e)
		s.Endpoints[e.ID] = e
	}
	pool[0].throughput = slowThroughput
	if reported {
		pool[0].endpoint.Throughput = slowThroughput
	}
	arrivals := load * ((servers-1)*throughput + slowThroughput) / meanSize
	var took []float64
	turn := 0
	for n := range requests {
		if n == recoveredAt {
			pool[0].throughput, pool[0].endpoint.Throughput = throughput, throughput
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
			recoveredShare += 4 / float64(requests)
		}
		pool[at].jobs = append(pool[at].jobs, &job{size: size, left: size, start: now})
		pool[at].endpoint.Quota.Outstanding.Add(int64(size))
		pool[at].endpoint.Quota.Requests.Add(1)
	}
	for _, v := range pool {
		took = v.advance(1e12, took)
	}
	slices.Sort(took)
	return took[len(took)/2], took[len(took)*99/100], recoveredShare
}

// TestSlowEndpoint guards against one slow endpoint that makes the whole pool slow, and
// against a recovered one that is avoided for good. It bounds the 99th percentile by
// those of round robin and of least outstanding requests.
func TestSlowEndpoint(t *testing.T) {
	c := qt.New(t)
	const requests = 20000
	for _, reported := range []bool{true, false} {
		_, ours, _ := slowPool("picker", reported, requests, requests)
		_, robin, _ := slowPool("round robin", reported, requests, requests)
		c.Check(ours < robin/2, qt.IsTrue, qt.Commentf("reported %t: %.2f s against %.2f s", reported, ours, robin))
		_, least, _ := slowPool("least outstanding", reported, requests, requests)
		c.Check(ours <= least, qt.IsTrue, qt.Commentf("reported %t: %.2f s against %.2f s", reported, ours, least))
		_, _, recovered := slowPool("picker", reported, requests, requests/2)
		c.Check(recovered > 0.8/servers, qt.IsTrue, qt.Commentf("reported %t: share %.3f after recovery", reported, recovered))
	}
}

// BenchmarkSlowEndpoint reports the percentiles in seconds of simulated time.
func BenchmarkSlowEndpoint(b *testing.B) {
	for _, policy := range []string{"picker", "least outstanding", "round robin"} {
		for _, reported := range []bool{true, false} {
			b.Run(fmt.Sprintf("%s/reported=%t", policy, reported), func(b *testing.B) {
				var median, p99 float64
				for b.Loop() {
					median, p99, _ = slowPool(policy, reported, 20000, 20000)
				}
				b.ReportMetric(median, "median-s")
				b.ReportMetric(p99, "p99-s")
			})
		}
	}
}
