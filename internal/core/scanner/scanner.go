// Package scanner checks the heads of HTTP/1 answers byte by byte while they are read.
//
// Parsers accept more than the protocol allows: statuses that don't exist, versions whose
// framing is another, names with blanks, and bytes that no line may hold. What such an answer means is a guess,
// and another reader of it may guess otherwise, so that it must not be passed on.
package scanner

import (
	"strings"

	"samphireturn"
)

// Kinds of errors.
const (
	// KindMalformed means that the bytes are no head of an answer.
	KindMalformed Kind = iota
)

// States of a Scanner, named by where the next byte is.
const (
	inStatusLine state = iota
	inReason
	// atLine is at the beginning of a line that holds a field or ends the head.
	atLine
	inName
	inValue
	// afterReturn follows a carriage return, which only a line feed may follow.
	afterReturn
	ended
)

const (
	// statusLine is the pattern of a status line up to its reason: a 0 stands for any digit.
	statusLine = "HTTP/1.0 000"
	// classAt is where the digit of a status is that names its class, from interimClass, the first
	// one, to lastClass.
	classAt                 = len(statusLine) - 3
	interimClass, lastClass = '1', '5'
	switchingProtocols      = "101"
)

type (
	// Kind classifies an Error.
	Kind int

	// Error is the type of all errors of Scanner.
	Error struct {
		Op   string
		Kind Kind
	}

	// Scanner checks one head after the other. The zero value expects the first byte of a head.
	Scanner struct {
		state state
		// position is the number of bytes of the status line that have come, up to the one after
		// the status.
		position int
		status   [3]byte
		// emptyLine is true while a line after the status line has no bytes.
		emptyLine bool
	}

	// state says where the next byte is.
	state int
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	names := [...]string{"malformed"}
	return samphireturn.KindText(names[:], int(k))
}

// Error returns the operation and the kind.
func (e *Error) Error() string { return samphireturn.ErrorText(e.Op, e.Kind, nil) }

// Reset makes the next byte the first one of a head.
func (s *Scanner) Reset() { *s = Scanner{} }

// Scan checks the next bytes of an answer. Those after the head of a final answer are not checked,
// until the next Reset. Errors are of type *Error.
func (s *Scanner) Scan(data []byte) error {
	for _, b := range data {
		if s.state == ended {
			return nil
		}
		if !s.next(b) {
			return &Error{Op: "read head", Kind: KindMalformed}
		}
	}
	return nil
}

// next takes the next byte and reports whether it is allowed.
func (s *Scanner) next(b byte) bool {
	switch {
	case s.state == inStatusLine:
		return s.nextOfStatus(b)
	case s.state == afterReturn:
		return b == '\n' && s.endLine()
	case s.state == inName:
		return s.nextOfName(b)
	case b == '\n':
		return s.endLine()
	case b == '\r':
		s.state = afterReturn
		return true
	case s.state == atLine:
		// A line that begins with a blank would continue the one before, in some readers.
		s.state, s.emptyLine = inName, false
		return isToken(b)
	}
	return isText(b)
}

// nextOfName takes a byte of the name of a field after the first, or the colon that ends it.
func (s *Scanner) nextOfName(b byte) bool {
	if b == ':' {
		s.state = inValue
		return true
	}
	return isToken(b)
}

// nextOfStatus takes a byte of the status line, up to the one after the status.
func (s *Scanner) nextOfStatus(b byte) bool {
	i := s.position
	s.position++
	switch {
	case i == len(statusLine):
		s.state = inReason
		return b == ' ' || (b == '\r' || b == '\n') && s.next(b)
	case i < classAt:
		return b == statusLine[i] || statusLine[i] == '0' && isDigit(b)
	}
	s.status[i-classAt] = b
	if i == classAt {
		return interimClass <= b && b <= lastClass
	}
	// No request asks for another protocol.
	return isDigit(b) && string(s.status[:]) != switchingProtocols
}

// endLine ends a line. An empty one ends the head, and a final answer follows an interim one.
func (s *Scanner) endLine() bool {
	switch {
	case !s.emptyLine:
		s.state, s.emptyLine = atLine, true
	case s.status[0] == interimClass:
		s.Reset()
	default:
		s.state = ended
	}
	return true
}

// isText reports whether a byte may be part of a line.
func isText(b byte) bool { return b == '\t' || b >= ' ' && b != 0x7f }

// isToken reports whether a byte may be part of a name.
func isToken(b byte) bool {
	return isDigit(b) || 'a' <= b|0x20 && b|0x20 <= 'z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// isDigit reports whether a byte is a decimal digit.
func isDigit(b byte) bool { return '0' <= b && b <= '9' }
