package isolator

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/standin/extender"
)

// TestRecorded guards against a build that reads observations of an earlier or a later
// build wrongly, or rejects them, so that the daemons don't work together during an update.
// Each message is what encoder.Marshal returned for want in the code of 7fc650c: this file was
// run there without messages, and extender.Compare printed them. The message a0 has no fields.
func TestRecorded(t *testing.T) {
	tests := []struct {
		message string
		want    any
	}{
		{"a20182a4011b10000000000000000263692d31038378207265717565737420373336323066326438306466353137303531303962393238667061727420616670617274206204" +
			"1909c4a401020263692d32038166706172742062041b00000002000000000281a2016670617274206302181e", &Observations{
			Crashes: []Crash{
				{ID: 1 << 60, Endpoint: "i-1", Keys: []Key{RequestKey("GET", "/book", nil), "part a", "part b"}, Age: 2500},
				{ID: 2, Endpoint: "i-2", Keys: []Key{"part b"}, Age: 1 << 33},
			},
			Successes: []Success{{Key: "part c", Age: 30}},
		}},
		{"a0", new(Observations)},
	}
	for i, test := range tests {
		qt.New(t).Check(extender.Compare(test.message, test.want), qt.IsNil, qt.Commentf("message %d, a %T", i, test.want))
	}
}
