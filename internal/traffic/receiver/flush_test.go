package receiver_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStreamFlush guards against events of a slow stream that are flushed only
// together with a later event.
func TestStreamFlush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const tokens = 9
		s := newSite(t)
		req, err := http.NewRequest(http.MethodPost, "http://"+s.north.VM.Addr+chatPath, strings.NewReader(chat("large", "9", true)))
		s.c.Assert(err, qt.IsNil)
		req.Header.Set("Authorization", bearer)
		res, err := s.Transport("caller").RoundTrip(req)
		s.c.Assert(err, qt.IsNil)
		times := map[time.Time]bool{}
		for lines := bufio.NewScanner(res.Body); lines.Scan(); {
			times[time.Now()] = true
		}
		_ = res.Body.Close()
		s.c.Check(len(times) >= tokens, qt.IsTrue, qt.Commentf("%d arrivals", len(times)))
		s.end()
	})
}
