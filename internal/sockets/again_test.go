package sockets_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"slateway.example/slateway/internal/sockets"
)

const gap = 20 * time.Millisecond

// A VM starts. The packet that asked it for a connection came just before that, and
// is sent again only after a second; another connection comes at once.
func TestDialAgainBeginsAnotherConnection(t *testing.T) {
	var tries atomic.Int32
	near, far := net.Pipe()
	defer far.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	start := time.Now()
	got, err := sockets.DialAgain(ctx, gap, func(ctx context.Context) (net.Conn, error) {
		if tries.Add(1) < 3 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return near, nil
	})
	if err != nil || got != near {
		t.Fatalf("got %v, %v", got, err)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("it took %s", took)
	}
}

func TestDialAgainEnds(t *testing.T) {
	t.Run("with an error of the other side", func(t *testing.T) {
		refused := errors.New("refused")
		_, err := sockets.DialAgain(context.Background(), gap, func(context.Context) (net.Conn, error) { return nil, refused })
		if !errors.Is(err, refused) {
			t.Errorf("got %v", err)
		}
	})
	t.Run("with its context", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*gap)
		defer cancel()
		_, err := sockets.DialAgain(ctx, gap, func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v", err)
		}
	})
}

// closable notes that it was closed.
type closable struct {
	net.Conn
	closed chan struct{}
}

func (c *closable) Close() error {
	close(c.closed)
	return nil
}

// A connection that comes after another one has won would stay open for good.
func TestDialAgainClosesTheOthers(t *testing.T) {
	var tries atomic.Int32
	late := &closable{closed: make(chan struct{})}
	won := &closable{closed: make(chan struct{})}
	got, err := sockets.DialAgain(context.Background(), gap, func(context.Context) (net.Conn, error) {
		if tries.Add(1) == 1 {
			time.Sleep(4 * gap)
			return late, nil
		}
		return won, nil
	})
	if err != nil || got != won {
		t.Fatalf("got %v, %v", got, err)
	}
	select {
	case <-late.closed:
	case <-time.After(5 * time.Second):
		t.Error("the late connection stays open")
	}
}
