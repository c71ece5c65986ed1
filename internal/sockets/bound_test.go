package sockets_test

import (
	"io"
	"net"
	"testing"
	"time"

	"slateway.example/slateway/internal/sockets"
)

// A listener must not use up the file descriptors of its process.
func TestLimitedListenerRefusesWhenFullAndReusesFreedSlots(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limited := sockets.NewLimitedListener(inner, 2, func(c net.Conn) {
		_, _ = io.WriteString(c, "full")
		_ = c.Close()
	})
	defer limited.Close()
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := limited.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	dial()
	dial()
	first := <-accepted
	<-accepted
	refused := dial()
	_ = refused.SetDeadline(time.Now().Add(5 * time.Second))
	if got, err := io.ReadAll(refused); err != nil || string(got) != "full" {
		t.Fatalf("the third connection got %q, %v", got, err)
	}
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	dial()
	select {
	case <-accepted:
	case <-time.After(5 * time.Second):
		t.Error("the slot of a closed connection is not reused")
	}
}
