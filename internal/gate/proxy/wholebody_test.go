package proxy

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// Guards against a whole answer whose bytes are lost or doubled between the pieces in which it is read,
// and against pieces that take much more memory than the answer.
func TestABodyInPiecesIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := make([]byte, rapid.IntRange(0, 400<<10).Draw(t, "length"))
		for i := range want {
			want[i] = byte(i * 7 >> 3)
		}
		var source io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(t, "halves") {
			source = iotest.HalfReader(source)
		}
		if rapid.Bool().Draw(t, "end with data") {
			source = iotest.DataErrReader(source)
		}
		var body pieces
		for {
			step := rapid.IntRange(1, 40<<10).Draw(t, "step")
			n, err := body.read(source, step)
			if n > step {
				t.Fatalf("%d bytes read, %d wanted", n, step)
			}
			if errors.Is(err, io.EOF) {
				break
			}
			if err != nil {
				t.Fatal(err)
			}
		}
		got, held := bytes.Join(append(body.full, body.last), nil), cap(body.last)
		for _, piece := range body.full {
			held += cap(piece)
		}
		if !bytes.Equal(got, want) || body.size != len(want) {
			t.Fatalf("%d bytes, size %d, want %d", len(got), body.size, len(want))
		}
		if held > len(want)+maxPiece {
			t.Fatalf("%d bytes held for %d", held, len(want))
		}
	})
}
