package control

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/crash"
)

func condemnedRecord() crash.Record {
	return crash.Record{
		Part: crash.NewPart("bad0"), Condemned: true, FlowAge: -1, SeenAge: time.Second,
		Deaths: []crash.Death{{Process: crash.Process{Replica: "1"}}, {Process: crash.Process{Replica: "2"}}, {Process: crash.Process{Replica: "3"}}},
	}
}

func condemnedAt(s *Service) bool {
	content, _ := s.parts.lasting(0)
	return len(content) == 1 && len(content[0].Records) == 1 && content[0].Records[0].Part == crash.NewPart("bad0") && content[0].Records[0].Condemned
}

// Guards against harmful parts that cost replicas again after all gates and control VMs stopped.
func TestPartsThatCrashReplicasOutliveARestart(t *testing.T) {
	s := startService(t)
	if _, err := s.reportParts(t.Context(), &controlapi.PartsRequest{Service: "wordroom", Records: []crash.Record{condemnedRecord()}}); err != nil {
		t.Fatal(err)
	}
	written := func(s *Service) func() bool {
		return func() bool {
			s.parts.mu.Lock()
			defer s.parts.mu.Unlock()
			return !s.parts.writing
		}
	}
	eventually(t, "the part is on disk", written(s))
	after := newService(s.options.Folder)
	eventually(t, "the file is written again", written(after))
	if !condemnedAt(after) {
		t.Error("the part is not known after the restart")
	}
}

// Guards against a control VM that never hears of a part since the gate's report did not reach it.
func TestControlVMsTellEachOtherOfParts(t *testing.T) {
	knowing, other := startService(t), startService(t)
	knowing.parts.merge("wordroom", []crash.Record{condemnedRecord()})
	other.syncWith(t.Context(), knowing.options.Address)
	if !condemnedAt(other) {
		t.Error("the part is not known at the other control VM")
	}
}
