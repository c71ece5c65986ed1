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

const delay = 20 * time.Millisecond

// The first attempts get no answer, as when a SYN packet reaches a VM just before it
// has started and is retransmitted only after a second. A later attempt must succeed
// sooner.
func TestDialHedgedStartsAnotherAttempt(t *testing.T) {
	var tries atomic.Int32
	local, remote := net.Pipe()
	defer remote.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	start := time.Now()
	got, err := sockets.DialHedged(ctx, delay, func(ctx context.Context) (net.Conn, error) {
		if tries.Add(1) < 3 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return local, nil
	})
	if err != nil || got != local {
		t.Fatalf("got %v, %v", got, err)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("it took %s", took)
	}
}

func TestDialHedgedEnds(t *testing.T) {
	t.Run("with an error of the other side", func(t *testing.T) {
		refused := errors.New("refused")
		_, err := sockets.DialHedged(context.Background(), delay, func(context.Context) (net.Conn, error) { return nil, refused })
		if !errors.Is(err, refused) {
			t.Errorf("got %v", err)
		}
	})
	t.Run("with its context", func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), 3*delay)
		defer cancel()
		_, err := sockets.DialHedged(ctx, delay, func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v", err)
		}
	})
}

// closable records that it was closed.
type closable struct {
	net.Conn
	closed chan struct{}
}

func (c *closable) Close() error {
	close(c.closed)
	return nil
}

// A connection that is opened after another attempt has succeeded must be closed.
// Otherwise it would stay open forever.
func TestDialHedgedClosesOtherConnections(t *testing.T) {
	var tries atomic.Int32
	slow := &closable{closed: make(chan struct{})}
	returned := make(chan struct{}) // closed when DialHedged has returned
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	got, err := sockets.DialHedged(ctx, delay, func(context.Context) (net.Conn, error) {
		if tries.Add(1) == 1 {
			<-returned
			return slow, nil
		}
		return &closable{closed: make(chan struct{})}, nil
	})
	close(returned)
	if err != nil || got == slow {
		t.Fatalf("got %v, %v", got, err)
	}
	select {
	case <-slow.closed:
	case <-time.After(5 * time.Second):
		t.Error("the slow connection is still open")
	}
	select {
	case <-got.(*closable).closed:
		t.Error("the connection that was returned is closed")
	default:
	}
}
