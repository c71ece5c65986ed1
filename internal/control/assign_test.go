package control

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/upstream"
)

// newAssigner returns a control VM with only what AnnounceAt needs.
func newAssigner(address string, controls []string) *Service {
	s := &Service{broadcaster: newBroadcaster(address+":7660", nil, nil)}
	s.options.Control = address + ":8146"
	s.peers = peerCache{lists: peerLists{controls: controls}, at: time.Now().Add(time.Hour)}
	return s
}

// If control VMs disagreed, a replica would hold connections to all of them. Unreachable
// control VMs must not be assigned.
func TestAllControlVMsAssignAReplicaToTheSameOne(t *testing.T) {
	controls := []string{"10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660"}
	one, two := newAssigner("10.0.0.1", controls), newAssigner("10.0.0.2", controls)
	assigned := map[string]int{}
	for i := range 300 {
		id := upstream.ReplicaID(fmt.Sprint("replica-", i))
		at := one.AnnounceAt(id)
		if other := two.AnnounceAt(id); other != at {
			t.Fatalf("%s is assigned to both %s and %s", id, at, other)
		}
		assigned[at]++
	}
	for _, at := range []string{"10.0.0.1:8146", "10.0.0.2:8146", "10.0.0.3:8146"} {
		if assigned[at] < 50 {
			t.Errorf("%d of 300 replicas are assigned to %s, want at least 50", assigned[at], at)
		}
	}
	one.broadcaster.unreachable["10.0.0.3:7660"] = true
	for i := range 300 {
		if at := one.AnnounceAt(upstream.ReplicaID(fmt.Sprint("replica-", i))); at == "10.0.0.3:8146" {
			t.Fatal("a replica is assigned to an unreachable control VM")
		}
	}
}

// One slow call of a busy control VM must not send its replicas elsewhere, a refused
// connection must, and a control VM whose own calls are slow must not draw all replicas to
// itself.
func TestReplicasStayAtAControlVMThatAnswersLate(t *testing.T) {
	controls := []string{"10.0.0.1:7660", "10.0.0.2:7660", "10.0.0.3:7660", "10.0.0.4:7660"}
	s := newAssigner("10.0.0.1", controls)
	s.broadcaster.log = zap.NewNop()
	moved := func() (count int) {
		fresh := newAssigner("10.0.0.1", controls)
		for i := range 300 {
			id := upstream.ReplicaID(fmt.Sprint("replica-", i))
			if s.AnnounceAt(id) != fresh.AnnounceAt(id) {
				count++
			}
		}
		return count
	}
	late := fmt.Errorf("call: %w", context.DeadlineExceeded)
	for range unreachableAfter - 1 {
		s.broadcaster.recordResult(controls[1], late)
	}
	if got := moved(); got != 0 {
		t.Errorf("%d replicas move after %d late answers", got, unreachableAfter-1)
	}
	s.broadcaster.recordResult(controls[1], late)
	if got := moved(); got < 30 || got > 150 {
		t.Errorf("%d of 300 replicas move from a control VM that does not answer, want about 75", got)
	}
	s.broadcaster.recordResult(controls[1], nil)
	if got := moved(); got != 0 {
		t.Errorf("%d replicas stay away from a control VM that answers", got)
	}
	s.broadcaster.recordResult(controls[2], &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)})
	if got := moved(); got < 30 || got > 150 {
		t.Errorf("%d of 300 replicas move from a control VM without a process, want about 75", got)
	}
	for range unreachableAfter {
		for _, address := range controls[1:] {
			s.broadcaster.recordResult(address, late)
		}
	}
	if got := moved(); got != 0 {
		t.Errorf("%d replicas are sent to the one control VM whose calls to all others are late", got)
	}
}
