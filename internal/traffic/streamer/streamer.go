// Package streamer reads server-sent events as defined by the WHATWG HTML
// standard, section 9.2, as far as model engines use them: data and id fields,
// comments and blank lines.
package streamer

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
)

// Kinds of errors.
const (
	// KindRead means that the source failed or ended inside an event.
	KindRead Kind = iota
	// KindTooLong means that an event is over MaxEventBytes.
	KindTooLong
)

const defaultMaxEventBytes = 1 << 20

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
	// MaxEventBytes bounds one event; zero means 1 MiB.
	MaxEventBytes int

	src *bufio.Reader
}

// NewReader returns a reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{src: bufio.NewReader(r)}
}

// Next returns the next event that has data. It returns io.EOF if the source ends
// between events, and an *Error if the source fails or ends inside an event or the
// event is too long.
func (r *Reader) Next() (Event, error) {
	var (
		ev      Event
		size    int
		hasData bool
	)
	limit := r.MaxEventBytes
	if limit == 0 {
		limit = defaultMaxEventBytes
	}
	for {
		line, err := r.readLine(limit - size)
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
			if hasData {
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
			if hasData {
				ev.Data = append(ev.Data, '\n')
			}
			ev.Data = append(ev.Data, value...)
			hasData = true
		case "id":
			ev.ID = string(value)
		}
	}
}

// Ready reports whether Next can return an event without reading from the source,
// because a complete one with data is buffered. It may return false although one is
// buffered, as for lines that end in CRLF.
func (r *Reader) Ready() bool {
	read, _ := r.src.Peek(r.src.Buffered())
	block, _, complete := bytes.Cut(read, []byte("\n\n"))
	return complete && (bytes.HasPrefix(block, []byte("data:")) || bytes.Contains(block, []byte("\ndata:")))
}

// readLine returns one line without its terminator, of at most limit bytes.
func (r *Reader) readLine(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := r.src.ReadSlice('\n')
		line = append(line, part...)
		if len(line) > limit+1 {
			return nil, &Error{Op: "read event", Kind: KindTooLong, Err: fmt.Errorf("over the limit of %d bytes", limit)}
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
