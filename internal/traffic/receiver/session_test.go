package receiver_test

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/ledger/minter"
	"samphireturn/internal/standin/keeper"
	"samphireturn/internal/standin/starter"
)

// configEdit replaces one text of the example configuration.
type configEdit struct{ old, new string }

const oldKey = `[[key]]
name = "k1"`

var (
	newKeyFirst = configEdit{oldKey, "[[key]]\nname = \"k2\"\nsecret = \"another secret of at least 32 bytes!\"\n\n" + oldKey}
	withdrawV2  = []configEdit{
		{"state = \"canary\"\n  share = 0.1", "state = \"withdrawn\"\n  successor = \"v1\""},
		{"share = 0.9", "share = 1.0"},
	}
	// withdrawV1 withdraws v1 in favour of v2, which is withdrawn in favour of v3; v4
	// takes all new sessions.
	withdrawV1 = []configEdit{
		{"state = \"live\"\n  share = 0.9", "state = \"withdrawn\"\n  successor = \"v2\""},
		{"state = \"canary\"\n  share = 0.1", "state = \"withdrawn\"\n  successor = \"v3\""},
		{"[[model]]\nname = \"large\"", "  [[model.version]]\n  name = \"v3\"\n  state = \"live\"\n  share = 0.0\n\n  [[model.version]]\n  name = \"v4\"\n  state = \"live\"\n  share = 1.0\n\n[[model]]\nname = \"large\""},
	}
)

// reconfigure activates the example configuration with the edits.
func (s *onceSite) reconfigure(edits ...configEdit) {
	config, err := os.ReadFile("../../../examples/config.toml")
	s.Assert(err, qt.IsNil)
	text := string(config)
	for _, e := range edits {
		s.Assert(strings.Count(text, e.old), qt.Equals, 1, qt.Commentf("%s", e.old))
		text = strings.Replace(text, e.old, e.new, 1)
	}
	_, err = s.Apply(context.Background(), text)
	s.Assert(err, qt.IsNil)
	time.Sleep(onceSettle)
}

// chat sends a chat request to daemon n, in the session of token if there is one.
func (s *onceSite) chat(n int, token string) callResult {
	body := `{"model":"small","max_tokens":4,"messages":[{"role":"user","content":"hi"}]}`
	if token == "" {
		return s.send(n, "/v1/chat/completions", body)
	}
	return s.send(n, "/v1/chat/completions", body, "Samphire-Session", token)
}

