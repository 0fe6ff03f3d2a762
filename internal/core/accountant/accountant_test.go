package accountant

import (
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTake guards against an account that takes more than it has, and against requests that leave nothing
// to those that have begun, to shorter or to more urgent ones.
func TestTake(t *testing.T) {
	const size = 1 << 10
	tests := []struct {
		name string
		use  Use
		rank int
	}{
		{"long, least urgent", Long, MaxRank},
		{"long, beyond the least urgent", Long, 2 * MaxRank},
		{"short, least urgent", Short, MaxRank},
		{"long", Long, 0},
		{"long, beyond the most urgent", Long, -1},
		{"short", Short, 0},
		{"body", Body, 0},
		{"answer", Answer, 0},
	}
	c := qt.New(t)
	a := &Accountant{Capacity: 1000 * size}
	before := int64(0)
	for _, test := range tests {
		for a.Take(test.use, test.rank, size) {
		}
		same := strings.Contains(test.name, "beyond")
		c.Check(a.Held() > before != same, qt.IsTrue, qt.Commentf("%s: %d after %d", test.name, a.Held(), before))
		c.Check(a.Held() <= a.Capacity, qt.IsTrue)
		before = a.Held()
	}
	c.Check(a.Held(), qt.Equals, a.Capacity)
	a.Give(a.Held())
	c.Check(a.Take(Long, 0, size), qt.IsTrue)
}

// TestUnbounded checks that an account without a bound, or none, takes all.
func TestUnbounded(t *testing.T) {
	for _, a := range []*Accountant{nil, {}} {
		c := qt.New(t)
		c.Check(a.Take(Long, MaxRank, 1<<40), qt.IsTrue)
		a.Give(1 << 40)
		c.Check(a.Held(), qt.Equals, int64(0))
	}
}

func TestCapacityOf(t *testing.T) {
	tests := []struct {
		memory      int64
		conns       int
		least, most int64
	}{
		{0, 100, 0, 0},
		{16 << 10, 1, 8 << 20, 8 << 20},
		{64 << 20, 768, 22 << 20, 27 << 20},
		{64 << 20, 100, 34 << 20, 38 << 20},
		{134 << 20, 1608, 70 << 20, 80 << 20},
		{536 << 20, 1950, 420 << 20, 460 << 20},
	}
	for _, test := range tests {
		got := CapacityOf(test.memory, test.conns)
		qt.New(t).Check(got >= test.least && got <= test.most, qt.IsTrue, qt.Commentf("%d of %d", got, test.memory))
	}
}

// TestHeaderBytes guards against headers whose fields take far more than their text.
func TestHeaderBytes(t *testing.T) {
	many := make(http.Header)
	for i := range 2000 {
		many[strings.Repeat("x", i%7+1)+strings.Repeat("y", i/7)] = []string{""}
	}
	tests := []struct {
		name        string
		header      http.Header
		least, most int64
	}{
		{"none", nil, 0, 0},
		{"one long field", http.Header{"X-Trace": {strings.Repeat("h", 15000)}}, 15000, 18000},
		{"one field many times", http.Header{"A": make([]string, 3000)}, 3000 * 50, 3000 * 400},
		{"many fields", many, 2000 * 200, 2000 * 700},
	}
	for _, test := range tests {
		got := HeaderBytes(test.header)
		qt.New(t).Check(got >= test.least && got <= test.most, qt.IsTrue, qt.Commentf("%s: %d", test.name, got))
	}
}
