package messenger

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/coder/websocket"
	"github.com/go-faster/errors"

	"samphireturn/internal/fleet/encoder"
)

// maxHandshakeBytes bounds a handshake message.
const maxHandshakeBytes = 1 << 10

type (
	// messageConn carries the messages of a handshake.
	messageConn interface {
		send(ctx context.Context, data []byte) error
		receive(ctx context.Context) ([]byte, error)
	}

	// webSocket carries each message in a binary WebSocket message.
	webSocket struct{ *websocket.Conn }

	// byteStream carries each message behind its length in two bytes.
	byteStream struct{ net.Conn }
)

func (c webSocket) send(ctx context.Context, data []byte) error {
	return c.Write(ctx, websocket.MessageBinary, data)
}

func (c webSocket) receive(ctx context.Context) ([]byte, error) {
	c.SetReadLimit(maxHandshakeBytes)
	kind, data, err := c.Read(ctx)
	if err == nil && kind != websocket.MessageBinary {
		return nil, &Error{Op: "receive", Kind: KindInvalidMessage}
	}
	return data, err
}

func (c byteStream) send(ctx context.Context, data []byte) error {
	if err := c.setDeadline(ctx); err != nil {
		return err
	}
	_, err := c.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(data))), data...))
	return err
}

func (c byteStream) receive(ctx context.Context) ([]byte, error) {
	if err := c.setDeadline(ctx); err != nil {
		return nil, err
	}
	var size [2]byte
	if _, err := io.ReadFull(c, size[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint16(size[:])
	if n > maxHandshakeBytes {
		return nil, &Error{Op: "receive", Kind: KindInvalidMessage}
	}
	data := make([]byte, n)
	_, err := io.ReadFull(c, data)
	return data, err
}

// setDeadline sets the deadline of ctx.
func (c byteStream) setDeadline(ctx context.Context) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Time{}
	}
	return c.SetDeadline(deadline)
}

func sendMessage(ctx context.Context, c messageConn, v any) error {
	data, err := encoder.Marshal(v)
	if err != nil {
		return err
	}
	if err := c.send(ctx, data); err != nil {
		return &Error{Op: "send", Kind: KindConnFailed, Err: err}
	}
	return nil
}

func receiveMessage(ctx context.Context, c messageConn, v any) error {
	data, err := c.receive(ctx)
	var invalid *Error
	switch {
	case errors.As(err, &invalid):
		return err
	case err != nil:
		return &Error{Op: "receive", Kind: KindConnFailed, Err: err}
	}
	if err := encoder.Unmarshal(data, v); err != nil {
		return &Error{Op: "receive", Kind: KindInvalidMessage, Err: err}
	}
	return nil
}
