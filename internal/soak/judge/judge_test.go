package judge

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/standin/worker"
)

// start is the moment from which the tests count.
var start = time.Unix(1_000_000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// newJudge returns a judge with bounds as in the pages of the users.
func newJudge() *Judge {
	return &Judge{Bounds: Bounds{
		StableWindow: 3 * time.Second, Drain: 2 * time.Second, Revoke: 5 * time.Second, Apply: 2 * time.Second,
		Evacuate: 5 * time.Second, MaxStretch: 5 * time.Second, Grace: 8 * time.Second, Back: 250 * time.Millisecond, LossSlack: 200 * time.Millisecond,
		CanaryShare: 0.15, CanaryExtra: 3, RetryShare: 0.5, RetryExtra: 20, RetryWindow: 10 * time.Second,
	}, left: map[string]time.Time{}, closed: map[string][]span{}, accepted: map[int]time.Time{}}
}

// request returns a request sent at a moment and answered in full 100 ms later.
func request(id string, sent time.Duration) Request {
	return Request{
		ID: id, Daemon: "d1", Method: "POST", Target: "/book/1", Body: "x", Key: "k", Team: "alpha", Pool: "app", Once: true, MaxAttempts: 1,
		Timeout: 3 * time.Second, SentAt: at(sent), WrittenAt: at(sent), EndedAt: at(sent + 100*time.Millisecond),
		Status: success, Seal: "seal.i1", Answer: "answer of i1 to " + id, Complete: true,
	}
}

// runOf returns a run of a request that arrived at a moment.
func runOf(q Request, received time.Duration) Run {
	return Run{Run: worker.Run{
		ID: q.ID, Method: q.Method, Target: q.Target, Body: q.Body, Team: q.Team, Model: q.Model, ReceivedAt: at(received),
		Header: http.Header{"Expect-Instance": {"i1"}, "Deadline-Ms": {"3000"}},
	}, Endpoint: "i1", Slot: "e1", Pool: "app", Centre: "north", Release: "v1", Daemon: q.Daemon}
}

// disrupt records a disruption of a span.
func (j *Judge) disrupt(machine string, from, to time.Duration) {
	j.disruptions = append(j.disruptions, &Disruption{Machine: machine, From: at(from), To: at(to)})
}

// neighbours records five crashes by a part of prompts until second 60, the last request with it in
// second 70, 20 sound requests in calm, which run, and some beside the crashes, of which some run.
func neighbours(j *Judge, beside, ran int) {
	add := func(id string, sent time.Duration, cause string, runs bool) {
		q := request(id, sent)
		q.Target, q.Cause, q.CauseIsPart = "/draft/"+id, cause, cause != ""
		q.Status, q.Seal, q.Answer = http.StatusBadGateway, "", ""
		j.AddRequest(q)
		if runs {
			r := runOf(q, sent)
			r.Endpoint += id
			r.Header.Set("Expect-Instance", r.Endpoint)
			j.AddRun(r)
		}
	}
	const s = time.Second
	for i := range 20 {
		add("calm"+strconv.Itoa(i), 30*s, "", true)
	}
	for i := range 5 {
		add("bad"+strconv.Itoa(i), 60*s-time.Duration(4-i)*s/10, "x", true)
	}
	add("last", 70*s, "x", false)
	j.disrupt("e1", 59*s, 71*s)
	for i := range beside {
		add("beside"+strconv.Itoa(i), 67*s, "", i < ran)
	}
}

// crash makes q crash its endpoint, by a part of its prompt or by itself, and records such requests
// that crash more endpoints until second 21, and late ones from second 26 on.
func crash(j *Judge, q *Request, isPart bool, crashes, late int) {
	q.Cause, q.CauseIsPart = "x", isPart
	for i := range crashes - 1 + late {
		sent := 20*time.Second + time.Duration(i+1)*50*time.Millisecond
		if i >= crashes-1 {
			sent += 6 * time.Second
		}
		again := request(q.ID+string(rune('a'+i)), sent)
		again.Cause, again.CauseIsPart = q.Cause, isPart
		again.Status, again.Seal, again.Answer = http.StatusBadGateway, "", ""
		run := runOf(again, sent+10*time.Millisecond)
		run.Endpoint = "i" + again.ID
		run.Header.Set("Expect-Instance", run.Endpoint)
		j.AddRequest(again)
		j.AddRun(run)
	}
}

// shutDown records a SIGTERM of d1 at second 10.
func shutDown(j *Judge) {
	j.disruptions = append(j.disruptions, &Disruption{Machine: "d1", From: at(10 * time.Second), To: at(12 * time.Second), Planned: true})
}

// TestViolations checks that each broken promise is reported and that what is allowed is
// not.
func TestViolations(t *testing.T) {
	const s = time.Second
	tests := []struct {
		name string
		// change changes a request sent at second 20 and its only run, 10 ms later, and
		// records more.
		change func(j *Judge, q *Request, r *Run)
		// want is the check that fails, "" for none.
		want string
	}{
		{"kept", func(*Judge, *Request, *Run) {}, ""},
		{"ran twice", func(j *Judge, _ *Request, r *Run) { j.runs = append(j.runs, *r) }, "twice"},
		{"refused once and ran", func(j *Judge, _ *Request, r *Run) {
			shed := *r
			shed.NotExecuted = true
			j.runs = append(j.runs, shed)
		}, ""},
		{"repeatable ran twice", func(j *Judge, q *Request, r *Run) {
			q.Once, q.MaxAttempts = false, 2
			j.runs = append(j.runs, *r)
		}, ""},
		{"answered 503 and ran", func(_ *Judge, q *Request, _ *Run) { q.Status, q.Seal, q.Answer = 503, "", "" }, "refused"},
		{"answered 502 and ran", func(_ *Judge, q *Request, _ *Run) { q.Status, q.Seal, q.Answer = 502, "", "" }, ""},
		{"no key that was ever valid", func(_ *Judge, q *Request, _ *Run) { q.Forbidden = true }, "route"},
		{"of another pool", func(_ *Judge, _ *Request, r *Run) { r.Pool = "llm" }, "route"},
		{"no seal", func(_ *Judge, q *Request, _ *Run) { q.Seal = "" }, "mixed"},
		{"encoded", func(_ *Judge, q *Request, _ *Run) { q.Encoding = "gzip" }, "mixed"},
		{"answer to another request", func(_ *Judge, q *Request, _ *Run) { q.Answer = "answer of i1 to q2" }, "mixed"},
		{"part of the answer as the whole", func(_ *Judge, q *Request, _ *Run) { q.Answer = "answer of" }, "mixed"},
		{"part of the answer, cut", func(_ *Judge, q *Request, _ *Run) { q.Answer, q.Complete = "answer of", false }, ""},
		{"bytes after the answer", func(_ *Judge, q *Request, _ *Run) { q.Extra = true }, "mixed"},
		{"status that no endpoint gave", func(_ *Judge, q *Request, _ *Run) { q.Status = 404 }, "mixed"},
		{"another id", func(_ *Judge, _ *Request, r *Run) { r.ID = "other" }, "unasked"},
		{"another body", func(_ *Judge, _ *Request, r *Run) { r.Body = "y" }, "unasked"},
		{"another team", func(_ *Judge, _ *Request, r *Run) { r.Team = "beta" }, "unasked"},
		{"the key", func(_ *Judge, _ *Request, r *Run) { r.Key = "Bearer k" }, "unasked"},
		{"another prompt", func(_ *Judge, _ *Request, r *Run) { r.Header.Set("Prompt-Prefix", "a:1") }, "unasked"},
		{"a header of the router", func(_ *Judge, _ *Request, r *Run) { r.Header.Set("Hold", "h") }, "unasked"},
		{"crashes by a request, bounded", func(j *Judge, q *Request, _ *Run) { crash(j, q, false, 3, 3) }, ""},
		{"crashes by a request, for ever", func(j *Judge, q *Request, _ *Run) { crash(j, q, false, 3, 4) }, "crashes"},
		{"crashes by a part, bounded", func(j *Judge, q *Request, _ *Run) { crash(j, q, true, 5, 3) }, ""},
		{"crashes by a part, for ever", func(j *Judge, q *Request, _ *Run) { crash(j, q, true, 5, 4) }, "crashes"},
		{"crashes by a part, daemon disrupted", func(j *Judge, q *Request, _ *Run) {
			crash(j, q, true, 5, 4)
			j.disrupt("d1", 24*s, 25*s)
		}, ""},
		{"sound requests beside crashes run", func(j *Judge, _ *Request, _ *Run) { neighbours(j, 20, 10) }, ""},
		{"sound requests beside crashes don't run", func(j *Judge, _ *Request, _ *Run) { neighbours(j, 20, 9) }, "lost"},
		{"few sound requests beside crashes", func(j *Judge, _ *Request, _ *Run) { neighbours(j, 19, 0) }, ""},
		{"at an endpoint that left", func(j *Judge, _ *Request, _ *Run) { j.left["i1"] = at(18 * s) }, "drain"},
		{"at an endpoint that left just now", func(j *Judge, _ *Request, _ *Run) { j.left["i1"] = at(18*s + 20*time.Millisecond) }, ""},
		{"at an endpoint that left, daemon disrupted", func(j *Judge, _ *Request, _ *Run) {
			j.left["i1"] = at(10 * s)
			j.disrupt("d1", 15*s, 18*s)
		}, ""},
		{"at an endpoint that left, daemon disrupted long ago", func(j *Judge, _ *Request, _ *Run) {
			j.left["i1"] = at(10 * s)
			j.disrupt("d1", 11*s, 16*s)
		}, "drain"},
		{"at an endpoint that left, other daemon disrupted", func(j *Judge, _ *Request, _ *Run) {
			j.left["i1"] = at(10 * s)
			j.disrupt("d2", 11*s, 30*s)
		}, "drain"},
		{"at an endpoint that left, store disrupted", func(j *Judge, _ *Request, _ *Run) {
			j.left["i1"] = at(10 * s)
			j.disrupt(Core, 11*s, 18*s)
		}, ""},
		{"at an endpoint that left while the store was disrupted", func(j *Judge, _ *Request, _ *Run) {
			j.left["i1"] = at(10 * s)
			j.disrupt(Core, 8*s, 9*s)
		}, ""},
		{"at an endpoint that left and was paused", func(j *Judge, _ *Request, _ *Run) {
			j.left["i1"] = at(10 * s)
			j.disrupt("e1", 18*s, 19*s)
		}, ""},
		{"rejected by an endpoint that left", func(j *Judge, q *Request, r *Run) {
			j.left["i1"] = at(10 * s)
			q.Status, q.Seal, q.Answer = 503, "", ""
			r.NotExecuted = true
			r.Header.Set("Expect-Instance", "i0")
		}, ""},
		{"in a closed centre", func(j *Judge, _ *Request, _ *Run) { j.closed["north"] = []span{{from: at(15 * s)}} }, "evac"},
		{"in another closed centre", func(j *Judge, _ *Request, _ *Run) { j.closed["south"] = []span{{from: at(15 * s)}} }, ""},
		{"in a reopened centre", func(j *Judge, _ *Request, _ *Run) { j.closed["north"] = []span{{at(10 * s), at(20 * s)}} }, ""},
		{"in a closed centre, history lost", func(j *Judge, _ *Request, _ *Run) {
			j.closed["north"] = []span{{from: at(11 * s)}}
			j.disruptions = append(j.disruptions, &Disruption{Machine: Core, From: at(18 * s), To: at(18 * s), Forgets: true})
		}, ""},
		{"in a centre closed long ago, history lost", func(j *Judge, _ *Request, _ *Run) {
			j.closed["north"] = []span{{from: at(10 * s)}}
			j.disruptions = append(j.disruptions, &Disruption{Machine: Core, From: at(18 * s), To: at(18 * s), Forgets: true})
		}, "evac"},
		{"in a centre closed long ago, history lost after an outage", func(j *Judge, _ *Request, _ *Run) {
			j.closed["north"] = []span{{from: at(10 * s)}}
			j.disrupt(Core, 11*s, 12*s)
			j.disruptions = append(j.disruptions, &Disruption{Machine: Core, From: at(18 * s), To: at(18 * s), Forgets: true})
		}, ""},
		{"in a closed centre, outage long over", func(j *Judge, _ *Request, _ *Run) {
			j.closed["north"] = []span{{from: at(10 * s)}}
			j.disrupt(Core, 11*s, 16*s)
		}, "evac"},
		{"cut by a shutdown in an outage", func(j *Judge, q *Request, _ *Run) {
			*q = cutRequest(q.ID)
			shutDown(j)
			j.disrupt(Core, 8*s, 20*s)
		}, "lost"},
		{"with a removed key", func(j *Judge, q *Request, _ *Run) { q.KeyVersion, j.accepted[5] = 4, at(15*s-1) }, "revoke"},
		{"with a key removed just now", func(j *Judge, q *Request, _ *Run) { q.KeyVersion, j.accepted[5] = 4, at(15*s) }, ""},
		{"with a removed key, daemon disrupted", func(j *Judge, q *Request, _ *Run) {
			q.KeyVersion, j.accepted[5] = 4, at(10*s)
			j.disrupt("d1", 5*s, 30*s)
		}, "revoke"},
		{"on a removed route", func(j *Judge, q *Request, _ *Run) { q.RouteVersion, j.accepted[5] = 4, at(18*s-1) }, "config"},
		{"on a route not there", func(j *Judge, q *Request, r *Run) {
			q.RouteVersion, j.accepted[5] = 5, at(17*s)
			q.Status, q.Seal, q.Answer = 404, "", ""
			r.NotExecuted = true
		}, "config"},
		{"on a route not there yet", func(j *Judge, q *Request, r *Run) {
			q.RouteVersion, j.accepted[5] = 5, at(18*s)
			q.Status, q.Seal, q.Answer = 404, "", ""
			r.NotExecuted = true
		}, ""},
		{"cut by a shutdown", func(j *Judge, q *Request, _ *Run) {
			*q = cutRequest(q.ID)
			shutDown(j)
		}, "lost"},
		// Soak seed 2001 of the first schedules: nobody had read such a request.
		{"sent after the end of the process", func(j *Judge, q *Request, r *Run) {
			*q = cutRequest(q.ID)
			shutDown(j)
			j.disruptions[0].To = at(11*s - time.Millisecond)
			r.NotExecuted = true
		}, ""},
		// Soak seed 6003: the relay took 0.4 s to reset the connection, which the daemon's address
		// had refused.
		{"on a connection that no process took", func(j *Judge, q *Request, r *Run) {
			*q = cutRequest(q.ID)
			q.Unheard = true
			shutDown(j)
			r.NotExecuted = true
		}, ""},
		// Soak seed 2026: the connection was reset before the request was written.
		{"not written in a shutdown", func(j *Judge, q *Request, r *Run) {
			*q = cutRequest(q.ID)
			q.WrittenAt = time.Time{}
			shutDown(j)
			r.NotExecuted = true
		}, ""},
		{"cut by a shutdown, daemon killed before", func(j *Judge, q *Request, _ *Run) {
			*q = cutRequest(q.ID)
			shutDown(j)
			j.disrupt("d1", 7*s, 9*s)
		}, ""},
		{"cut by a shutdown and the endpoint", func(j *Judge, q *Request, r *Run) {
			*q = cutRequest(q.ID)
			shutDown(j)
			r.Fault = worker.FaultTruncated
		}, ""},
		{"cut by a shutdown at its deadline", func(j *Judge, q *Request, _ *Run) {
			*q = cutRequest(q.ID)
			q.Timeout = time.Second / 10
			shutDown(j)
		}, ""},
		{"cut after a SIGHUP", func(j *Judge, q *Request, _ *Run) {
			*q = cutRequest(q.ID)
			j.reloads = []reload{{"d1", at(11*s + 100*time.Millisecond)}}
		}, "lost"},
		{"cut after a SIGHUP of another daemon", func(j *Judge, q *Request, _ *Run) {
			*q = cutRequest(q.ID)
			j.reloads = []reload{{"d2", at(11*s + 100*time.Millisecond)}}
		}, ""},
		{"cut beside a change of the configuration", func(j *Judge, q *Request, _ *Run) {
			*q = cutRequest(q.ID)
			j.accepted[5] = at(10 * s)
		}, "lost"},
		{"cut long after a change of the configuration", func(j *Judge, q *Request, _ *Run) {
			*q = cutRequest(q.ID)
			j.accepted[5] = at(7 * s)
		}, ""},
		{"bad release", func(j *Judge, q *Request, r *Run) {
			q.MaxAttempts, q.Once = 100, false
			j.canaries = []*canary{{"app", "v1", span{from: at(0)}}}
			for range 10 {
				j.runs = append(j.runs, *r)
			}
		}, "exposure"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			j := newJudge()
			q := request("q1", 20*s)
			r := runOf(q, 20*s+10*time.Millisecond)
			test.change(j, &q, &r)
			j.AddRequest(q)
			j.AddRun(r)
			got := j.Violations()
			if test.want == "" {
				c.Check(got, qt.HasLen, 0)
				return
			}
			c.Assert(got, qt.Not(qt.HasLen), 0)
			for _, v := range got {
				c.Check(strings.HasPrefix(v, test.want+": "), qt.IsTrue, qt.Commentf(v))
			}
		})
	}
}

