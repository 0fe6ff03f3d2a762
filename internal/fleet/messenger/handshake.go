package messenger

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"io"

	"github.com/coder/websocket"

	"samphireturn/internal/fleet/encoder"
)

const (
	nonceSize = 32
	// helloLimit bounds a handshake message in bytes.
	helloLimit = 1 << 10
	// Labels keep a proof of one side from serving as the other's.
	labelAccept = "samphireturn peer accept 1"
	labelDial   = "samphireturn peer dial 1"
)

type (
	// hello is the dialler's first message. To is empty if the dialler knows only
	// the address.
	hello struct {
		Version byte   `cbor:"1,keyasint"`
		From    string `cbor:"2,keyasint"`
		To      string `cbor:"3,keyasint"`
		Nonce   []byte `cbor:"4,keyasint"`
	}

	// challenge is the acceptor's answer to a hello. From is the acceptor's id, if
	// the hello named none.
	challenge struct {
		Nonce []byte `cbor:"1,keyasint"`
		Proof []byte `cbor:"2,keyasint"`
		From  string `cbor:"3,keyasint,omitempty"`
	}

	// answer is the dialler's proof.
	answer struct {
		Proof []byte `cbor:"1,keyasint"`
	}

	// welcome ends the handshake.
	welcome struct {
		OK bool `cbor:"1,keyasint"`
	}
)

// introduce runs the dialler's side of the handshake with the daemon to, or with
// whoever answers if to is empty. It returns the id of the proved peer.
func (m *Messenger) introduce(ctx context.Context, c *websocket.Conn, to string) (string, error) {
	h := hello{Version: encoder.Version, From: m.self.ID, To: to, Nonce: make([]byte, nonceSize)}
	if _, err := io.ReadFull(m.Nonces, h.Nonce); err != nil {
		return to, &Error{Op: "draw nonce", Kind: KindLink, Err: err}
	}
	if err := send(ctx, c, &h); err != nil {
		return to, err
	}
	var ch challenge
	if err := receive(ctx, c, &ch); err != nil {
		return to, err
	}
	if h.To == "" {
		h.To = ch.From
	}
	if h.To == "" || h.To == m.self.ID {
		return to, &Error{Op: "link to " + h.To, Kind: KindHello}
	}
	if len(ch.Nonce) != nonceSize || !m.proved(ch.Proof, labelAccept, &h, ch.Nonce) {
		return to, &Error{Op: "link to " + h.To, Kind: KindProof}
	}
	if to == "" && m.linked(h.To) != nil {
		// Another link has come between; the acceptor would end it for this one.
		return to, &Error{Op: "second link to " + h.To, Kind: KindLink}
	}
	if err := send(ctx, c, &answer{Proof: prove(m.key, labelDial, &h, ch.Nonce)}); err != nil {
		return to, err
	}
	var w welcome
	if err := receive(ctx, c, &w); err != nil {
		return to, err
	}
	if !w.OK {
		return to, &Error{Op: "link to " + h.To, Kind: KindHello}
	}
	return h.To, nil
}

// admit runs the acceptor's side and returns the id of the proved peer.
func (m *Messenger) admit(ctx context.Context, c *websocket.Conn) (string, error) {
	var h hello
	if err := receive(ctx, c, &h); err != nil {
		return "", err
	}
	ch := challenge{Nonce: make([]byte, nonceSize)}
	if h.To == "" {
		h.To, ch.From = m.self.ID, m.self.ID
	}
	if h.Version != encoder.Version || h.To != m.self.ID || h.From == "" || h.From == m.self.ID || len(h.Nonce) != nonceSize {
		return h.From, &Error{Op: "link from " + h.From, Kind: KindHello}
	}
	if _, err := io.ReadFull(m.Nonces, ch.Nonce); err != nil {
		return h.From, &Error{Op: "draw nonce", Kind: KindLink, Err: err}
	}
	ch.Proof = prove(m.key, labelAccept, &h, ch.Nonce)
	if err := send(ctx, c, &ch); err != nil {
		return h.From, err
	}
	var a answer
	if err := receive(ctx, c, &a); err != nil {
		return h.From, err
	}
	if !m.proved(a.Proof, labelDial, &h, ch.Nonce) {
		return h.From, &Error{Op: "link from " + h.From, Kind: KindProof}
	}
	return h.From, nil
}

// proved reports whether a proof was made with one of the accepted keys.
func (m *Messenger) proved(proof []byte, label string, h *hello, nonce []byte) bool {
	if hmac.Equal(proof, prove(m.key, label, h, nonce)) {
		return true
	}
	for _, key := range m.AcceptedKeys {
		if hmac.Equal(proof, prove([]byte(key), label, h, nonce)) {
			return true
		}
	}
	return false
}

// prove returns the MAC over the label, both ids and both nonces, each led by
// its length.
func prove(key []byte, label string, h *hello, nonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(label), []byte(h.From), []byte(h.To), h.Nonce, nonce} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		mac.Write(size[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func send(ctx context.Context, c *websocket.Conn, v any) error {
	data, err := encoder.Marshal(v)
	if err != nil {
		return err
	}
	if err := c.Write(ctx, websocket.MessageBinary, data); err != nil {
		return &Error{Op: "send", Kind: KindLink, Err: err}
	}
	return nil
}

func receive(ctx context.Context, c *websocket.Conn, v any) error {
	c.SetReadLimit(helloLimit)
	kind, data, err := c.Read(ctx)
	if err != nil {
		return &Error{Op: "receive", Kind: KindLink, Err: err}
	}
	if kind != websocket.MessageBinary {
		return &Error{Op: "receive", Kind: KindFrame}
	}
	if err := encoder.Unmarshal(data, v); err != nil {
		return &Error{Op: "receive", Kind: KindFrame, Err: err}
	}
	return nil
}
