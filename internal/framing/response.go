package framing

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// Reason is why bytes are no HTTP/1.x response. It names a counter.
type Reason string

// Reasons of a Violation.
const (
	BadStatusLine    Reason = "status_line"
	BadStatus        Reason = "status"
	BadFieldName     Reason = "field_name"
	BadFieldValue    Reason = "field_value"
	FoldedField      Reason = "folded_field"
	BadLength        Reason = "length"
	BadCoding        Reason = "transfer_coding"
	TwoDelimiters    Reason = "two_delimiters"
	BadChunk         Reason = "chunk"
	SwitchedProtocol Reason = "switched_protocol"
	HeadTooLong      Reason = "head_too_long"
	ChunkLineTooLong Reason = "chunk_line_too_long"
	TrailerTooLong   Reason = "trailer_too_long"
	Unrequested      Reason = "unrequested" // bytes on a connection on which no response is due
)

// Violation means that the bytes on a connection are not a response in the protocol. It names the
// replica's fault; the request may run on another replica if it may run again.
type Violation struct {
	Reason Reason
	Detail string // what was found
}

// Error describes the violation.
func (v *Violation) Error() string {
	return fmt.Sprintf("the response violates HTTP/1.1 (%s: %s); look at the replica", v.Reason, v.Detail)
}

// Limits bound the parts of a response that are not its body, in bytes.
type Limits struct {
	Head      int // the status line and fields, with those of interim responses; also the fields after the last chunk
	ChunkLine int // the line before a chunk
}

// DefaultLimits are far above what replicas send.
func DefaultLimits() Limits { return Limits{Head: 64 << 10, ChunkLine: 1 << 10} }

type scanState uint8

const (
	idle scanState = iota // no response is due
	statusLine
	fieldLine
	lengthBody
	connectionBody
	chunkLine
	chunkData
	chunkEnd
	trailerLine
)

// Scanner checks the responses on one connection as their bytes arrive, and finds where each one
// ends (RFC 9112). It is stricter than recipients have to be where a lenient one could take the
// bytes of a body for more or less than they are. It is not safe for concurrent use.
type Scanner struct {
	limits  Limits
	state   scanState
	method  string
	line    []byte // beginning of a line whose end has not arrived
	head    int    // bytes of the head or trailer so far
	left    int64  // bytes of the body or chunk that have not arrived
	status  int
	minor   byte  // of the version, as a digit
	length  int64 // -1: none
	chunked bool
	failed  *Violation
}

// NewScanner creates a Scanner of a new connection.
func NewScanner(limits Limits) *Scanner { return &Scanner{limits: limits} }

// Begin expects the response to a request with the given method. Bytes that arrive while none is
// expected are a Violation.
func (s *Scanner) Begin(method string) {
	if s.failed == nil {
		s.state, s.method, s.head, s.line = statusLine, method, 0, s.line[:0]
	}
}

// IsDone reports whether no response is due: the last one is complete by its length or chunks.
func (s *Scanner) IsDone() bool { return s.state == idle && s.failed == nil }

// EndsWithConnection reports whether the body of the response ends when the connection closes.
func (s *Scanner) EndsWithConnection() bool { return s.state == connectionBody }

// Scan checks the next bytes. It returns how many of them may be used; a *Violation follows these.
// The bytes of a line are usable before its end has arrived, so a head is only sound as a whole.
func (s *Scanner) Scan(data []byte) (int, *Violation) {
	used := 0
	for used < len(data) && s.failed == nil {
		n := s.step(data[used:])
		if s.failed == nil {
			used += n
		} else if isLine(s.state) {
			used += n - 1 // all but the end of the line
		}
	}
	return used, s.failed
}

func isLine(state scanState) bool {
	return state == statusLine || state == fieldLine || state == chunkLine || state == trailerLine
}

