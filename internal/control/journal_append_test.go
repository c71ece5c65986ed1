package control

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"slateway.example/slateway/internal/codec"
	"slateway.example/slateway/internal/roster"
	"slateway.example/slateway/internal/upstream"
)

// onDisk returns the replicas that a control VM would know after a crash, by ID.
func onDisk(folder string) map[upstream.ReplicaID]upstream.Announcement {
	replicas := make(map[upstream.ReplicaID]upstream.Announcement)
	for _, report := range newJournal(folder, zap.NewNop()).load().Replicas {
		replicas[report.Replica.Replica] = report.Replica
	}
	return replicas
}

func journalService(t *testing.T, folder string) *Service {
	s := newService(folder)
	s.options.Group = shareGroup{}
	t.Cleanup(s.journal.closeFile)
	return s
}

func announceReplica(t *testing.T, s *Service, n int, sequence uint64, ready bool) {
	t.Helper()
	report := shareReport(fmt.Sprint("replica-", n), sequence, func(a *upstream.Announcement) {
		a.Address, a.Ready = fmt.Sprintf("10.0.%d.%d:80", n/250, 1+n%250), ready
	})
	if err := s.Announce(t.Context(), report.Replica); err != nil {
		t.Error(err)
	}
	s.awaitDisk()
}

// awaitDisk returns when all changes are on the disk. An acknowledgement waits for a slow disk
// for journalWait only.
func (s *Service) awaitDisk() { <-s.journal.request(s.snapshot) }

// A change must be on the disk when its write has ended, and a control VM that crashes then
// must know it. Changes that wait must share a write, which must not contain the whole state:
// with 3,000 replicas that took most of the time until a replica was acknowledged.
func TestAcknowledgedChangesAreOnTheDisk(t *testing.T) {
	const replicas = 300
	folder := t.TempDir()
	s := journalService(t, folder)
	var joining sync.WaitGroup
	for n := range replicas {
		joining.Go(func() {
			announceReplica(t, s, n, 1, true)
			if _, known := onDisk(folder)[upstream.ReplicaID(fmt.Sprint("replica-", n))]; !known {
				t.Errorf("replica %d is written but not on disk", n)
			}
		})
	}
	joining.Wait()
	began := time.Now()
	if err := s.Leave(t.Context(), "replica-7", 0); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < journalWait && !onDisk(folder)["replica-7"].Leaving {
		t.Errorf("that a replica leaves was acknowledged after %s and is not on disk", took)
	}
	s.awaitDisk()
	if !onDisk(folder)["replica-7"].Leaving {
		t.Error("that a replica leaves is written but not on disk")
	}
	s.mu.Lock()
	s.table.Tick(time.Now().Add(2 * s.options.Roster.ReplicaLifetime))
	s.mu.Unlock()
	s.awaitDisk()
	if left := len(onDisk(folder)); left != 0 {
		t.Errorf("%d replicas on disk after all were removed", left)
	}
	appends, rewrites := s.options.Metrics.Value("roster.journal_appends"), s.options.Metrics.Value("roster.journal_rewrites")
	if appends+rewrites > replicas/2 || appends < rewrites {
		t.Errorf("%d appends and %d rewrites for %d changes", appends, rewrites, replicas+2)
	}
}

// A crash during a write leaves a part of the last frame. All changes before it must be read,
// and the control VM must write such that its next changes are read as well.
func TestATornChangeIsIgnored(t *testing.T) {
	folder := t.TempDir()
	path := filepath.Join(folder, journalFile)
	s := journalService(t, folder)
	announceReplica(t, s, 1, 1, true)
	announceReplica(t, s, 2, 1, true)
	before, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	announceReplica(t, s, 1, 2, false)
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if s.options.Metrics.Value("roster.journal_appends") != 2 || onDisk(folder)["replica-1"].Ready {
		t.Fatal("the changes are not appended")
	}
	torn := map[string][]byte{"zeros in place of the frame": append(data[:before.Size():before.Size()], make([]byte, 100)...)}
	for size := before.Size(); size < int64(len(data)); size++ {
		torn[fmt.Sprint(size, " of ", len(data), " bytes")] = data[:size]
	}
	damaged := bytes.Clone(data)
	damaged[bytes.LastIndex(damaged, []byte("wordroom"))] = 'W' // only the checksum shows it
	torn["a damaged frame"] = damaged
	for name, content := range torn {
		folder := t.TempDir()
		if err := os.WriteFile(filepath.Join(folder, journalFile), content, 0o600); err != nil {
			t.Fatal(err)
		}
		if found := onDisk(folder); len(found) != 2 || !found["replica-1"].Ready {
			t.Fatalf("%s: read %+v, want both replicas before the last change", name, found)
		}
		again := journalService(t, folder)
		announceReplica(t, again, 3, 1, true)
		announceReplica(t, again, 2, 2, false)
		if found := onDisk(folder); len(found) != 3 || found["replica-2"].Ready {
			t.Fatalf("%s: read %+v after further changes", name, found)
		}
	}
}

// A crash after the file has been replaced and before anything is appended, also while the
// next replacement is being written, must leave the whole state.
func TestACrashAroundAReplacementLosesNothing(t *testing.T) {
	folder := t.TempDir()
	s := journalService(t, folder)
	announceReplica(t, s, 1, 1, true)
	if s.options.Metrics.Value("roster.journal_rewrites") != 1 || s.options.Metrics.Value("roster.journal_appends") != 0 {
		t.Fatal("the first write is not the whole state")
	}
	if err := os.WriteFile(filepath.Join(folder, journalFile+".new"), []byte("half of"), 0o600); err != nil {
		t.Fatal(err)
	}
	again := journalService(t, folder)
	if again.replica("replica-1") == nil {
		t.Error("the replica is not known after a crash")
	}
	announceReplica(t, again, 2, 1, true)
	if len(onDisk(folder)) != 2 {
		t.Error("the replica of before the crash or the one after it is not on disk")
	}
}

