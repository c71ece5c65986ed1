package buffers

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"slateway.example/slateway/internal/apierr"
)

const (
	// pieceBytes is the size of the pieces in which a response is written. Each must be
	// taken within WriteTimeout.
	pieceBytes = 4 << 10
	// minProgress is how much of a body must arrive within BodyTimeout.
	minProgress = 16 << 10
	// bodyChunk is the step in which bytes of a body without a declared length are
	// reserved.
	bodyChunk = 64 << 10
	// rearmDivisor: the write deadline is set again only when this part of WriteTimeout
	// has passed since, so that a stream of small events does not set a timer for each.
	rearmDivisor = 16
)

// Handler wraps the handler of callers' requests. It provides each request with its
// Request, sets the deadlines for its body and its response, and releases its bytes at
// the end.
func (a *Account) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		r := a.NewRequest("", "")
		r.control, r.multiplexed = http.NewResponseController(w), hr.ProtoMajor >= 2
		r.silence.connection, _ = hr.Context().Value(connKey{}).(net.Conn)
		hr = hr.WithContext(context.WithValue(hr.Context(), requestKey{}, r))
		writer := &writer{ResponseWriter: w, request: r, flusher: r.control}
		defer r.Release()
		defer r.disconnect()
		if hr.Body != nil && hr.Body != http.NoBody {
			b := &body{ReadCloser: hr.Body, writer: writer, declared: hr.ContentLength}
			b.arm() // also limits the server's own reading of a body that the handler leaves
			hr.Body = b
		}
		next.ServeHTTP(writer, hr)
	})
}

// armWrite sets the deadline of the writes that follow. It returns an error if the
// response has been ended.
func (r *Request) armWrite() error {
	if r.interrupted.Load() {
		return os.ErrDeadlineExceeded
	}
	timeout, now := r.account.options.WriteTimeout, time.Now()
	if timeout <= 0 || now.Sub(r.armedAt) <= timeout/rearmDivisor {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.interrupted.Load() {
		return os.ErrDeadlineExceeded
	}
	if r.control != nil {
		r.armedAt = now
		_ = r.control.SetWriteDeadline(now.Add(timeout)) // not supported by writers of tests
	}
	return nil
}

// disarmWrite clears the deadline after a write. In HTTP/2 a deadline that passes resets
// the stream although nothing is being written; in HTTP/1 it is left, because it matters
// to writes only.
func (r *Request) disarmWrite() {
	if !r.multiplexed {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.control != nil && !r.interrupted.Load() {
		r.armedAt = time.Time{}
		_ = r.control.SetWriteDeadline(time.Time{}) // as in armWrite
	}
}

// disconnect ends the use of the connection, which the server may give to another
// request once the handler has returned. The deadline is set once more for what the
// server writes at the end; it clears the deadline before the next request.
func (r *Request) disconnect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if timeout := r.account.options.WriteTimeout; timeout > 0 && r.control != nil && !r.interrupted.Load() {
		_ = r.control.SetWriteDeadline(time.Now().Add(timeout))
	}
	r.control = nil
}

// writer writes a response in pieces.
type writer struct {
	http.ResponseWriter
	request *Request
	flusher *http.ResponseController // of the wrapped writer
}

// Unwrap returns the wrapped writer, for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write writes data in pieces, each with a deadline.
func (w *writer) Write(data []byte) (int, error) {
	r := w.request
	defer r.disarmWrite()
	defer r.setUnread(&r.writing, 0)
	written := 0
	for {
		if err := r.armWrite(); err != nil {
			return written, err
		}
		r.setUnread(&r.writing, int64(len(data)-written))
		n, err := w.ResponseWriter.Write(data[written:min(len(data), written+pieceBytes)])
		written += n
		if err != nil {
			r.writeFailed(err)
			return written, err
		}
		r.Taken()
		if written >= len(data) {
			return written, nil
		}
	}
}

// FlushError flushes what was written.
func (w *writer) FlushError() error {
	r := w.request
	if err := r.armWrite(); err != nil {
		return err
	}
	defer r.disarmWrite()
	err := w.flusher.Flush()
	if err != nil {
		r.writeFailed(err)
	}
	return err
}

// Flush is FlushError for callers of http.Flusher.
func (w *writer) Flush() { _ = w.FlushError() } // an error shows at the next write

// writeFailed ends the response if its caller did not read within WriteTimeout.
func (r *Request) writeFailed(err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		r.end(ReasonReaderTooSlow, "the caller did not read a part of the response in time")
	}
}

// Hijack hands the connection over, without deadlines.
func (w *writer) Hijack() (net.Conn, *bufio.ReadWriter, error) {
	connection, buffered, err := w.flusher.Hijack()
	if err != nil {
		return connection, buffered, err
	}
	w.request.mu.Lock()
	w.request.control = nil
	w.request.mu.Unlock()
	return connection, buffered, connection.SetDeadline(time.Time{})
}

