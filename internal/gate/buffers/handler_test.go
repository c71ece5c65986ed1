package buffers_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/buffers"
)

const limit = 100 * time.Millisecond

func newServer(t *testing.T, options buffers.Options, handler http.HandlerFunc) (*buffers.Account, *httptest.Server) {
	t.Helper()
	account := buffers.New(options)
	server := httptest.NewServer(account.Handler(handler))
	t.Cleanup(server.Close)
	return account, server
}

// Guards against deadlines that end a connection which a handler has taken over.
func TestHijackedConnectionHasNoDeadline(t *testing.T) {
	_, server := newServer(t, buffers.Options{BodyTimeout: limit, WriteTimeout: limit}, func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.WriteString(w, ""); err != nil { // sets a deadline
			t.Error(err)
		}
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		go func() { _, _ = io.Copy(connection, connection) }()
	})
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: gate\r\n\r\n")
	time.Sleep(3 * limit)
	_, _ = io.WriteString(connection, "echo\n")
	_ = connection.SetReadDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(connection)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			t.Fatalf("the connection has ended: %v", err)
		}
		if line == "echo\n" {
			return
		}
	}
}

// Guards against a body without a declared length that is read although there is no
// memory for it.
func TestChunkedBodyIsAdmittedInChunks(t *testing.T) {
	got := make(chan error, 1)
	account, server := newServer(t, buffers.Options{Budget: 4 << 20}, func(w http.ResponseWriter, r *http.Request) {
		_, err := buffers.ReadBody(w, r, 8<<20)
		got <- err
		if err != nil {
			apierr.WriteHTTP(w, err)
		}
	})
	for _, size := range []int{300_000, 4 << 20} {
		response, err := http.Post(server.URL, "text/plain", io.MultiReader(bytes.NewReader(make([]byte, size))))
		if err == nil {
			_ = response.Body.Close()
		}
		err = <-got
		if fits := size < 1<<20; fits != (err == nil) {
			t.Errorf("%d bytes: %v", size, err)
		}
	}
	if peak := account.Status().Peak; peak > 3<<20 {
		t.Errorf("%d bytes were held", peak)
	}
}

// Guards against a handler that reads a body with a decoder: the reason of a refusal must
// not be lost, and bytes that were reserved and not used must be returned.
func TestBodyOfDecoderIsCounted(t *testing.T) {
	account, server := newServer(t, buffers.Options{Budget: 4 << 20, BodyTimeout: limit}, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, struct{ io.Reader }{r.Body})
		if refused := buffers.FromContext(r.Context()).Refusal(); err != nil && refused != nil {
			apierr.WriteHTTP(w, refused)
		}
	})
	response, err := http.Post(server.URL, "text/plain", strings.NewReader("short"))
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatal(response, err)
	}
	_ = response.Body.Close()
	if peak := account.Status().Peak; peak != 5 {
		t.Errorf("%d bytes were held for 5", peak)
	}
	reader, writer := io.Pipe()
	defer writer.Close()
	response, err = http.Post(server.URL, "text/plain", reader)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusRequestTimeout {
		t.Errorf("a body that stops: %d", response.StatusCode)
	}
}

// Guards against a response that waits for ever for a caller that takes none of it.
func TestWriteHasDeadline(t *testing.T) {
	failed := make(chan error, 1)
	_, server := newServer(t, buffers.Options{WriteTimeout: limit}, func(w http.ResponseWriter, r *http.Request) {
		_, err := w.Write(make([]byte, 64<<20))
		failed <- err
	})
	connection, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: gate\r\n\r\n")
	select {
	case err := <-failed:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("the write ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		t.Error("the write does not end")
	}
}
