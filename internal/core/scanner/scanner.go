// Package scanner checks the heads of HTTP/1 answers byte by byte while they are read.
//
// Parsers accept more than the protocol allows (RFC 9110, 9112): statuses that don't exist, versions
// whose framing is another, names with blanks, bytes that no line may hold, and bodies that end in two
// places. What such an answer means is a guess, and another reader of it may guess otherwise, so that it
// must not be passed on.
package scanner

import (
	"strings"

	"samphireturn"
)

// Kinds of errors.
const (
	// KindMalformed means that the bytes are no head of an answer.
	KindMalformed Kind = iota
	// KindTooLong means that the head costs more than MaxCost.
	KindTooLong
)

// MaxCost bounds the Cost of a head.
const MaxCost = 1 << 20

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
	// failed follows a byte that is not allowed.
	failed
)

const (
	// statusLine is the pattern of a status line up to its reason: a 0 stands for any digit.
	statusLine = "HTTP/1.0 000"
	// classAt is where the digit of a status is that names its class, from interimClass, the first
	// one, to lastClass.
	classAt                 = len(statusLine) - 3
	interimClass, lastClass = '1', '5'
	switchingProtocols      = "101"

	// minorAt is where the last figure of the version is. Chunks came with version 1.1.
	minorAt        = len("HTTP/1.")
	withoutChunks  = '0'
	lengthName     = "content-length"
	codingName     = "transfer-encoding"
	maxFramingName = len(codingName)

	// byteCost and fieldCost are what a byte of a head and one of its fields take in memory while it
	// is parsed: the line, its buffer and its parts, and the entry of a map.
	byteCost, fieldCost = 3, 300
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
		// name holds the first bytes of the name of a field in lower case, and nameBytes is its
		// length.
		name      [maxFramingName]byte
		nameBytes int
		// minor is the last figure of the version, and hasLength and hasCoding tell which fields
		// that say where the body ends have come.
		minor                byte
		hasLength, hasCoding bool
		cost                 int64
	}

	// state says where the next byte is.
	state int
)

// String returns the kind's name in logs.
func (k Kind) String() string {
	names := [...]string{"malformed", "too long"}
	return samphireturn.KindText(names[:], int(k))
}

// Error returns the operation and the kind.
func (e *Error) Error() string { return samphireturn.ErrorText(e.Op, e.Kind, nil) }

// Reset makes the next byte the first one of a head.
func (s *Scanner) Reset() { *s = Scanner{} }

// Scan checks the next bytes of an answer. Those after the head of a final answer are not checked. Once
// it has failed, it fails again until the next Reset. Errors are of type *Error.
func (s *Scanner) Scan(data []byte) error {
	for _, b := range data {
		if s.state == ended || s.state == failed {
			break
		}
		if !s.next(b) {
			s.state = failed
			break
		}
		if s.cost += byteCost; s.cost > MaxCost {
			s.state = failed
		}
	}
	switch {
	case s.state != failed:
		return nil
	case s.cost > MaxCost:
		return &Error{Op: "read head", Kind: KindTooLong}
	default:
		return &Error{Op: "read head", Kind: KindMalformed}
	}
}

// Cost returns the bytes that a parser of the head, as far as it has come, takes at most.
func (s *Scanner) Cost() int64 { return s.cost }

// Unframed reports whether the head of a final answer has ended and says nothing of where the body
// ends.
func (s *Scanner) Unframed() bool { return s.state == ended && !s.hasLength && !s.hasCoding }

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
		s.state, s.emptyLine, s.nameBytes = inName, false, 0
		return b != ':' && s.nextOfName(b)
	}
	return isText(b)
}

// nextOfName takes a byte of the name of a field, or the colon that ends it.
func (s *Scanner) nextOfName(b byte) bool {
	if b == ':' {
		s.state = inValue
		s.cost += fieldCost
		s.recordName()
		return true
	}
	if s.nameBytes < len(s.name) {
		s.name[s.nameBytes] = lower(b)
	}
	s.nameBytes++
	return isToken(b)
}

// recordName records a field that says where the body ends.
func (s *Scanner) recordName() {
	switch string(s.name[:min(s.nameBytes, len(s.name))]) {
	case lengthName:
		s.hasLength = true
	case codingName:
		s.hasCoding = s.hasCoding || s.nameBytes == len(codingName)
	}
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
		if i == minorAt {
			s.minor = b
		}
		return b == statusLine[i] || statusLine[i] == '0' && isDigit(b)
	}
	s.status[i-classAt] = b
	if i == classAt {
		return interimClass <= b && b <= lastClass
	}
	// No request asks for another protocol.
	return isDigit(b) && string(s.status[:]) != switchingProtocols
}

// endLine ends a line and reports whether the head may end there. An empty line ends it, and a final
// answer follows an interim one.
func (s *Scanner) endLine() bool {
	switch {
	case !s.emptyLine:
		s.state, s.emptyLine = atLine, true
	case s.hasCoding && (s.hasLength || s.minor == withoutChunks):
		// The body has two ends, or one that its version doesn't know.
		return false
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
	return isDigit(b) || 'a' <= lower(b) && lower(b) <= 'z' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}

// lower returns a letter in lower case. No other byte becomes a letter.
func lower(b byte) byte { return b | 0x20 }

// isDigit reports whether a byte is a decimal digit.
func isDigit(b byte) bool { return '0' <= b && b <= '9' }
