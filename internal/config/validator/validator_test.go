package validator_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/config/parser"
	"samphireturn/internal/config/validator"
)

// TestValidate makes one change to the example configuration at a time and
// checks the problem that is reported for it.
func TestValidate(t *testing.T) {
	data, err := os.ReadFile("../../../examples/config.toml")
	qt.Assert(t, err, qt.IsNil)
	tests := []struct{ name, old, new, want string }{
		{"example", "", "", ""},
		{"no preset in force", "force = true", "force = false", `f:3: preset[0]: no preset is in force: set force = true in one`},
		{"two presets in force", `name = "peak"`, "name = \"peak\"\nforce = true", `f:17: preset[1].force: preset "ordinary" is in force already; only one may be`},
		{"negative engines", "engines = 1", "engines = -1", `model[0].version[0].engines: must be 0 or more, not -1`},
		{"share above 1", "share = 1.0", "share = 1.5", `f:57: model[1].version[0].share: must be from 0 to 1, not 1.5`},
		{"share not a number", "share = 1.0", "share = nan", `must be from 0 to 1, not NaN`},
		{"sum of shares", "share = 0.9", "share = 0.8", `f:31: model[0]: the shares of model "small" add up to 0.9`},
		{"unknown step", `steps = ["small", "large"]`, `steps = ["small", "huge"]`, `f:10: preset[0].alias[0].steps[1]: no model "huge"`},
		{"unknown version", `models = ["small", "large"]`, `models = ["small@v9", "small", "large"]`, `model "small" has no version "v9"`},
		{"version that no team may use", `models = ["small", "large"]`, `models = ["small@v1", "large"]`, `f:45: model[0].version[1].name: no team may use small@v2`},
		{"no successor", `successor = "v1"`, "", `withdrawn version "v0" needs a successor`},
		{"successor of another model", `successor = "v1"`, `successor = "v7"`, `f:64: model[1].version[1].successor: model "large" has no version "v7"`},
		{"successor cycle", `successor = "v1"`, `successor = "v0"`, `the successors run in a circle at "v0"`},
		{"successor not live", "state = \"live\"\n  share = 1.0", "state = \"canary\"\n  share = 1.0", `the successors end at "v1", which is not live`},
		{"unknown state", `state = "canary"`, `state = "new"`, `f:46: model[0].version[1].state: "new" is no state`},
		{"name with @", `name = "large"`, `name = "lar@ge"`, `"lar@ge" must have no '@'`},
		{"name with space", `name = "tickets"`, `name = "tick ets"`, `"tick ets" must have no '@'`},
		{"duplicate name", `name = "south"`, `name = "north"`, `"north" is the name of centre[0] too`},
		{"alias with the name of a model", `name = "draft"`, `name = "small"`, `"small" is the name of a model`},
		{"short hash", `keys = ["edbd`, `keys = ["`, `must be a SHA-256 hash of 64 hexadecimal digits`},
		{"shared key", "[[key]]", "[[team]]\nname = \"b\"\nkeys = [\"EDBD7968212204de4f16847e8aa622c26329f5f074698dc93879d21fdb01711b\"]\n[[key]]", `f:85: team[1].keys[0]: is a key of team "counter" already`},
		{"short secret", "an example secret of at least 32 bytes", "short", `f:85: key[0].secret: must have at least 32 bytes, not 5`},
		{"unknown service", `services = ["tickets"]`, `services = ["orders"]`, `no service "orders"`},
		{"invalid pattern", `"PUT /slots/*"`, `"PUT slots"`, `service[0].idempotent[0]: "PUT slots" is no pattern`},
		{"wildcard inside a path", `"PUT /slots/*"`, `"PUT /*/slots"`, `is no pattern`},
		{"guard rates in the wrong order", "bad = 0.2", "bad = 0.01", `guard.bad: must be above good, 0.02, not 0.01`},
		{"guard rate of 1", "alarm = 0.001", "alarm = 1", `guard.alarm: must be above 0 and below 1, not 1`},
		{"retry share", "share = 0.1\nattempts", "share = -1\nattempts", `retry.share: must be from 0 to 1, not -1`},
		{"too many attempts", "attempts = 3", "attempts = 99", `retry.attempts: must be from 0 to 10, not 99`},
		{"unknown key", "explore = 0.02", "explode = 0.02", `f:6: preset[0].explode: unknown key`},
		{"wrong type", "target = 0.9", `target = "high"`, `f:12: preset[0].alias[0].target: must be a number, not a string`},
		{"invalid TOML", "[guard]", "[guard", `f:87: `},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			text := string(data)
			c.Assert(strings.Contains(text, test.old), qt.IsTrue)
			text = strings.Replace(text, test.old, test.new, 1)
			cfg, positions, err := parser.ParseFiles([]parser.File{{Name: "f", Data: []byte(text)}})
			var all parser.Problems
			if err == nil {
				all = validator.Validate(cfg, positions)
			} else {
				c.Assert(cfg, qt.IsNil)
				all = err.(*parser.Error).Err.(parser.Problems)
			}
			if test.want == "" {
				c.Assert(all, qt.HasLen, 0)
				return
			}
			c.Assert(all.Error(), qt.Contains, test.want)
		})
	}
}

// TestMerge checks that lists of several files are appended and keep the
// positions of their own files, and that a table in two files is a problem.
func TestMerge(t *testing.T) {
	c := qt.New(t)
	cfg, positions, err := parser.ParseFiles([]parser.File{
		{Name: "a", Data: []byte("[[team]]\nname='x'\n")},
		{Name: "b", Data: []byte("\n[[team]]\nname='y'\n[guard]\ngood=1\n")},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(cfg.Teams, qt.HasLen, 2)
	c.Assert(cfg.Guard.GoodRate, qt.Equals, 1.0)
	pos := positions.At("team[1].name")
	c.Assert(pos.File, qt.Equals, "b")
	c.Assert(pos.Line, qt.Equals, 3)
	_, _, err = parser.ParseFiles([]parser.File{
		{Name: "a", Data: []byte("[guard]\ngood=0.1\n")},
		{Name: "b", Data: []byte("[guard]\nbad=0.1\n[[team]]\nfoo=1")},
	})
	c.Assert(err, qt.ErrorMatches, `(?s).*b:1: guard: is already set at a:1.*b:4: team\[0\].foo: unknown key`)
}
