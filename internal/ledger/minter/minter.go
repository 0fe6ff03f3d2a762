// Package minter makes and opens session tokens and request ids.
//
// Both are short texts under a message authentication code, so that any daemon
// that holds the configured keys can check them without a lookup. The first key
// signs and every key verifies, so that keys can be changed while tokens of the
// last key are still in use. The code covers the purpose, so that a request id
// never passes as a session token.
package minter

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/hex"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"samphireturn"
)

const (
	// MinSecret is the shortest key that is used, in bytes.
	MinSecret = 32
	// MaxToken is the longest text that is decoded, in bytes.
	MaxToken = 2048
	// MaxLife is the longest life of a request id.
	MaxLife = 24 * time.Hour

	purposeSession = "session"
	purposeID      = "id"
	serialBytes    = 16
)

// Minter makes and opens session tokens and request ids. Set the exported
// fields before use; it is then safe for concurrent use.
type Minter struct {
	// Keys returns the configured keys. Keys shorter than MinSecret are not used.
	Keys func() []samphireturn.TokenKey
	// Instance names this daemon's process; no two processes share a name.
	Instance string
	// Now tells the time; nil means time.Now.
	Now func() time.Time
	// Rand is the source of serials; nil means crypto/rand.
	Rand io.Reader

	mu sync.Mutex
}

// ID is the content of a request id.
type ID struct {
	// Instance is the only process that may run the request.
	Instance string `cbor:"i"`
	Team     string `cbor:"t"`
	// Expires is in milliseconds since 1970 UTC.
	Expires int64 `cbor:"e"`
	// Serial is unique among all ids.
	Serial string `cbor:"s"`
}

// Token is the frame of a signed text.
type Token struct {
	Key     string `cbor:"k"`
	Payload []byte `cbor:"p"`
	MAC     []byte `cbor:"m"`
}

// IssueSession returns a signed token of s. An empty id is drawn and a zero issue
// time is set.
func (m *Minter) IssueSession(s samphireturn.Session) (string, error) {
	if s.Team == "" {
		return "", &Error{Op: "mint session", Kind: KindTeam}
	}
	if s.ID == "" {
		id, err := m.serial()
		if err != nil {
			return "", err
		}
		s.ID = id
	}
	if s.Issued == 0 {
		s.Issued = m.now().Unix()
	}
	return m.seal(purposeSession, s)
}

// VerifySession verifies a session token of the team and returns its content.
func (m *Minter) VerifySession(token, team string) (samphireturn.Session, error) {
	var s samphireturn.Session
	if err := m.open(purposeSession, token, &s); err != nil {
		return samphireturn.Session{}, err
	}
	if s.Team != team {
		return samphireturn.Session{}, refuse("open session", KindTeam, nil)
	}
	return s, nil
}

// IssueID returns a new request id of the team that only this process may run. Life
// is cut to MaxLife.
func (m *Minter) IssueID(team string, life time.Duration) (string, error) {
	if team == "" || m.Instance == "" || life <= 0 {
		return "", &Error{Op: "mint id", Kind: KindInvalid}
	}
	serial, err := m.serial()
	if err != nil {
		return "", err
	}
	expires := m.now().Add(min(life, MaxLife)).UnixMilli()
	return m.seal(purposeID, ID{Instance: m.Instance, Team: team, Expires: expires, Serial: serial})
}

// VerifyID verifies a request id of the team. With an error of KindExpired the
// content is returned too.
func (m *Minter) VerifyID(id, team string) (ID, error) {
	var v ID
	if err := m.open(purposeID, id, &v); err != nil {
		return ID{}, err
	}
	if v.Team != team {
		return ID{}, refuse("open id", KindTeam, nil)
	}
	if m.now().UnixMilli() >= v.Expires {
		return v, refuse("open id", KindExpired, nil)
	}
	return v, nil
}

// seal encodes and signs content for a purpose.
func (m *Minter) seal(purpose string, content any) (string, error) {
	key, ok := m.signer()
	if !ok {
		return "", &Error{Op: "sign " + purpose, Kind: KindKey}
	}
	payload, err := cbor.Marshal(content)
	if err != nil {
		return "", &Error{Op: "sign " + purpose, Kind: KindInvalid, Err: err}
	}
	frame, err := cbor.Marshal(Token{Key: key.Name, Payload: payload, MAC: sum(key, purpose, payload)})
	if err != nil {
		return "", &Error{Op: "sign " + purpose, Kind: KindInvalid, Err: err}
	}
	text := encoding.EncodeToString(frame)
	if len(text) > MaxToken {
		return "", &Error{Op: "sign " + purpose, Kind: KindInvalid}
	}
	return text, nil
}

// open verifies text for a purpose and decodes its payload into content.
func (m *Minter) open(purpose, text string, content any) error {
	op := "open " + purpose
	if text == "" || len(text) > MaxToken {
		return refuse(op, KindMalformed, nil)
	}
	frame, err := encoding.DecodeString(text)
	if err != nil {
		return refuse(op, KindMalformed, err)
	}
	var t Token
	if err := decoding.Unmarshal(frame, &t); err != nil {
		return refuse(op, KindMalformed, err)
	}
	known, good := false, false
	for _, key := range m.Keys() {
		if key.Name != t.Key || len(key.Secret) < MinSecret {
			continue
		}
		known = true
		good = good || hmac.Equal(t.MAC, sum(key, purpose, t.Payload))
	}
	if !known {
		return refuse(op, KindKey, nil)
	}
	if !good {
		return refuse(op, KindForged, nil)
	}
	if err := decoding.Unmarshal(t.Payload, content); err != nil {
		return refuse(op, KindMalformed, err)
	}
	return nil
}

// signer returns the first key if it is long enough.
func (m *Minter) signer() (samphireturn.TokenKey, bool) {
	keys := m.Keys()
	if len(keys) == 0 || len(keys[0].Secret) < MinSecret {
		return samphireturn.TokenKey{}, false
	}
	return keys[0], true
}

// serial draws a new serial.
func (m *Minter) serial() (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	source := m.Rand
	if source == nil {
		source = rand.Reader
	}
	b := make([]byte, serialBytes)
	if _, err := io.ReadFull(source, b); err != nil {
		return "", &Error{Op: "draw serial", Kind: KindRandom, Err: err}
	}
	return hex.EncodeToString(b), nil
}

func (m *Minter) now() time.Time {
	if m.Now == nil {
		return time.Now()
	}
	return m.Now()
}

// sum returns the code of a payload for a purpose.
func sum(key samphireturn.TokenKey, purpose string, payload []byte) []byte {
	h := hmac.New(sha256.New, []byte(key.Secret))
	for _, part := range [][]byte{[]byte(purpose), []byte(key.Name), payload} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return h.Sum(nil)
}

var (
	encoding = base64.RawURLEncoding.Strict()
	decoding = decodingMode()
)

func decodingMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		MaxNestedLevels:   4,
		MaxMapPairs:       16,
		MaxArrayElements:  16,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
