package samphireturn

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRevisionCompare guards against a revision of an older era that counts as newer or as
// the same because of its number.
func TestRevisionCompare(t *testing.T) {
	tests := []struct {
		name string
		v, o Revision
		want int
	}{
		{"same", Revision{Era: 1, Number: 7}, Revision{Era: 1, Number: 7}, 0},
		{"higher revision", Revision{Era: 1, Number: 8}, Revision{Era: 1, Number: 7}, 1},
		{"equal revision of an older era", Revision{Era: 1, Number: 7}, Revision{Era: 2, Number: 7}, -1},
		{"higher revision of an older era", Revision{Era: 1, Number: 9}, Revision{Era: 2, Number: 7}, -1},
		{"no era before the first", Revision{Number: 9}, Revision{Era: 1}, -1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Check(test.v.Compare(test.o), qt.Equals, test.want)
			c.Check(test.o.Compare(test.v), qt.Equals, -test.want)
			c.Check(test.v.Newer(test.o), qt.Equals, test.want > 0)
		})
	}
}
