package proxy

import (
	"errors"
	"io"
	"net/http"
)

// wholeStep is the step in which memory is reserved for a whole answer without a length.
const wholeStep = 16 << 10

// readBody reads the body of a whole answer, after memory was reserved for it.
func (a *attempt) readBody(response *http.Response) (data []byte, err error) {
	limit := a.flight.shard.router.options.MaxAnswerBytes
	defer func() {
		if err != nil {
			a.returnWhole(a.whole)
		}
	}()
	if length := response.ContentLength; length > 0 && response.Request.Method != http.MethodHead {
		if length > int64(limit) {
			return nil, errTooLong
		}
		return a.readLength(response.Body, int(length))
	}
	var body pieces
	for body.size <= limit {
		if err := a.reserveWhole(wholeStep); err != nil {
			return nil, err
		}
		n, err := body.read(response.Body, wholeStep)
		if errors.Is(err, io.EOF) {
			a.returnWhole(wholeStep - n)
			return a.join(&body)
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, errTooLong
}

// readLength reads a body of a known length to its end, which lets its connection be used again.
func (a *attempt) readLength(body io.Reader, length int) ([]byte, error) {
	if err := a.reserveWhole(length); err != nil {
		return nil, err
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(body, data); err != nil {
		return nil, err
	}
	if _, err := body.Read(make([]byte, 1)); err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	return data, nil
}

// join returns a body in one piece. While it copies several, they take twice the memory.
func (a *attempt) join(body *pieces) ([]byte, error) {
	if len(body.full) == 0 {
		return body.last, nil
	}
	if err := a.reserveWhole(body.size); err != nil {
		return nil, err
	}
	defer a.returnWhole(body.size)
	data := make([]byte, 0, body.size)
	for _, piece := range body.full {
		data = append(data, piece...)
	}
	return append(data, body.last...), nil
}

// pieces holds a body whose length is not known. A buffer that grows would hold it twice, and leave its
// smaller versions to the garbage collector.
type pieces struct {
	full [][]byte
	last []byte
	size int
}

// Sizes of a piece: of the first, since most bodies are short, and of those that follow many.
const (
	firstPiece = 1 << 10
	maxPiece   = 64 << 10
)

// read reads up to most bytes, fewer only with an error.
func (p *pieces) read(r io.Reader, most int) (n int, err error) {
	for n < most {
		if len(p.last) == cap(p.last) {
			p.grow()
		}
		space := p.last[len(p.last):min(cap(p.last), len(p.last)+most-n)]
		read, err := r.Read(space)
		p.last = p.last[:len(p.last)+read]
		p.size += read
		if n += read; err != nil {
			return n, err
		}
	}
	return n, nil
}

func (p *pieces) grow() {
	if len(p.last) > 0 {
		p.full = append(p.full, p.last)
	}
	p.last = make([]byte, 0, min(max(firstPiece, 2*cap(p.last)), maxPiece))
}
