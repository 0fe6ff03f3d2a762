package minter_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"samphireturn"
	"samphireturn/internal/ledger/minter"
)

var (
	first  = samphireturn.TokenKey{Name: "first", Secret: strings.Repeat("a", 32)}
	second = samphireturn.TokenKey{Name: "second", Secret: strings.Repeat("b", 32)}
)

// newMinter returns a minter with a fixed clock.
func newMinter(now time.Time, keys ...samphireturn.TokenKey) *minter.Minter {
	return &minter.Minter{
		Keys:     func() []samphireturn.TokenKey { return keys },
		Instance: "a-1",
		Now:      func() time.Time { return now },
	}
}

func kind(err error) minter.Kind {
	var e *minter.Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return -1
}

// TestSession guards against accepting a token that is forged, changed,
// malformed, signed with an unusable key, of another team, or a request id. A
// token must stay valid after a key change.
func TestSession(t *testing.T) {
	c := qt.New(t)
	m := newMinter(time.Unix(100, 0), first)
	token, err := m.IssueSession(samphireturn.Session{Team: "red", Model: "small", Version: "v1"})
	c.Assert(err, qt.IsNil)
	id, err := m.IssueID("red", time.Minute)
	c.Assert(err, qt.IsNil)
	wrongSecret := first
	wrongSecret.Secret = second.Secret
	short := samphireturn.TokenKey{Name: "first", Secret: "short"}
	flipped := []byte(token)
	flipped[len(flipped)/2] ^= 1
	// The same bytes in another encoding: the unused bits of the last
	// character are set.
	nonCanonical := ""
	for pad := ""; nonCanonical == ""; pad += "e" {
		token, err = m.IssueSession(samphireturn.Session{Team: "red", Model: "small", Version: "v1", Endpoint: pad})
		c.Assert(err, qt.IsNil)
		if alphabet := "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"; len(token)%4 != 0 {
			last := strings.IndexByte(alphabet, token[len(token)-1])
			nonCanonical = token[:len(token)-1] + alphabet[last+1:last+2]
		}
	}
	tests := []struct {
		name, token, team string
		keys              []samphireturn.TokenKey
		want              minter.Kind
	}{
		{"good", token, "red", []samphireturn.TokenKey{first}, -1},
		{"after a key change", token, "red", []samphireturn.TokenKey{second, first}, -1},
		{"another team's", token, "blue", []samphireturn.TokenKey{first}, minter.KindTeam},
		{"forged", token, "red", []samphireturn.TokenKey{wrongSecret}, minter.KindForged},
		{"changed", string(flipped), "red", []samphireturn.TokenKey{first}, minter.KindForged},
		{"unknown key", token, "red", []samphireturn.TokenKey{second}, minter.KindKey},
		{"short key", token, "red", []samphireturn.TokenKey{short}, minter.KindKey},
		{"truncated", token[:len(token)-4], "red", []samphireturn.TokenKey{first}, minter.KindMalformed},
		{"long", strings.Repeat("A", minter.MaxTokenBytes+1), "red", []samphireturn.TokenKey{first}, minter.KindMalformed},
		{"non-canonical encoding", nonCanonical, "red", []samphireturn.TokenKey{first}, minter.KindMalformed},
		{"empty", "", "red", []samphireturn.TokenKey{first}, minter.KindMalformed},
		{"a request id", id, "red", []samphireturn.TokenKey{first}, minter.KindForged},
	}
	for _, test := range tests {
		c.Run(test.name, func(c *qt.C) {
			s, err := newMinter(time.Unix(100, 0), test.keys...).VerifySession(test.token, test.team)
			c.Assert(kind(err), qt.Equals, test.want, qt.Commentf("%v", err))
			if err == nil {
				c.Assert(s.Model, qt.Equals, "small")
				c.Assert(s.Issued, qt.Equals, int64(100))
				c.Assert(s.ID, qt.HasLen, 32)
			}
		})
	}
}

// TestID checks that an id is refused after its expiry and for another team,
// and that none is issued without a key.
func TestID(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	m := newMinter(now, second, first)
	id, err := m.IssueID("red", time.Minute)
	c.Assert(err, qt.IsNil)
	v, err := newMinter(now.Add(59*time.Second), first, second).VerifyID(id, "red")
	c.Assert(err, qt.IsNil)
	c.Assert(v.Instance, qt.Equals, "a-1")
	_, err = newMinter(now.Add(time.Minute), first, second).VerifyID(id, "red")
	c.Assert(kind(err), qt.Equals, minter.KindExpired)
	_, err = m.VerifyID(id, "blue")
	c.Assert(kind(err), qt.Equals, minter.KindTeam)
	_, err = newMinter(now).IssueID("red", time.Minute)
	c.Assert(kind(err), qt.Equals, minter.KindKey)
}

// FuzzOpen verifies arbitrary texts: only the issued token may be accepted.
func FuzzOpen(f *testing.F) {
	m := newMinter(time.Unix(100, 0), first)
	token, _ := m.IssueSession(samphireturn.Session{Team: "red"})
	for _, seed := range []string{token, token[:9], "", "oA", "____"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := m.VerifySession(text, "red"); err == nil && text != token {
			t.Fatalf("accepted %q", text)
		}
	})
}
