package control

import (
	"sync"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/upstream"
)

// When all replicas announce themselves at once, changes must share writes of the list.
func TestChangesThatWaitForTheDiskShareAWrite(t *testing.T) {
	const changes = 300
	folder := t.TempDir()
	j := newJournal(folder, zap.NewNop())
	var version, reads atomic.Uint64
	current := func() (uint64, journalContent) {
		reads.Add(1)
		at := version.Load()
		return at, journalContent{Replicas: []roster.ReplicaReport{{Replica: upstream.Announcement{Replica: "r", Sequence: at}}}}
	}
	var saving sync.WaitGroup
	for range changes {
		saving.Go(func() {
			mine := version.Add(1)
			j.save(current)
			if found := newJournal(folder, zap.NewNop()).load().Replicas; len(found) != 1 || found[0].Replica.Sequence < mine {
				t.Errorf("change %d is acknowledged but not on disk", mine)
			}
		})
	}
	saving.Wait()
	if got := reads.Load(); got > changes/2 {
		t.Errorf("%d writes for %d changes", got, changes)
	}
}
