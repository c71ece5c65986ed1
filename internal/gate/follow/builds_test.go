package follow

import (
	"testing"
	"time"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/origin"
)

// buildRecorder records what a Follower reports about builds.
type buildRecorder struct {
	heldReplicas
	past      []origin.Past
	reach     time.Duration
	confirmed int
}

func (b *buildRecorder) RememberParts([]controlapi.ServiceParts, uint64) {}

func (b *buildRecorder) PartsHash() uint64 { return 0 }

func (b *buildRecorder) RememberBuilds(past []origin.Past, reach time.Duration) {
	b.past, b.reach = append(b.past, past...), max(b.reach, reach)
}
func (b *buildRecorder) Confirmed() { b.confirmed++ }

// Guards against take-ups that are refused after a stop of all: the control VM told the builds
// while no leader was elected, and did not tell them again.
func TestBuildsToldWithoutContactAreRemembered(t *testing.T) {
	recorder := &buildRecorder{heldReplicas: heldReplicas{}}
	f := newTestFollower(heldReplicas{})
	f.options.Router = recorder
	past := []origin.Past{{Service: "wordroom", Build: "v1"}}
	first := &controlapi.FollowResponse{Epoch: "e", NoContact: true, Builds: past, BuildsReach: origin.Memory, BuildsHash: 7}
	f.applyResponse("c1", f.request(), first)
	if len(recorder.past) != 1 || recorder.reach != origin.Memory || recorder.confirmed != 0 {
		t.Errorf("remembered %v for %s, confirmed %d times", recorder.past, recorder.reach, recorder.confirmed)
	}
	request := f.request()
	if request.BuildsHash == nil || *request.BuildsHash != 7 {
		t.Errorf("the next request has the hash %v", request.BuildsHash)
	}
	f.applyResponse("c1", request, &controlapi.FollowResponse{Epoch: "e", BuildsHash: 7})
	if recorder.confirmed != 1 || len(recorder.past) != 1 {
		t.Errorf("confirmed %d times, remembered %v", recorder.confirmed, recorder.past)
	}
}

var _ Router = &buildRecorder{}
