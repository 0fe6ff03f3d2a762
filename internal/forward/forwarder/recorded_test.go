package forwarder

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/standin/extender"
)

// TestRecorded guards against a build that reads attempts by way of a daemon of an earlier or a later
// build wrongly, or rejects them, so that the daemons don't work together during an update.
// Each message is what encoder.Marshal returned for want in the code of 7fc650c: this file was
// run there without messages, and extender.Compare printed them. The message a0 has no fields.
func TestRecorded(t *testing.T) {
	tests := []struct {
		message string
		want    any
	}{
		{"a7011911940265736d616c6c03613304627631058263692d3163692d3206f507f5", &peerAttempt{
			Timeout: 4500, Model: "small", LastEventID: "3", Release: "v1", Exclude: []string{"i-1", "i-2"}, Resumes: true, MayRetry: true,
		}},
		{"a10101", &peerAttempt{Timeout: 1}},
		{"a70163692d3302627632030204646275737905626e6f0619032007f5", &peerOutcome{
			Endpoint: "i-3", Release: "v2", Sends: 2, Refused: "busy", Executed: "no", RetryAfter: 800, Unreachable: true,
		}},
		{"a20163692d34021b0000018bcfe56800", &probeRequest{ID: "i-4", Started: 1700000000000}},
		{"a10102", &probeReply{State: processAlive}},
		{"a0", new(peerAttempt)},
		{"a0", new(peerOutcome)},
		{"a0", new(probeRequest)},
		{"a0", new(probeReply)},
	}
	for i, test := range tests {
		qt.New(t).Check(extender.Compare(test.message, test.want), qt.IsNil, qt.Commentf("message %d, a %T", i, test.want))
	}
}
