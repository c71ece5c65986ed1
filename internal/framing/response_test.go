package framing_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"slateway.example/slateway/internal/framing"
)

// drawnResponse is a response that is sound unless a fault was drawn for it.
type drawnResponse struct {
	method string
	text   string
	end    int  // bytes up to its end; -1: it ends with its connection
	sound  bool // the oracle: no fault was drawn
}

var (
	soundStatuses = []string{"200 OK", "200", "404 Not Found", "500 ", "599 \xe9t\xe9", "204 No Content", "304 Not Modified"}
	badStatuses   = []string{"000 Unknown", "099 x", "600 x", "999 x", "20 OK", "2000 OK", "+20 OK", "2x0 OK", "200\tOK", "200 O\x01K", " 200 OK", "200OK", "101 Switching"}
	badVersions   = []string{"HTTP/2.0", "HTTP/0.9", "HTTP/1.", "http/1.1", "HTTP/1.1 ", "HTPP/1.1", "", "\r\nHTTP/1.1"}
	soundFields   = []string{"A: 1", "A:1", "x-!#$%&'*+-.^_`|~9: \t v \t", "A:", "A: \xff", "Content-Type: text/event-stream", "Connection: close"}
	badFields     = []string{
		"Replica State: 1", "A : 1", " A: 1", "\tA: 1", "A\x00: 1", "A\x7f: 1", "A: 1\x00", "A: 1\x0b2", "A: 1\r2", ": 1", "A", "A\xe9: 1", "A(b): 1",
		"Content-Length : 5", "Transfer-Encoding : chunked", "Content-Length: -1", "Content-Length: +5", "Content-Length: 5, 5", "Content-Length: 0x5",
		"Content-Length:", "Content-Length: 99999999999999999999", "Transfer-Encoding: gzip", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, chunked",
		"Transfer-Encoding: identity", "Transfer-Encoding:",
	}
	badChunks = []string{
		"\r\nab\r\n", "g\r\nab\r\n", "-2\r\nab\r\n", "+2\r\nab\r\n", "0x2\r\nab\r\n", "2\nab\r\n", "2\r\nabc\r\n", "2\r\na\r\n", "2\r\nab\n", "2\r\nab\r\r\n", " 2\r\nab\r\n",
		"2;a=\x01\r\nab\r\n", "ffffffffffffffff\r\nab\r\n",
	}
)

func drawResponse(t *rapid.T) drawnResponse {
	pick := func(label string, from []string) string { return rapid.SampledFrom(from).Draw(t, label) }
	fault := pick("fault", []string{"", "", "", "version", "status", "field", "lengths", "both", "chunk", "trailer", "old", "head", "line", "coding twice"})
	delimiter := pick("delimiter", []string{"none", "length", "chunks", "connection"})
	r := drawnResponse{method: pick("method", []string{"GET", "POST", "HEAD"}), sound: true}
	version, status := "HTTP/1.1", pick("status", soundStatuses)
	body := pick("body", []string{"", "a", "HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("\r\n", 40)})
	fields := rapid.SliceOfN(rapid.SampledFrom(soundFields), 0, 4).Draw(t, "fields")
	payload := body
	switch delimiter {
	case "none":
		payload = ""
		fields = append(fields, "Content-Length: 0")
	case "length":
		fields = append(fields, fmt.Sprintf("cOnTent-length: %d", len(body)))
	case "chunks":
		fields = append(fields, "Transfer-Encoding: "+pick("coding", []string{"chunked", "Chunked"}))
		payload = ""
		for len(body) > 0 {
			n := rapid.IntRange(1, len(body)).Draw(t, "chunk")
			payload += fmt.Sprintf("%x%s\r\n%s\r\n", n, pick("extension", []string{"", ";a=b", ";a", "  "}), body[:n])
			body = body[n:]
		}
	}
	spoil := func(applies bool, change func()) {
		if applies {
			r.sound = false
			change()
		}
	}
	switch fault {
	case "version":
		spoil(true, func() { version = pick("bad version", badVersions) })
	case "status":
		spoil(true, func() { status = pick("bad status", badStatuses) })
	case "field":
		spoil(true, func() { fields = append(fields, pick("bad field", badFields)) })
	case "lengths":
		spoil(delimiter == "length" || delimiter == "none", func() { fields = append(fields, "Content-Length: 77") })
	case "both":
		spoil(delimiter == "length", func() { fields = append(fields, "Transfer-Encoding: chunked") })
	case "coding twice":
		spoil(delimiter == "chunks", func() { fields = append(fields, "Transfer-Encoding: chunked") })
	case "old":
		spoil(delimiter == "chunks", func() { version = "HTTP/1.0" })
	case "head":
		spoil(true, func() { fields = append(fields, "A: "+strings.Repeat("a", 600)) })
	}
	bodiless := r.method == http.MethodHead || strings.HasPrefix(status, "204") || strings.HasPrefix(status, "304")
	if delimiter == "chunks" {
		last, trailer := "0", pick("trailer", []string{"", "A: 1\r\n"})
		switch fault {
		case "chunk":
			spoil(!bodiless, func() { payload += pick("bad chunk", badChunks) })
		case "line":
			spoil(!bodiless, func() { last += ";" + strings.Repeat("a", 200) })
		case "trailer":
			spoil(!bodiless, func() { trailer = pick("bad trailer", []string{"A : 1\r\n", strings.Repeat("A: 1\r\n", 100)}) })
		}
		payload += last + "\r\n" + trailer + "\r\n"
	}
	ending := pick("line end", []string{"\r\n", "\n"})
	head := ""
	for range rapid.IntRange(0, 2).Draw(t, "interim") {
		head += "HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n"
	}
	head += version + " " + status + ending
	for _, field := range fields {
		head += field + ending
	}
	head += ending
	if bodiless {
		payload = ""
	}
	r.text, r.end = head+payload, len(head)+len(payload)
	if !bodiless && delimiter == "connection" {
		r.end = -1
	}
	return r
}

// testLimits let responses without a drawn fault pass.
var testLimits = framing.Limits{Head: 500, ChunkLine: 100}

// scan passes a text to a Scanner in parts, and returns how much of it may be used.
func scan(t *rapid.T, s *framing.Scanner, text string) (used int, violation *framing.Violation) {
	for data := []byte(text); len(data) > 0; {
		part := rapid.IntRange(1, len(data)).Draw(t, "part")
		n, violation := s.Scan(data[:part])
		if used += n; violation != nil {
			return used, violation
		}
		data = data[part:]
	}
	return used, nil
}

// Guards against a response that is none and is passed on, and against a sound one that is not.
func TestScannerAgreesWithTheGrammar(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawResponse(t)
		s := framing.NewScanner(testLimits)
		s.Begin(r.method)
		_, err := scan(t, s, r.text)
		if (err == nil) != r.sound {
			t.Fatalf("%q: sound %t, found %v", r.text, r.sound, err)
		}
		if err == nil && s.IsDone() != (r.end >= 0) {
			t.Fatalf("%q: done %t", r.text, s.IsDone())
		}
		if err == nil && s.EndsWithConnection() != (r.end < 0) {
			t.Fatalf("%q: ends with its connection %t", r.text, s.EndsWithConnection())
		}
	})
}