// The builds before this one wrote the whole state alone. What they wrote must be read, and
// what this build writes first must have that form.
func TestAFileOfTheOlderFormIsRead(t *testing.T) {
	folder := t.TempDir()
	older := codec.MustMarshal(journalContent{
		Replicas: []roster.ReplicaReport{shareReport("1", 1, nil)}, Gates: []roster.Gate{{VM: "g1", Started: 1, Sequence: 1}},
	})
	if err := os.WriteFile(filepath.Join(folder, journalFile), older, 0o600); err != nil {
		t.Fatal(err)
	}
	s := journalService(t, folder)
	if s.replica("1") == nil || len(s.previousGates) != 1 {
		t.Fatal("the replica or the gate in the older file is not known")
	}
	announceReplica(t, s, 2, 1, true)
	data, err := os.ReadFile(filepath.Join(folder, journalFile))
	if err != nil {
		t.Fatal(err)
	}
	var content journalContent
	if err := codec.Unmarshal(data, &content); err != nil || len(content.Replicas) != 2 || len(content.Gates) != 1 {
		t.Errorf("an older build reads %d replicas and %d gates, %v", len(content.Replicas), len(content.Gates), err)
	}
}

// After a failed append the file may end with a part of a frame: nothing after it would be
// read.
func TestAFailedAppendIsFollowedByAWholeState(t *testing.T) {
	folder := t.TempDir()
	s := journalService(t, folder)
	announceReplica(t, s, 1, 1, true)
	if _, err := s.journal.file.Write([]byte("half of a frame")); err != nil {
		t.Fatal(err)
	}
	if err := s.journal.file.Close(); err != nil { // so that the next append fails
		t.Fatal(err)
	}
	announceReplica(t, s, 2, 1, true)
	announceReplica(t, s, 3, 1, true)
	if found := onDisk(folder); len(found) != 3 {
		t.Errorf("%d replicas on disk, want 3", len(found))
	}
}

// Appended changes must not fill the disk.
func TestTheFileIsReplacedWhenTheChangesHaveOutgrownIt(t *testing.T) {
	folder := t.TempDir()
	s := journalService(t, folder)
	for sequence := range uint64(200) {
		report := shareReport("1", sequence+1, func(a *upstream.Announcement) {
			a.Service, a.Ready = strings.Repeat("long", 200), sequence%2 == 0
		})
		if err := s.Announce(t.Context(), report.Replica); err != nil {
			t.Fatal(err)
		}
		if sequence%2 == 0 {
			s.awaitDisk()
		}
	}
	s.awaitDisk()
	info, err := os.Stat(filepath.Join(folder, journalFile))
	if err != nil {
		t.Fatal(err)
	}
	if rewrites := s.options.Metrics.Value("roster.journal_rewrites"); rewrites < 2 || info.Size() > minAppendedBytes+4096 {
		t.Errorf("%d rewrites, %d bytes", rewrites, info.Size())
	}
	if found := onDisk(folder)["1"]; found.Sequence != 200 {
		t.Errorf("sequence %d on disk, want the last one", found.Sequence)
	}
}

// Gates that were known before a restart and have not come back must stay in the file while
// they are awaited, also beside appended changes, and go when they are not awaited any more.
func TestAppendedChangesKeepTheGatesThatAreAwaited(t *testing.T) {
	folder := t.TempDir()
	before := journalService(t, folder)
	for _, vm := range []string{"lost", "back"} {
		before.table.RecordReport(time.Now(), roster.Gate{VM: vm, Started: 1, Sequence: 1}, 0)
	}
	before.awaitDisk()
	s := journalService(t, folder)
	announceReplica(t, s, 1, 1, true) // the whole state
	s.mu.Lock()
	s.table.RecordReport(time.Now(), roster.Gate{VM: "back", Started: 2, Sequence: 1}, 0)
	s.mu.Unlock()
	announceReplica(t, s, 2, 1, true) // appended
	if gates := newJournal(folder, zap.NewNop()).load().Gates; len(gates) != 2 || gates[0].Started != 2 || gates[1].VM != "lost" {
		t.Errorf("gates on disk: %+v, want the one that is back and the one that is awaited", gates)
	}
	s.mu.Lock()
	s.table.MarkUnresponsive(&roster.Gate{VM: "back", Started: 2, Sequence: 1})
	s.mu.Unlock()
	announceReplica(t, s, 4, 1, true)
	if gates := newJournal(folder, zap.NewNop()).load().Gates; len(gates) != 2 {
		t.Errorf("gates on disk: %+v, want also the one that is lost again while gates are awaited", gates)
	}
	s.mu.Lock()
	s.table.RecordReport(time.Now(), roster.Gate{VM: "back", Started: 2, Sequence: 2}, 0)
	s.started = time.Now().Add(-2 * inviteDuration)
	s.mu.Unlock()
	announceReplica(t, s, 3, 1, true)
	if gates := newJournal(folder, zap.NewNop()).load().Gates; len(gates) != 1 {
		t.Errorf("gates on disk: %+v, want only the one that is back", gates)
	}
}
