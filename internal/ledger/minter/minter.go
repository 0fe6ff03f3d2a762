// Package minter issues and verifies session tokens and request ids.
//
// Both are short texts with a message authentication code (MAC), so that any
// daemon that has the configured keys can verify them without a lookup. The
// first key signs and every key verifies, so that keys can be replaced while
// tokens signed with the previous key are still in use. The MAC covers the
// purpose, so that a request id is never accepted as a session token.
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
	// MinSecretBytes is the length of the shortest key that is used.
	MinSecretBytes = 32
	// MaxTokenBytes is the length of the longest text that is issued or decoded.
	MaxTokenBytes = 2048
	// MaxTTL is the longest lifetime of a request id.
	MaxTTL = 24 * time.Hour

	purposeSession = "session"
	purposeID      = "id"
	serialBytes    = 16
)

// Minter issues and verifies session tokens and request ids. Set the exported
// fields before use; it is then safe for concurrent use.
type Minter struct {
	// Keys returns the configured keys. Keys shorter than MinSecretBytes are
	// ignored.
	Keys func() []samphireturn.TokenKey
	// Instance names this daemon's process; no two processes share a name.
	Instance string
	// Now returns the current time; nil means time.Now.
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

// Token is the encoded form of a signed text.
type Token struct {
	Key     string `cbor:"k"`
	Payload []byte `cbor:"p"`
	MAC     []byte `cbor:"m"`
}

// IssueSession returns a signed token of s. If s.ID is empty, a random id is
// set; if s.Issued is zero, the current time. It returns an error of KindTeam if
// s.Team is empty and of KindKey if the first key is missing or too short.
func (m *Minter) IssueSession(s samphireturn.Session) (string, error) {
	if s.Team == "" {
		return "", &Error{Op: "mint session", Kind: KindTeam}
	}
	if s.ID == "" {
		id, err := m.newSerial()
		if err != nil {
			return "", err
		}
		s.ID = id
	}
	if s.Issued == 0 {
		s.Issued = m.now().Unix()
	}
	return m.sign(purposeSession, s)
}

// VerifySession verifies a session token of the team and returns its session. The
// kind of an error tells why the token is refused; KindTeam means that it is
// authentic but belongs to another team.
func (m *Minter) VerifySession(token, team string) (samphireturn.Session, error) {
	var s samphireturn.Session
	if err := m.verify(purposeSession, token, &s); err != nil {
		return samphireturn.Session{}, err
	}
	if s.Team != team {
		return samphireturn.Session{}, newError("open session", KindTeam, nil)
	}
	return s, nil
}

// IssueID returns a new request id of the team that only this process may run.
// Its lifetime ttl is capped at MaxTTL. It returns an error of KindInvalid if team
// or Instance is empty or ttl is not positive, and of KindKey if the first key is
// missing or too short.
func (m *Minter) IssueID(team string, ttl time.Duration) (string, error) {
	if team == "" || m.Instance == "" || ttl <= 0 {
		return "", &Error{Op: "mint id", Kind: KindInvalid}
	}
	serial, err := m.newSerial()
	if err != nil {
		return "", err
	}
	expires := m.now().Add(min(ttl, MaxTTL)).UnixMilli()
	return m.sign(purposeID, ID{Instance: m.Instance, Team: team, Expires: expires, Serial: serial})
}

// VerifyID verifies a request id of the team and returns its content, which it
// also returns with an error of KindExpired.
func (m *Minter) VerifyID(id, team string) (ID, error) {
	var content ID
	if err := m.verify(purposeID, id, &content); err != nil {
		return ID{}, err
	}
	if content.Team != team {
		return ID{}, newError("open id", KindTeam, nil)
	}
	if m.now().UnixMilli() >= content.Expires {
		return content, newError("open id", KindExpired, nil)
	}
	return content, nil
}

// sign encodes content and signs it for a purpose.
func (m *Minter) sign(purpose string, content any) (string, error) {
	key, ok := m.signingKey()
	if !ok {
		return "", &Error{Op: "sign " + purpose, Kind: KindKey}
	}
	payload, err := cbor.Marshal(content)
	if err != nil {
		return "", &Error{Op: "sign " + purpose, Kind: KindInvalid, Err: err}
	}
	frame, err := cbor.Marshal(Token{Key: key.Name, Payload: payload, MAC: computeMAC(key, purpose, payload)})
	if err != nil {
		return "", &Error{Op: "sign " + purpose, Kind: KindInvalid, Err: err}
	}
	text := encoding.EncodeToString(frame)
	if len(text) > MaxTokenBytes {
		return "", &Error{Op: "sign " + purpose, Kind: KindInvalid}
	}
	return text, nil
}

// verify verifies text for a purpose and decodes its payload into content.
func (m *Minter) verify(purpose, text string, content any) error {
	op := "open " + purpose
	if text == "" || len(text) > MaxTokenBytes {
		return newError(op, KindMalformed, nil)
	}
	frame, err := encoding.DecodeString(text)
	if err != nil {
		return newError(op, KindMalformed, err)
	}
	var t Token
	if err := strictDecoder.Unmarshal(frame, &t); err != nil {
		return newError(op, KindMalformed, err)
	}
	known, authentic := false, false
	for _, key := range m.Keys() {
		if key.Name != t.Key || len(key.Secret) < MinSecretBytes {
			continue
		}
		known = true
		authentic = authentic || hmac.Equal(t.MAC, computeMAC(key, purpose, t.Payload))
	}
	if !known {
		return newError(op, KindKey, nil)
	}
	if !authentic {
		return newError(op, KindForged, nil)
	}
	if err := strictDecoder.Unmarshal(t.Payload, content); err != nil {
		return newError(op, KindMalformed, err)
	}
	return nil
}

// signingKey returns the first key. It returns false if there is none or the first
// is too short.
func (m *Minter) signingKey() (samphireturn.TokenKey, bool) {
	keys := m.Keys()
	if len(keys) == 0 || len(keys[0].Secret) < MinSecretBytes {
		return samphireturn.TokenKey{}, false
	}
	return keys[0], true
}

// newSerial returns a random serial.
func (m *Minter) newSerial() (string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	source := m.Rand
	if source == nil {
		source = rand.Reader
	}
	random := make([]byte, serialBytes)
	if _, err := io.ReadFull(source, random); err != nil {
		return "", &Error{Op: "draw serial", Kind: KindRandom, Err: err}
	}
	return hex.EncodeToString(random), nil
}

func (m *Minter) now() time.Time {
	if m.Now == nil {
		return time.Now()
	}
	return m.Now()
}

// computeMAC returns the MAC of a payload for a purpose. Each part is preceded
// by its length, so that no two different inputs give the same bytes.
func computeMAC(key samphireturn.TokenKey, purpose string, payload []byte) []byte {
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
	encoding      = base64.RawURLEncoding.Strict()
	strictDecoder = newStrictDecoder()
)

func newStrictDecoder() cbor.DecMode {
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