// Guards against bytes after a response, or of a response that is not due, that pass for the next one.
func TestScannerEndsAResponseWhereItEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawResponse(t)
		if !r.sound || r.end < 0 {
			return
		}
		s := framing.NewScanner(testLimits)
		if _, err := s.Scan([]byte("H")); err == nil {
			t.Fatal("a byte before the request is taken")
		}
		s = framing.NewScanner(testLimits)
		for range 2 {
			s.Begin(r.method)
			if _, err := scan(t, s, r.text); err != nil || !s.IsDone() {
				t.Fatalf("%q: %v", r.text, err)
			}
		}
		s.Begin(r.method)
		used, violation := scan(t, s, r.text+"H")
		if used != r.end || violation == nil || violation.Reason != framing.Unrequested {
			t.Fatalf("%q: used %d of %d, %v", r.text, used, r.end, violation)
		}
	})
}

// Guards against a response that net/http takes for more or less than the Scanner does.
func TestScannerAndLibraryAgreeOnTheEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := drawResponse(t)
		text := []byte(r.text)
		for range rapid.IntRange(0, 2).Draw(t, "mutations") {
			text[rapid.IntRange(0, len(text)-1).Draw(t, "at")] = rapid.SampledFrom([]byte("\r\n\t :;0159aF\x00\x7f\xffH/.,+-")).Draw(t, "byte")
		}
		s := framing.NewScanner(testLimits)
		s.Begin(r.method)
		used, violation := scan(t, s, string(text))
		if violation != nil && violation.Reason != framing.Unrequested || violation == nil && !s.IsDone() {
			return
		}
		source := strings.NewReader(string(text))
		reader := bufio.NewReader(source)
		for {
			response, err := http.ReadResponse(reader, &http.Request{Method: r.method})
			if err != nil {
				return // the library is stricter still
			}
			if response.StatusCode < 200 {
				continue
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return
			}
			break
		}
		if taken := len(text) - source.Len() - reader.Buffered(); taken != used {
			t.Fatalf("%q: the library takes %d bytes, the scanner %d", text, taken, used)
		}
	})
}

// Guards against a head, a line or a trailer without an end that is read for ever.
func TestScannerBoundsWhatIsNoBody(t *testing.T) {
	limits := framing.DefaultLimits()
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		begin, repeated string
		reason          framing.Reason
		limit           int
	}{
		{"HTTP/1.1 200 ", "O", framing.HeadTooLong, limits.Head},
		{"", "X", framing.HeadTooLong, limits.Head},
		{"HTTP/1.1 200 OK\r\n", "A: 1\r\n", framing.HeadTooLong, limits.Head},
		{"", "HTTP/1.1 103 Early Hints\r\n\r\n", framing.HeadTooLong, limits.Head},
		{chunked + "1;", "a", framing.ChunkLineTooLong, limits.ChunkLine},
		{chunked, "0", framing.ChunkLineTooLong, limits.ChunkLine},
		{chunked + "0\r\n", "A: 1\r\n", framing.TrailerTooLong, limits.Head},
	} {
		s := framing.NewScanner(limits)
		s.Begin(http.MethodGet)
		used, violation := s.Scan([]byte(c.begin))
		for violation == nil && used <= 2*limits.Head {
			var n int
			n, violation = s.Scan([]byte(c.repeated))
			used += n
		}
		if violation == nil || violation.Reason != c.reason || used > c.limit+len(chunked)+len(c.repeated) {
			t.Errorf("%q and %q: %v after %d bytes", c.begin, c.repeated, violation, used)
		}
	}
}
