package link_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"slateway.example/slateway/standin/link"
)

// startEcho starts a server that sends back what it receives, and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn); conn.Close() }()
		}
	}()
	return listener.Addr().String()
}

func dial(t *testing.T, relay *link.Relay) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", relay.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// exchange sends a byte and reports whether the echo arrives within wait.
func exchange(t *testing.T, conn net.Conn, wait time.Duration) bool {
	t.Helper()
	if _, err := conn.Write([]byte{7}); err != nil {
		t.Fatal(err)
	}
	return receive(t, conn, wait)
}

// receive reports whether a byte arrives within wait.
func receive(t *testing.T, conn net.Conn, wait time.Duration) bool {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(wait)); err != nil {
		t.Fatal(err)
	}
	_, err := conn.Read(make([]byte, 1))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	return err == nil
}

const (
	idleWait = 100 * time.Millisecond // long enough to detect that nothing arrives
	maxWait  = time.Minute            // limit for what must arrive
)

func TestStalledBytesArriveOnceTheLinkHeals(t *testing.T) {
	for name, condition := range map[string]link.Condition{
		"forward": {StallForward: true}, "backward": {StallBackward: true},
	} {
		t.Run(name, func(t *testing.T) {
			relay, err := link.Listen("127.0.0.1:0", startEcho(t), 1)
			if err != nil {
				t.Fatal(err)
			}
			defer relay.Close()
			conn := dial(t, relay)
			if !exchange(t, conn, maxWait) {
				t.Fatal("a link without faults forwarded nothing")
			}
			relay.Set(condition)
			if exchange(t, conn, idleWait) {
				t.Fatal("a stalled link forwarded a byte")
			}
			relay.Set(link.Condition{Delay: time.Millisecond})
			if !receive(t, conn, maxWait) {
				t.Fatal("the byte did not arrive after the stall ended")
			}
		})
	}
}

func TestSilencedConnectionStaysOpenAndNewOnesWork(t *testing.T) {
	relay, err := link.Listen("127.0.0.1:0", startEcho(t), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	old := dial(t, relay)
	if !exchange(t, old, maxWait) {
		t.Fatal("a link without faults forwarded nothing")
	}
	if count := relay.BlackholeOpen(); count != 1 {
		t.Fatalf("%d connections were blackholed, want 1", count)
	}
	if exchange(t, old, idleWait) {
		t.Fatal("a blackholed connection forwarded a byte")
	}
	if !exchange(t, dial(t, relay), maxWait) {
		t.Fatal("a new connection forwarded nothing")
	}
}

// An upstream resets a connection in the middle of an answer without a length. If the
// relay closed the caller's connection in an orderly way, the caller would take the
// truncated answer for complete.
func TestAResetIsPassedOnAsAReset(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	go func() {
		conn, err := target.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Write([]byte("half"))
		time.Sleep(50 * time.Millisecond) // a reset discards data that the relay has not read yet
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	relay, err := link.Listen("127.0.0.1:0", target.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer relay.Close()
	conn, err := net.Dial("tcp", relay.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	got, err := io.ReadAll(conn)
	if string(got) != "half" || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %q and error %v, want \"half\" and a connection reset", got, err)
	}
}