// cutRequest returns a request sent a second after the SIGTERM of shutDown, whose
// connection ends half a second later.
func cutRequest(id string) Request {
	q := request(id, 11*time.Second)
	q.Status, q.Seal, q.Answer, q.Complete = 0, "", "", false
	q.EndedAt = at(11*time.Second + 500*time.Millisecond)
	return q
}

// TestStreams checks the events of streams.
func TestStreams(t *testing.T) {
	one, two, three := Event(1, "q1"), Event(2, "q1"), Event(3, "q1")
	tests := []struct {
		name, answer string
		last         int
		complete     bool
		want         string
	}{
		{"whole", one + two + three, 0, true, ""},
		{"resumed", three, 2, true, ""},
		{"cut", one + two + "id: 3", 0, false, ""},
		{"ended early", one + two, 0, true, "order"},
		{"missing", one + three, 0, false, "order"},
		{"twice", one + one + two + three, 0, true, "order"},
		{"resumed at the wrong place", two + three, 2, true, "order"},
		{"of another request", one + Event(2, "q2") + three, 0, true, "order"},
		{"part of an event at the end", one + two + three + "id", 0, true, "order"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			j := newJudge()
			q := request("q1", 0)
			q.Stream, q.Events, q.LastEvent, q.Answer, q.Complete = true, 3, test.last, test.answer, test.complete
			j.AddRequest(q)
			got := j.Violations()
			if test.want == "" {
				c.Check(got, qt.HasLen, 0)
				return
			}
			c.Assert(got, qt.HasLen, 1)
			c.Check(strings.HasPrefix(got[0], test.want+": "), qt.IsTrue, qt.Commentf(got[0]))
		})
	}
}

