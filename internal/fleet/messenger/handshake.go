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
	// hello is the dialler's first message.
	hello struct {
		Version byte   `cbor:"1,keyasint"`
		From    string `cbor:"2,keyasint"`
		To      string `cbor:"3,keyasint"`
		Nonce   []byte `cbor:"4,keyasint"`
	}

	// challenge is the acceptor's answer to a hello.
	challenge struct {
		Nonce []byte `cbor:"1,keyasint"`
		Proof []byte `cbor:"2,keyasint"`
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

// introduce runs the dialler's side of the handshake with the daemon to.
func (m *Messenger) introduce(ctx context.Context, c *websocket.Conn, to string) error {
	h := hello{Version: encoder.Version, From: m.self.ID, To: to, Nonce: make([]byte, nonceSize)}
	if _, err := io.ReadFull(m.Nonces, h.Nonce); err != nil {
		return &Error{Op: "draw nonce", Kind: KindLink, Err: err}
	}
	if err := send(ctx, c, &h); err != nil {
		return err
	}
	var ch challenge
	if err := receive(ctx, c, &ch); err != nil {
		return err
	}
	if len(ch.Nonce) != nonceSize || !hmac.Equal(ch.Proof, m.prove(labelAccept, &h, ch.Nonce)) {
		return &Error{Op: "link to " + to, Kind: KindProof}
	}
	if err := send(ctx, c, &answer{Proof: m.prove(labelDial, &h, ch.Nonce)}); err != nil {
		return err
	}
	var w welcome
	if err := receive(ctx, c, &w); err != nil {
		return err
	}
	if !w.OK {
		return &Error{Op: "link to " + to, Kind: KindHello}
	}
	return nil
}

// admit runs the acceptor's side and returns the id of the proved peer.
func (m *Messenger) admit(ctx context.Context, c *websocket.Conn) (string, error) {
	var h hello
	if err := receive(ctx, c, &h); err != nil {
		return "", err
	}
	if h.Version != encoder.Version || h.To != m.self.ID || h.From == "" || h.From == m.self.ID || len(h.Nonce) != nonceSize {
		return h.From, &Error{Op: "link from " + h.From, Kind: KindHello}
	}
	nonce := make([]byte, nonceSize)
	if _, err := io.ReadFull(m.Nonces, nonce); err != nil {
		return h.From, &Error{Op: "draw nonce", Kind: KindLink, Err: err}
	}
	if err := send(ctx, c, &challenge{Nonce: nonce, Proof: m.prove(labelAccept, &h, nonce)}); err != nil {
		return h.From, err
	}
	var a answer
	if err := receive(ctx, c, &a); err != nil {
		return h.From, err
	}
	if !hmac.Equal(a.Proof, m.prove(labelDial, &h, nonce)) {
		return h.From, &Error{Op: "link from " + h.From, Kind: KindProof}
	}
	return h.From, nil
}

// prove returns the MAC over the label, both ids and both nonces, each led by
// its length.
func (m *Messenger) prove(label string, h *hello, nonce []byte) []byte {
	mac := hmac.New(sha256.New, m.key)
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