func (s *Scanner) fail(reason Reason, format string, args ...any) {
	s.failed = &Violation{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// step checks the next part of the data, at least one byte, and returns its size.
func (s *Scanner) step(data []byte) int {
	switch s.state {
	case idle:
		s.fail(Unrequested, "%q", data[:min(len(data), shownBytes)])
		return 0
	case connectionBody:
		return len(data)
	case lengthBody, chunkData:
		n := int(min(s.left, int64(len(data))))
		if s.left -= int64(n); s.left == 0 && s.state == lengthBody {
			s.state = idle
		} else if s.left == 0 {
			s.state = chunkEnd
		}
		return n
	case chunkEnd:
		return s.endChunk(data)
	default:
		return s.takeLine(data)
	}
}

// shownBytes is how much of the data is in the text of a Violation.
const shownBytes = 40

// takeLine takes the data up to the end of a line, and checks the line if it is whole.
func (s *Scanner) takeLine(data []byte) int {
	end := bytes.IndexByte(data, '\n')
	n := end + 1
	if end < 0 {
		n = len(data)
	}
	limit, tooLong := s.limits.Head, HeadTooLong
	switch s.state {
	case chunkLine:
		limit, tooLong = s.limits.ChunkLine, ChunkLineTooLong
	case trailerLine:
		tooLong = TrailerTooLong
	}
	if s.head += n; s.head > limit {
		s.fail(tooLong, "more than %d bytes", limit)
		return n
	}
	if end < 0 {
		s.line = append(s.line, data...)
		return n
	}
	line := data[:end]
	if len(s.line) > 0 {
		line = append(s.line, line...)
		s.line = line[:0]
	}
	s.checkLine(line)
	return n
}

// checkLine checks a line, which is without its line feed.
func (s *Scanner) checkLine(line []byte) {
	content, hasReturn := bytes.CutSuffix(line, []byte{'\r'})
	switch {
	case s.state == chunkLine && !hasReturn:
		s.fail(BadChunk, "a line without a carriage return")
	case s.state == chunkLine:
		s.beginChunk(content)
	case s.state == statusLine:
		s.beginHead(content)
	case len(content) > 0:
		s.checkField(content)
	case s.state == trailerLine:
		s.state = idle
	default:
		s.endHead()
	}
}

// Bounds of a status (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// beginHead checks a status line. Recipients may accept one without a blank after the status.
func (s *Scanner) beginHead(line []byte) {
	const version, statusAt, statusEnd = "HTTP/1.", 9, 12
	wellFormed := len(line) >= statusEnd && string(line[:len(version)]) == version && isDigit(line[len(version)]) && line[statusAt-1] == ' ' &&
		(len(line) == statusEnd || line[statusEnd] == ' ') && isText(line)
	if !wellFormed {
		s.fail(BadStatusLine, "%q", line[:min(len(line), shownBytes)])
		return
	}
	status, err := strconv.ParseUint(string(line[statusAt:statusEnd]), 10, 16)
	if err != nil || status < minStatus || status > maxStatus {
		s.fail(BadStatus, "%q", line[statusAt:statusEnd])
		return
	}
	s.status, s.minor = int(status), line[len(version)]
	s.length, s.chunked = -1, false
	s.state = fieldLine
}

// checkField checks a field line of the head or the trailer. A line that continues the one before
// it may be discarded with the whole response (RFC 9112, section 5.2).
func (s *Scanner) checkField(line []byte) {
	if line[0] == ' ' || line[0] == '\t' {
		s.fail(FoldedField, "%q", line[:min(len(line), shownBytes)])
		return
	}
	name, value, found := bytes.Cut(line, []byte{':'})
	if !found || !isToken(name) {
		s.fail(BadFieldName, "%q", line[:min(len(line), shownBytes)])
		return
	}
	if value = bytes.Trim(value, " \t"); !isText(value) {
		s.fail(BadFieldValue, "of %s: %q", name, value[:min(len(value), shownBytes)])
		return
	}
	if s.state == fieldLine {
		s.readDelimiter(string(name), string(value))
	}
}

// readDelimiter takes a field that delimits the body.
func (s *Scanner) readDelimiter(name, value string) {
	switch {
	case strings.EqualFold(name, "Content-Length"):
		length, err := strconv.ParseUint(value, 10, 63)
		if err != nil || s.length >= 0 && s.length != int64(length) {
			s.fail(BadLength, "%q", value[:min(len(value), shownBytes)])
			return
		}
		s.length = int64(length)
	case strings.EqualFold(name, "Transfer-Encoding"):
		if s.chunked || s.minor == '0' || !strings.EqualFold(value, "chunked") {
			s.fail(BadCoding, "%q", value[:min(len(value), shownBytes)])
			return
		}
		s.chunked = true
	}
}

const (
	statusSwitching = 101
	firstFinal      = 200
)

// endHead decides what follows the head.
func (s *Scanner) endHead() {
	delimiter := Head{Method: s.method, Status: s.status, Length: s.length, Chunked: s.chunked}.Delimiter()
	switch {
	case s.status == statusSwitching:
		s.fail(SwitchedProtocol, "no request asks for it")
	case s.chunked && s.length >= 0:
		s.fail(TwoDelimiters, "length %d and chunks", s.length)
	case s.status < firstFinal:
		s.state = statusLine // an interim response; the final one follows
	case delimiter == NoBody || delimiter == Length && s.length == 0:
		s.state = idle
	case delimiter == Length:
		s.state, s.left = lengthBody, s.length
	case delimiter == Chunks:
		s.beginChunkLine()
	default:
		s.state = connectionBody
	}
}

func (s *Scanner) beginChunkLine() { s.state, s.head, s.left = chunkLine, 0, -1 }

// maxSizeDigits keeps the size of a chunk below 2^63.
const maxSizeDigits = 15

// beginChunk checks the line before a chunk: its size, and extensions that are ignored.
func (s *Scanner) beginChunk(line []byte) {
	size, extension, _ := bytes.Cut(line, []byte{';'})
	size = bytes.TrimRight(size, " \t")
	value, err := strconv.ParseUint(string(size), 16, 63)
	if err != nil || len(size) > maxSizeDigits || !isText(extension) {
		s.fail(BadChunk, "size %q", line[:min(len(line), shownBytes)])
		return
	}
	if value == 0 {
		s.state, s.head = trailerLine, 0
		return
	}
	s.state, s.left = chunkData, int64(value)
}

// endChunk checks the line end after a chunk, of which a byte may have arrived before.
func (s *Scanner) endChunk(data []byte) int {
	const lineEnd = "\r\n"
	at := len(s.line)
	if data[0] != lineEnd[at] {
		s.fail(BadChunk, "%q after a chunk", data[0])
		return 0
	}
	if at == 0 {
		s.line = append(s.line, data[0])
		return 1
	}
	s.line = s.line[:0]
	s.beginChunkLine()
	return 1
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isText reports whether all bytes may occur in a field value or a reason phrase (RFC 9110, section
// 5.5): visible and other than ASCII characters, blanks and tabs.
func isText(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isToken reports whether the name of a field is one (RFC 9110, section 5.6.2).
func isToken(name []byte) bool {
	for _, c := range name {
		if !isDigit(c) && (c|0x20 < 'a' || c|0x20 > 'z') && !strings.ContainsRune("!#$%&'*+-.^_`|~", rune(c)) {
			return false
		}
	}
	return len(name) > 0
}