// TestCounted checks the promises of which a few breaches are allowed.
func TestCounted(t *testing.T) {
	tests := []struct {
		name   string
		change func(q *Request, r *Run)
		most   int
		want   string
	}{
		{"callers that left", func(q *Request, r *Run) {
			q.Left, q.Complete, q.Status, q.Answer, q.Seal = true, false, 0, "", ""
			r.ReceivedAt = q.EndedAt.Add(time.Second)
		}, maxGone, "gone"},
		{"timeout", func(q *Request, _ *Run) { q.EndedAt = q.SentAt.Add(q.Timeout + time.Second) }, minLate - 1, "timeout"},
		{"denied", func(q *Request, r *Run) { q.Status, q.Seal, q.Answer, r.NotExecuted = 401, "", "", true }, maxDenied, "denied"},
		{"attempts", func(q *Request, _ *Run) { q.MaxAttempts = 0 }, maxBudget, "budget"},
		{"dropped", func(q *Request, _ *Run) {
			q.Kept, q.Complete, q.Status, q.Answer, q.Seal = true, false, 0, "", ""
		}, maxDropped, "lost"},
		{"no deadline", func(_ *Request, r *Run) { r.Header.Del("Deadline-Ms") }, maxStale, "deadline"},
		{"deadline beyond the caller's", func(_ *Request, r *Run) { r.Header.Set("Deadline-Ms", "3600") }, maxStale, "deadline"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			j := newJudge()
			for i := range test.most + 1 {
				c.Check(j.Violations(), qt.HasLen, 0)
				q := request("q"+strconv.Itoa(i), 20*time.Second)
				r := runOf(q, 20*time.Second)
				test.change(&q, &r)
				j.AddRequest(q)
				j.AddRun(r)
			}
			got := j.Violations()
			c.Assert(got, qt.HasLen, 1)
			c.Check(strings.HasPrefix(got[0], test.want+": "), qt.IsTrue, qt.Commentf(got[0]))
		})
	}
}

