package messenger

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/fleet/encoder"
	"samphireturn/internal/standin/extender"
)

// TestRecorded guards against a build that reads frames and handshakes of an earlier or a later
// build wrongly, or rejects them, so that the daemons don't work together during an update.
// Each message is what encoder.Marshal returned for want in the code of 7fc650c: this file was
// run there without messages, and extender.Compare printed them. The message a0 has no fields.
func TestRecorded(t *testing.T) {
	tests := []struct {
		message string
		want    any
	}{
		{"a4010102626431036264320443010203", &hello{Version: encoder.Version, From: "d1", To: "d2", Nonce: []byte{1, 2, 3}}},
		{"a3014204050242060703626432", &challenge{Nonce: []byte{4, 5}, Proof: []byte{6, 7}, From: "d2"}},
		{"a101420809", &response{Proof: []byte{8, 9}}},
		{"a101f5", &welcome{OK: true}},
		{"a9010102010319012c046573686172650582010208626431096264330a020b1903e8", &encoder.Frame{
			Version: encoder.Version, Kind: encoder.FrameCall, Call: 300, Topic: "share", Body: []byte{0x82, 1, 2}, From: "d1", To: "d3", HopsLeft: 2, TimeoutMs: 1000,
		}},
		{"a4010102020319012c05f6", &encoder.Frame{Version: encoder.Version, Kind: encoder.FrameReply, Call: 300, Body: []byte{0xf6}}},
		{"a5010102030319012d060407676e6f206c696e6b", &encoder.Frame{Version: encoder.Version, Kind: encoder.FrameError, Call: 301, ErrorKind: 4, ErrorText: "no link"}},
		{"a201010204", &encoder.Frame{Version: encoder.Version, Kind: encoder.FramePing}},
		{"a0", new(encoder.Frame)},
	}
	for i, test := range tests {
		qt.New(t).Check(extender.Compare(test.message, test.want), qt.IsNil, qt.Commentf("message %d, a %T", i, test.want))
	}
}
