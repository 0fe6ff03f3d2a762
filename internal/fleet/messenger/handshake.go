package messenger

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"io"

	"samphireturn/internal/fleet/encoder"
)

const (
	nonceSize = 32
	// The labels differ so that the proof of one side cannot be replayed as the other's.
	labelAccept = "samphireturn peer accept 1"
	labelDial   = "samphireturn peer dial 1"
)

type (
	// hello is the dialler's first message. To is empty if the dialler knows only the
	// address.
	hello struct {
		Version byte   `cbor:"1,keyasint"`
		From    string `cbor:"2,keyasint"`
		To      string `cbor:"3,keyasint"`
		Nonce   []byte `cbor:"4,keyasint"`
	}

	// challenge is the acceptor's answer to a hello. From is the acceptor's id, set only
	// if the hello named none.
	challenge struct {
		Nonce []byte `cbor:"1,keyasint"`
		Proof []byte `cbor:"2,keyasint"`
		From  string `cbor:"3,keyasint,omitempty"`
	}

	// response carries the dialler's proof.
	response struct {
		Proof []byte `cbor:"1,keyasint"`
	}

	// welcome ends the handshake.
	welcome struct {
		OK bool `cbor:"1,keyasint"`
	}
)

// handshakeDial runs the dialler's side of the handshake with the daemon to, or with any
// daemon of the fleet if to is empty. It returns the id that the peer proved.
func (m *Messenger) handshakeDial(ctx context.Context, c messageConn, to string) (string, error) {
	h := hello{Version: encoder.Version, From: m.self.ID, To: to, Nonce: make([]byte, nonceSize)}
	if _, err := io.ReadFull(m.Nonces, h.Nonce); err != nil {
		return to, &Error{Op: "draw nonce", Kind: KindConnFailed, Err: err}
	}
	if err := sendMessage(ctx, c, &h); err != nil {
		return to, err
	}
	var ch challenge
	if err := receiveMessage(ctx, c, &ch); err != nil {
		return to, err
	}
	if h.To == "" {
		h.To = ch.From
	}
	if h.To == "" || h.To == m.self.ID {
		return to, &Error{Op: "link to " + h.To, Kind: KindWrongPeer}
	}
	if len(ch.Nonce) != nonceSize || !m.verifyProof(ch.Proof, labelAccept, &h, ch.Nonce) {
		return to, &Error{Op: "link to " + h.To, Kind: KindProof}
	}
	if to == "" && m.linkTo(h.To) != nil {
		// Another link was established meanwhile; the acceptor would replace it by this
		// one.
		return to, &Error{Op: "second link to " + h.To, Kind: KindConnFailed}
	}
	if err := sendMessage(ctx, c, &response{Proof: computeProof(m.key, labelDial, &h, ch.Nonce)}); err != nil {
		return to, err
	}
	var w welcome
	if err := receiveMessage(ctx, c, &w); err != nil {
		return to, err
	}
	if !w.OK {
		return to, &Error{Op: "link to " + h.To, Kind: KindWrongPeer}
	}
	return h.To, nil
}

// handshakeAccept runs the acceptor's side of the handshake and returns the id that the
// peer proved.
func (m *Messenger) handshakeAccept(ctx context.Context, c messageConn) (string, error) {
	var h hello
	if err := receiveMessage(ctx, c, &h); err != nil {
		return "", err
	}
	ch := challenge{Nonce: make([]byte, nonceSize)}
	if h.To == "" {
		h.To, ch.From = m.self.ID, m.self.ID
	}
	if h.Version != encoder.Version || h.To != m.self.ID || h.From == "" || h.From == m.self.ID || len(h.Nonce) != nonceSize {
		return h.From, &Error{Op: "link from " + h.From, Kind: KindWrongPeer}
	}
	if _, err := io.ReadFull(m.Nonces, ch.Nonce); err != nil {
		return h.From, &Error{Op: "draw nonce", Kind: KindConnFailed, Err: err}
	}
	ch.Proof = computeProof(m.key, labelAccept, &h, ch.Nonce)
	if err := sendMessage(ctx, c, &ch); err != nil {
		return h.From, err
	}
	var a response
	if err := receiveMessage(ctx, c, &a); err != nil {
		return h.From, err
	}
	if !m.verifyProof(a.Proof, labelDial, &h, ch.Nonce) {
		return h.From, &Error{Op: "link from " + h.From, Kind: KindProof}
	}
	return h.From, nil
}

// verifyProof reports whether a proof was made with one of the accepted keys.
func (m *Messenger) verifyProof(proof []byte, label string, h *hello, nonce []byte) bool {
	if hmac.Equal(proof, computeProof(m.key, label, h, nonce)) {
		return true
	}
	for _, key := range m.AcceptedKeys {
		if hmac.Equal(proof, computeProof([]byte(key), label, h, nonce)) {
			return true
		}
	}
	return false
}

// computeProof returns the MAC over the label, both ids and both nonces, each prefixed
// by its length.
func computeProof(key []byte, label string, h *hello, nonce []byte) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(label), []byte(h.From), []byte(h.To), h.Nonce, nonce} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		mac.Write(size[:])
		mac.Write(part)
	}
	return mac.Sum(nil)
}
