package follow

import (
	"context"
	"slices"
	"sync"

	"slateway.example/slateway/internal/control/controlapi"
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
	var asking sync.WaitGroup
	for _, control := range f.knownControls() {
		asking.Go(func() { f.askUntilAnswered(ctx, control, answers) })
	}
	defer asking.Wait()
	defer stop()
	select {
	case <-ctx.Done():
	case first := <-answers:
		f.mu.Lock()
		f.current = first.control
		f.mu.Unlock()
		f.take(first.control, first.asked, first.response)
	}
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