// body is a request body that must make progress.
type body struct {
	io.ReadCloser
	writer   *writer
	declared int64 // its length; -1: not declared
	progress int   // bytes since the deadline was set
	received int64 // bytes read so far
	reserved int64 // bytes reserved so far
	failed   error
}

// arm sets the deadline for the next minProgress bytes.
func (b *body) arm() {
	b.progress = 0
	if timeout := b.writer.request.account.options.BodyTimeout; timeout > 0 {
		b.setDeadline(time.Now().Add(timeout))
	}
}

func (b *body) setDeadline(t time.Time) {
	r := b.writer.request
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.control != nil {
		_ = r.control.SetReadDeadline(t) // not supported by writers of tests
	}
}

// Read reads a part of the body. Its error is an *apierr.Error if the body is too slow
// or there is no memory for it.
func (b *body) Read(data []byte) (int, error) {
	if b.failed != nil {
		return 0, b.failed
	}
	if step := b.nextStep(); step > 0 {
		if err := b.reserve(step); err != nil {
			return 0, err
		}
	}
	if b.received < b.reserved {
		data = data[:min(int64(len(data)), b.reserved-b.received)]
	}
	if b.received == 0 {
		b.arm()
	}
	n, err := b.ReadCloser.Read(data)
	b.received += int64(n)
	b.progress += n
	switch {
	case err == io.EOF:
		b.setDeadline(time.Time{})
		b.writer.request.returnBody(b.reserved - b.received)
		b.reserved = b.received
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = b.fail(b.tooSlow())
	case err == nil && b.progress >= minProgress:
		b.arm()
	}
	return n, err
}

// nextStep returns how many bytes must be reserved before the next read; 0: none.
func (b *body) nextStep() int64 {
	switch {
	case b.received < b.reserved, b.declared >= 0 && b.received >= b.declared:
		return 0
	case b.declared >= 0:
		return min(bodyChunk, b.declared-b.reserved)
	default:
		return bodyChunk
	}
}

// reserve admits n more bytes of the body.
func (b *body) reserve(n int64) error {
	if err := b.writer.request.Admit(n); err != nil {
		return b.fail(err)
	}
	b.reserved += n
	return nil
}

// fail records why the body is not read further, and returns the reason.
func (b *body) fail(err *apierr.Error) error {
	b.writer.closeConnection()
	b.failed = err
	r := b.writer.request
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refused = err
	return err
}

// tooSlow returns the refusal of a body that makes no progress.
func (b *body) tooSlow() *apierr.Error {
	r := b.writer.request
	err := apierr.New(apierr.TooSlow, ReasonBodyTooSlow, "send the body without pauses",
		"less than %d bytes of the body arrived within %s", minProgress, r.account.options.BodyTimeout)
	r.account.logRefusal(r, err, b.received)
	return err
}

// closeConnection has the connection closed after the response. Otherwise the server
// would wait for the rest of the body before it sends the response.
func (w *writer) closeConnection() { w.Header().Set("Connection", "close") }

// ReadBody admits and reads the body of a request. A body with a declared length is
// admitted by that length before any of it is read. limit is the largest size; 0: none.
// Its errors are of type *apierr.Error or *http.MaxBytesError, or those of the connection.
func ReadBody(w http.ResponseWriter, hr *http.Request, limit int64) ([]byte, error) {
	b, admitted := hr.Body.(*body)
	if limit > 0 && hr.ContentLength > limit {
		if admitted {
			b.writer.closeConnection()
		}
		return nil, &http.MaxBytesError{Limit: limit}
	}
	if !admitted {
		return io.ReadAll(limited(w, hr.Body, limit))
	}
	b.writer.request.allow(limit)
	if hr.ContentLength <= 0 {
		return io.ReadAll(limited(b.writer.ResponseWriter, b, limit))
	}
	if err := b.reserve(hr.ContentLength - b.reserved); err != nil {
		return nil, err
	}
	data := make([]byte, hr.ContentLength)
	n, err := io.ReadFull(b, data)
	if err == nil {
		err = b.finish()
	}
	return data[:n], err
}

func limited(w http.ResponseWriter, r io.ReadCloser, limit int64) io.ReadCloser {
	if limit <= 0 {
		return r
	}
	return http.MaxBytesReader(w, r, limit)
}

// finish reads the end of a body of which all declared bytes were read.
func (b *body) finish() error {
	n, err := b.ReadCloser.Read(make([]byte, 1))
	b.setDeadline(time.Time{})
	if n == 0 && err == io.EOF {
		return nil
	}
	return errors.Join(err, io.ErrUnexpectedEOF)
}