// TestFaultSession sends requests of a session on each version to every daemon,
// under each fault and change of configuration. All daemons must serve a session on
// the same, expected version.
func TestFaultSession(t *testing.T) {
	partitionCentres := func(s *onceSite) {
		s.Network.Partition(func(from, to string) bool {
			south := func(at string) bool { return strings.HasPrefix(at, "entry3") }
			return south(from) != south(to) && from != "caller" && to != starter.PlatformAddr && !strings.HasPrefix(to, "engine")
		})
	}
	down := func(s *onceSite) { s.Objects.SetFaults(keeper.Faults{Down: true}) }
	replace := func(s *onceSite) {
		s.Assert(s.daemons[0].Close(), qt.IsNil)
		s.Assert(s.Unlist("entry1"), qt.IsNil)
		d, err := s.Daemon(context.Background(), "entry4", "north")
		s.Assert(err, qt.IsNil)
		s.daemons[0] = d
		time.Sleep(onceSettle)
	}
	change := func(edits ...configEdit) func(*onceSite) { return func(s *onceSite) { s.reconfigure(edits...) } }
	same := map[string]string{"small@v1": "small@v1", "small@v2": "small@v2"}
	tests := []struct {
		name  string
		fault []func(*onceSite)
		want  map[string]string
	}{
		{"none", nil, same},
		{"platform down", []func(*onceSite){down}, same},
		{"centres partitioned", []func(*onceSite){partitionCentres}, same},
		{"centres partitioned, platform down", []func(*onceSite){partitionCentres, down}, same},
		{"VM replaced", []func(*onceSite){replace}, same},
		{"key changed", []func(*onceSite){change(newKeyFirst)}, same},
		{"key changed, VM replaced, platform down", []func(*onceSite){change(newKeyFirst), replace, down}, same},
		{"withdrawn", []func(*onceSite){change(withdrawV2...)}, map[string]string{"small@v1": "small@v1", "small@v2": "small@v1"}},
		{"withdrawn, centres partitioned, platform down", []func(*onceSite){change(withdrawV2...), partitionCentres, down}, map[string]string{"small@v1": "small@v1", "small@v2": "small@v1"}},
		{"chain withdrawn", []func(*onceSite){change(withdrawV1...)}, map[string]string{"small@v1": "small@v3", "small@v2": "small@v3"}},
		{"chain withdrawn, VM replaced", []func(*onceSite){change(withdrawV1...), replace}, map[string]string{"small@v1": "small@v3", "small@v2": "small@v3"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withSite(t, func(s *onceSite) {
				tokens := make(map[string]string)
				for n := 0; len(tokens) < 2 && n < 200; n++ {
					got := s.chat(n%3, "")
					s.Assert(got.status, qt.Equals, 200, qt.Commentf("%s", got.body))
					tokens[got.version] = got.token
				}
				s.Assert(len(tokens), qt.Equals, 2)
				for _, f := range tt.fault {
					f(s)
				}
				for version, token := range tokens {
					for n := range s.daemons {
						got := s.chat(n, token)
						s.Check(got.version, qt.Equals, tt.want[version], qt.Commentf("daemon %d: %s", n, got.body))
						// The new token is accepted by another daemon.
						s.Check(s.chat((n+1)%3, got.token).version, qt.Equals, tt.want[version])
					}
				}
			})
		})
	}
}

// TestFaultSessionToken checks that every daemon refuses tokens that are truncated,
// forged, signed with a removed key, or issued to another team.
func TestFaultSessionToken(t *testing.T) {
	const hash = "edbd7968212204de4f16847e8aa622c26329f5f074698dc93879d21fdb01711b"
	otherTeam := configEdit{oldKey, "[[team]]\nname = \"export\"\nkeys = [\"" + hash + "\"]\nmodels = [\"small\"]\n\n" + oldKey}
	withSite(t, func(s *onceSite) {
		token := s.chat(0, "").token
		flip := []byte(token)
		flip[len(flip)/2] ^= 1
		otherMinter := &minter.Minter{Instance: "entry1.x", Keys: func() []samphireturn.TokenKey {
			return []samphireturn.TokenKey{{Name: "k1", Secret: strings.Repeat("guess", 8)}}
		}}
		guessed, err := otherMinter.IssueSession(samphireturn.Session{Team: "counter", Model: "large", Version: "v1"})
		s.Assert(err, qt.IsNil)
		bad := map[string]string{"signed with an unknown key": guessed, "truncated": token[:len(token)-4], "forged": string(flip), "no token": "AAAA"}
		for name, b := range bad {
			for n := range s.daemons {
				got := s.chat(n, b)
				s.Check(got.status, qt.Equals, 400, qt.Commentf("%s: %s", name, got.body))
				s.Check(got.run, qt.Equals, "no")
			}
		}
		// The caller's key now belongs to another team.
		s.reconfigure(configEdit{"keys = [\"edbd", "keys = [\"adbd"}, otherTeam)
		for n := range s.daemons {
			s.Check(s.chat(n, token).status, qt.Equals, 400)
		}
		s.reconfigure(configEdit{"name = \"k1\"", "name = \"k3\""})
		for n := range s.daemons {
			s.Check(s.chat(n, token).status, qt.Equals, 400)
			s.Check(s.chat(n, "").status, qt.Equals, 200)
		}
	})
}
