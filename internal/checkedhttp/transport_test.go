package checkedhttp_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"slateway.example/slateway/internal/checkedhttp"
	"slateway.example/slateway/internal/framing"
)

// serve answers each request on a listener with what answer writes, until that returns false.
func serve(t *testing.T, answer func(conn *net.TCPConn, request *http.Request) bool) (url string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil || !answer(conn.(*net.TCPConn), request) {
						return
					}
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

const soundResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newTransport(t *testing.T, violations *atomic.Int32) *checkedhttp.Transport {
	t.Helper()
	transport := checkedhttp.New(&http.Transport{}, checkedhttp.Options{Violated: func(*framing.Violation) { violations.Add(1) }})
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

func get(t *testing.T, transport *checkedhttp.Transport, url string) (string, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	return read(transport.RoundTrip(request))
}

func read(response *http.Response, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a response that net/http takes and that is none, in its head or in its chunks, and
// against a request that the transport repeats because of it.
func TestAViolationEndsTheExchange(t *testing.T) {
	for _, broken := range []string{
		"HTTP/1.1 000 Unknown\r\nContent-Length: 2\r\n\r\nno",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2 x\r\nno\r\n0\r\n\r\n",
		"\n",
	} {
		var requests, violations atomic.Int32
		url := serve(t, func(conn *net.TCPConn, _ *http.Request) bool {
			text := soundResponse
			if requests.Add(1) > 1 {
				text = broken
			}
			_, err := io.WriteString(conn, text)
			return err == nil
		})
		transport := newTransport(t, &violations)
		if body, err := get(t, transport, url); err != nil || body != "ok" {
			t.Fatalf("first response: %q, %v", body, err)
		}
		body, err := get(t, transport, url)
		var violation *framing.Violation
		if !errors.As(err, &violation) || requests.Load() != 2 || violations.Load() != 1 {
			t.Errorf("%q: body %q, error %v after %d requests, %d violations", broken, body, err, requests.Load(), violations.Load())
		}
	}
}

// Guards against bytes after a response that pass for the next one.
func TestBytesAfterAResponseAreNotTheNextOne(t *testing.T) {
	var violations atomic.Int32
	url := serve(t, func(conn *net.TCPConn, request *http.Request) bool {
		_, err := io.WriteString(conn, soundResponse+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
		return err == nil
	})
	transport := newTransport(t, &violations)
	for range 20 {
		if body, err := get(t, transport, url); err != nil || body != "ok" {
			t.Fatalf("%q, %v", body, err)
		}
	}
	if violations.Load() == 0 {
		t.Error("no violation is counted")
	}
}

// post sends a body of a known length that its receiver does not read at once.
func post(t *testing.T, transport *checkedhttp.Transport, url string, size int) (string, error) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(make([]byte, size)))
	if err != nil {
		t.Fatal(err)
	}
	request = request.WithContext(checkedhttp.WithSettleTime(t.Context(), 200*time.Millisecond))
	return read(transport.RoundTrip(request))
}

const (
	upload          = 8 << 20
	unframedHead    = "HTTP/1.1 200 OK\r\n\r\n"
	responsePause   = 5 * time.Millisecond
	earlyExchanges  = 12
	chunkedResponse = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
)

// Guards against part of a body that passes for all of it, because a reset while the request was being
// sent was reported to the writer and looks like a plain end to the reader.
func TestABodyWithoutLengthIsCutWithItsRequest(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"reset":      func(c *net.TCPConn) { _ = c.SetLinger(0) },
		"close":      func(*net.TCPConn) {},
		"half-close": func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(responsePause); _ = c.SetLinger(0) },
		"silence":    func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(time.Second) },
	} {
		url := serve(t, func(conn *net.TCPConn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, unframedHead+"par")
			time.Sleep(responsePause)
			end(conn)
			return false
		})
		var violations atomic.Int32
		for range earlyExchanges {
			if body, err := post(t, newTransport(t, &violations), url, upload); err == nil {
				t.Fatalf("%s: %q passes for a whole body", name, body)
			}
		}
	}
}

// Guards against a whole response that is lost because its replica has not read the request.
func TestAResponseMayComeBeforeItsRequestIsRead(t *testing.T) {
	for name, answer := range map[string]func(*net.TCPConn, *http.Request){
		"length": func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, soundResponse) },
		"chunks": func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, chunkedResponse) },
		"length, request read": func(c *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(c, soundResponse)
			_, _ = io.Copy(io.Discard, r.Body)
		},
		"half-close, request read": func(c *net.TCPConn, r *http.Request) {
			_, _ = io.WriteString(c, unframedHead+"ok")
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, r.Body)
		},
	} {
		url := serve(t, func(conn *net.TCPConn, request *http.Request) bool {
			answer(conn, request)
			return false // it closes the connection, with bytes of the request unread
		})
		var violations atomic.Int32
		for range earlyExchanges {
			if body, err := post(t, newTransport(t, &violations), url, upload); err != nil || body != "ok" {
				t.Fatalf("%s: %q, %v", name, body, err)
			}
		}
	}
}
