package loader_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"samphireturn/internal/config/loader"
)

const validSettings = `id = "n1"
centre = "north"
listen = "127.0.0.1:8080"
peer = "127.0.0.1:8081"
platform = "http://127.0.0.1:9000"
fleet = "a key of sixteen bytes"
level = "debug"
[limits]
body = 1000
`

// TestRead checks the line, key and text of the problem for each kind of
// invalid setting, and the defaults of valid settings.
func TestRead(t *testing.T) {
	tests := []struct{ name, old, new, want string }{
		{"valid", "", "", ""},
		{"unknown key", "level =", "lever =", `f:7: lever: unknown key`},
		{"unknown limit", "body =", "bodies =", `f:9: limits.bodies: unknown key`},
		{"wrong type", `"n1"`, `7`, `f:1: id: must be a string, not a whole number`},
		{"bad address", `"127.0.0.1:8080"`, `"8080"`, `f:3: listen: "8080" is no address: want HOST:PORT`},
		{"bad port", `"127.0.0.1:8081"`, `"127.0.0.1:99999"`, `f:4: peer: "99999" is no port from 0 to 65535`},
		{"host name", `"127.0.0.1:8081"`, `"box:1"`, `f:4: peer: "box" is no IP number`},
		{"bad URL", `"http://127`, `"127`, `f:5: platform: "127.0.0.1:9000" is no http or https URL`},
		{"short key", "a key of sixteen bytes", "short", `f:6: fleet: must have at least 16 bytes, not 5`},
		{"seed without a port", `level =`, "seeds = [\"10.0.0.3:9000\",\n\"10.0.0.3\"]\nlevel =", `f:8: seeds\[1\]: "10.0.0.3" is no address: want HOST:PORT`},
		{"seed by name", `level =`, "seeds = [\"box:9000\"]\nlevel =", `f:7: seeds\[0\]: "box" is no IP number`},
		{"seed without a host", `level =`, "seeds = [\":9000\"]\nlevel =", `f:7: seeds\[0\]: ":9000" names no VM`},
		{"empty seed", `level =`, "seeds = [\"\"]\nlevel =", `f:7: seeds\[0\]: "" names no VM`},
		{"seeds not a list", `level =`, "seeds = \"10.0.0.3:9000\"\nlevel =", `f:7: seeds: must be .*`},
		{"short second key", `level =`, "fleets = [\"short\"]\nlevel =", `f:7: fleets\[0\]: must have at least 16 bytes, not 5`},
		{"bad level", `"debug"`, `"loud"`, `f:7: level: "loud" is no log level; use debug, info, warn or error`},
		{"negative limit", "1000", "-1", `f:9: limits.body: must be above 0, not -1`},
		{"missing key", `centre = "north"`, "", `f: centre: is missing`},
		{"invalid TOML", "[limits]", "[limits", `f:8: .*`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, err := loader.Read("f", []byte(strings.Replace(validSettings, test.old, test.new, 1)))
			if test.want != "" {
				c.Assert(err, qt.ErrorMatches, `load settings: `+test.want)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(s.Limits.MaxBodyBytes, qt.Equals, int64(1000))
			c.Assert(s.Limits.MaxHeaderBytes, qt.Equals, int64(64<<10))
			c.Assert(s.Advertise.Peer, qt.Equals, s.Peer)
		})
	}
}

// TestReadReportsEveryProblem guards against a problem that hides others in the
// same file, such as a value of a wrong type.
func TestReadReportsEveryProblem(t *testing.T) {
	c := qt.New(t)
	_, err := loader.Read("f", []byte("id = 1\nfoo = 2\nlisten = 'x'\nlevel = ''\n[limits]\nidle = 'x'\nread = 0\n"))
	c.Assert(err, qt.ErrorMatches, `(?s)load settings: f: centre: is missing
f: peer: is missing
f: platform: is missing
f: fleet: is missing
f:1: id: must be .*
f:2: foo: unknown key
f:3: listen: .*
f:4: level: .*
f:6: limits.idle: .*
f:7: limits.read: must be above 0, not 0`)
}
