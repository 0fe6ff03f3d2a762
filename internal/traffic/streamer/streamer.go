// Package streamer reads server-sent events as defined by the WHATWG HTML
// standard, section 9.2, in the part that model engines use: data and id
// fields, comments and blank lines.
package streamer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

// Kinds of errors.
const (
	// KindRead says that the source failed or ended inside an event.
	KindRead Kind = iota
	// KindLong says that an event is longer than the limit.
	KindLong
)

const defaultLimit = 1 << 20 // bytes of one event

// Kind classifies an Error.
type Kind int

// Error is an error of a Reader.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

// Error returns the operation and the cause.
func (e *Error) Error() string { return e.Op + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Event is one server-sent event.
type Event struct {
	ID   string
	Data []byte
}

// Reader reads events from a stream.
type Reader struct {
	// Limit bounds one event in bytes; zero means 1 MiB.
	Limit int

	src *bufio.Reader
}

// NewReader returns a reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{src: bufio.NewReader(r)}
}

// Next returns the next event that has data. It returns io.EOF at a clean end,
// and an *Error if the stream ends inside an event or an event is too long.
func (r *Reader) Next() (Event, error) {
	var (
		ev   Event
		size int
		data bool
	)
	limit := r.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	for {
		line, err := r.line(limit - size)
		if err == io.EOF && len(line) == 0 && size == 0 {
			return Event{}, io.EOF
		}
		if err == io.EOF {
			err = &Error{Op: "read event", Kind: KindRead, Err: io.ErrUnexpectedEOF}
		}
		if err != nil {
			return Event{}, err
		}
		if len(line) == 0 {
			if data {
				return ev, nil
			}
			ev, size = Event{}, 0
			continue
		}
		size += len(line)
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(name) {
		case "data":
			if data {
				ev.Data = append(ev.Data, '\n')
			}
			ev.Data = append(ev.Data, value...)
			data = true
		case "id":
			ev.ID = string(value)
		}
	}
}

// Ready reports whether Next will surely return an event without waiting: a
// whole one with data has been read from the source.
func (r *Reader) Ready() bool {
	read, _ := r.src.Peek(r.src.Buffered())
	block, _, whole := bytes.Cut(read, []byte("\n\n"))
	return whole && (bytes.HasPrefix(block, []byte("data:")) || bytes.Contains(block, []byte("\ndata:")))
}

// line returns one line without its end, of at most limit bytes.
func (r *Reader) line(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.src.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit+1 {
			return nil, &Error{Op: "read event", Kind: KindLong, Err: fmt.Errorf("over the limit of %d bytes", limit)}
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF {
			return line, io.EOF
		}
		if err != nil {
			return nil, &Error{Op: "read event", Kind: KindRead, Err: err}
		}
		return bytes.TrimRight(line, "\r\n"), nil
	}
}