// TestBack checks that a process which goes back to an older configuration is found.
func TestBack(t *testing.T) {
	const second = 20 * time.Second
	tests := []struct {
		name string
		// change changes a request for the route of configuration 4, which runs 300 ms after
		// one for that of configuration 5.
		change func(j *Judge, q *Request, r *Run)
		want   bool
	}{
		{"run on the older route", func(*Judge, *Request, *Run) {}, true},
		{"sent shortly after", func(_ *Judge, q *Request, _ *Run) { q.SentAt = at(second + 200*time.Millisecond) }, false},
		{"by another process", func(_ *Judge, q *Request, _ *Run) { q.Process = 2 }, false},
		{"by another daemon", func(_ *Judge, q *Request, _ *Run) { q.Daemon = "d2" }, false},
		{"by a disrupted daemon", func(j *Judge, _ *Request, _ *Run) { j.disrupt("d1", second-time.Second, second) }, false},
		{"newer route denied", func(_ *Judge, q *Request, r *Run) {
			q.RouteVersion, q.Status, q.Seal, q.Answer, r.ID = 5, 404, "", "", "q5"
		}, true},
		{"newer route removed meanwhile", func(j *Judge, q *Request, r *Run) {
			q.RouteVersion, q.Status, q.Seal, q.Answer, r.ID = 5, 404, "", "", "q5"
			j.accepted[6] = at(second)
		}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			j := newJudge()
			newer, older := request("q5", second), request("q4", second+300*time.Millisecond)
			newer.RouteVersion, older.RouteVersion = 5, 4
			newer.Once, older.Once, newer.MaxAttempts = false, false, 2
			r := runOf(older, second+310*time.Millisecond)
			test.change(j, &older, &r)
			j.AddRequest(newer)
			j.AddRequest(older)
			j.AddRun(runOf(newer, second))
			j.AddRun(r)
			got := strings.Join(j.Violations(), " ")
			c.Check(strings.HasPrefix(got, "back: "), qt.Equals, test.want, qt.Commentf(got))
		})
	}
}
