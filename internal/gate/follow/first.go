package follow

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/rpc"
)

// firstAnswer is a control VM's answer to a gate that has just started.
type firstAnswer struct {
	control  string
	asked    *controlapi.FollowRequest
	response *controlapi.FollowResponse
}

// findFirst asks all control VMs that this gate knows at the same time, until one
// has answered, and follows that one.
//
// Failure guarded against: a whole site loses its power, and its VMs are back one
// after the other. Asked one by one, a control VM that is still down costs a gate
// the whole time that a call may take, while callers wait at the gate for the
// routes that another control VM could give it at once.
func (f *Follower) findFirst(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	answers := make(chan firstAnswer)
	asked := make(map[string]bool)
	var asking sync.WaitGroup
	ask := func(control string) {
		if !asked[control] {
			asked[control] = true
			asking.Go(func() { f.askUntilAnswered(ctx, control, answers) })
		}
	}
	for _, control := range f.knownControls() {
		ask(control)
	}
	defer asking.Wait()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case control := <-f.invites:
			ask(control)
		case first := <-answers:
			f.mu.Lock()
			f.current = first.control
			f.mu.Unlock()
			f.take(first.control, first.asked, first.response)
			return
		}
	}
}

// maxInvites bounds the control VMs whose calls wait to be answered.
const maxInvites = 16

// Mount adds the calls of control VMs to mux.
func (f *Follower) Mount(mux *http.ServeMux) {
	rpc.Handle(mux, controlapi.Invite, inviteBytes, f.invited)
}

// inviteBytes bounds an invitation: an address.
const inviteBytes = 4 << 10

// invited notes a control VM that can be asked. Once one has answered, all are known.
func (f *Follower) invited(_ context.Context, request *controlapi.InviteRequest) (*controlapi.InviteResponse, error) {
	if f.heard.Load() == 0 {
		select {
		case f.invites <- request.Control:
		default:
		}
	}
	return &controlapi.InviteResponse{}, nil
}

func (f *Follower) knownControls() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.controls)
}

func (f *Follower) askUntilAnswered(ctx context.Context, control string, answers chan<- firstAnswer) {
	var retry backoff
	for ctx.Err() == nil {
		request := f.request()
		response, err := f.call(ctx, control, request)
		if err == nil {
			select {
			case answers <- firstAnswer{control: control, asked: request, response: response}:
			case <-ctx.Done():
			}
			return
		}
		if ctx.Err() != nil {
			return
		}
		f.missed(control, err)
		pause(ctx, retry.next(err))
	}
}
