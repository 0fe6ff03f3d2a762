package sharer

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/fleet/recorder"
	"samphireturn/internal/forward/balancer"
	"samphireturn/internal/forward/isolator"
	"samphireturn/internal/forward/stager"
	"samphireturn/internal/standin/extender"
)

// TestRecorded guards against a build that reads reports of an earlier or a later
// build wrongly, or rejects them, so that the daemons don't work together during an update.
// Each message is what encoder.Marshal returned for want in the code of 7fc650c: this file was
// run there without messages, and extender.Compare printed them. The message a0 has no fields.
func TestRecorded(t *testing.T) {
	tests := []struct {
		message string
		want    any
	}{
		{"a801656e6f72746802a40281aa0163617070026276320364626f6f6b04f5051828060207fb3fd0000000000000080109f50afb3fe00000000000000347ebe548c303640c04a1" +
			"1aab51f559a301f502fb4029000000000000031ab2d05e0005816264340381a4016361707002627632036466696e64048182078309040304a4010b020c030d040e05a4011502" +
			"16031704181806f50781a30163692d33021b0000018bcfe56800031a0003d09008a20181a401050263692d34038166706172742061041905dc0281a201667061727420620219" +
			"0384", &Message{
			Centre: "north",
			Report: Report{
				Loads: balancer.Loads{balancer.KeyOf("i-1"): {Requests: 3, MemoryTokens: 6400, Backlog: 12000}},
				Tallies: []stager.Tally{{
					Pool: "app", Release: "v2", Route: "book", Canary: true, Answers: 40, Failed: 2, Slow: 1, MaxShare: 0.25, ProvenAt: 0.5, FoundFaulty: true,
				}},
				Limits:   balancer.Limits{balancer.KeyOf("i-2"): {Limited: true, Rate: 12.5, Age: 3 * time.Second}},
				Unlinked: []string{"d4"},
			},
			Evidence: []stager.Evidence{{
				Pool: "app", Release: "v2", Route: "find",
				Counts: []stager.InstanceCount{{Instance: 7, Count: stager.Count{Answers: 9, Failed: 4, Slow: 3}}},
			}},
			Change:     position{Instance: 11, Change: 12, Departures: 13, Observations: 14},
			Departures: []recorder.Departure{{ID: "i-3", Started: 1700000000000, Age: 250000}},
			Observations: isolator.Observations{
				Crashes:   []isolator.Crash{{ID: 5, Endpoint: "i-4", Keys: []isolator.Key{"part a"}, Age: 1500}},
				Successes: []isolator.Success{{Key: "part b", Age: 900}},
			},
			EvidenceOnly: true,
			Known:        position{Instance: 21, Change: 22, Departures: 23, Observations: 24},
		}},
		{"a40165736f75746802a004a005a0", &Message{Centre: "south"}},
		{"a2016361707002627633", &stager.Verdict{Pool: "app", Release: "v3"}},
		{"a0", new(Message)},
	}
	for i, test := range tests {
		qt.New(t).Check(extender.Compare(test.message, test.want), qt.IsNil, qt.Commentf("message %d, a %T", i, test.want))
	}
}
