package receiver

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"samphireturn"
	"samphireturn/internal/core/accountant"
)

// teamControl is a control state with one team.
type teamControl struct {
	samphireturn.Control
	key string
}

// Snapshot implements samphireturn.Control.
func (c teamControl) Snapshot() *samphireturn.Snapshot {
	sum := sha256.Sum256([]byte(c.key))
	team := samphireturn.Team{Name: "counter", Keys: []string{hex.EncodeToString(sum[:])}}
	return &samphireturn.Snapshot{Config: &samphireturn.Config{Teams: []samphireturn.Team{team}}}
}

// TestUnanswered guards against a request whose handler ends without an answer or an error being
// taken for a success.
func TestUnanswered(t *testing.T) {
	c := qt.New(t)
	var log bytes.Buffer
	r := &Receiver{Log: zerolog.New(&log).Level(zerolog.InfoLevel), Ready: func() bool { return true }, Control: teamControl{key: "key"}}
	s := httptest.NewServer(r.authenticated("chat", accountant.Long, func(context.Context, *exchange) error { return nil }))
	req, err := http.NewRequest(http.MethodPost, s.URL, strings.NewReader("{}"))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer key")
	res, err := s.Client().Do(req)
	if err == nil {
		t.Errorf("status %d", res.StatusCode)
		_ = res.Body.Close()
	}
	s.Close()
	var line map[string]string
	c.Assert(json.Unmarshal(log.Bytes(), &line), qt.IsNil)
	c.Check(strings.HasPrefix(line["id"], requestPrefix), qt.IsTrue)
	delete(line, "id")
	c.Check(line, qt.DeepEquals, map[string]string{"level": "error", "event": "unanswered", "handler": "chat"})
}
