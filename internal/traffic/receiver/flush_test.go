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

// TestStreamFlush checks that no event of a slow stream is held back until a
// later one.
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
