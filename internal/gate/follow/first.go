package follow

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"slateway.example/slateway/internal/control/controlapi"
	"slateway.example/slateway/internal/rpc"
)

// firstAnswer is a control VM's answer to a gate that has just started.
type firstAnswer struct {
	control  string
	request  *controlapi.FollowRequest
	response *controlapi.FollowResponse
}

// firstAskDelay is how long the first control VM that is asked may take until the next one is
// asked as well; the delay doubles with each further one. Each control VM that is asked answers
// with the whole roster: hundreds of gates that asked all of them at once would do so at the
// moment at which the control VMs have most to do.
const firstAskDelay = 20 * time.Millisecond

// findFirstControl asks the known control VMs, one after the other with a growing delay, and
// follows the first to answer. After a power loss of a site its VMs return one by one. Asked
// in sequence, every control VM that is still down would cost the whole call timeout, while
// callers wait for routes that another control VM could already provide.
func (f *Follower) findFirstControl(ctx context.Context) {
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
	remaining := f.inAskOrder(f.knownControls())
	delay := firstAskDelay
	timer := time.NewTimer(delay)
	defer timer.Stop()
	askNext := func() {
		if len(remaining) > 0 {
			ask(remaining[0])
			remaining = remaining[1:]
		}
	}
	askNext()
	defer asking.Wait()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			askNext()
			delay *= 2
			timer.Reset(delay)
		case control := <-f.invites:
			ask(control)
		case first := <-answers:
			if err := unpack(first.control, first.response); err != nil {
				f.switchControl(first.control, err)
				return
			}
			f.mu.Lock()
			f.current = first.control
			f.mu.Unlock()
			f.applyResponse(first.control, first.request, first.response)
			return
		}
	}
}

// maxInvites bounds the invitations that wait to be handled.
const maxInvites = 16

// Mount registers the procedures that control VMs call on mux.
func (f *Follower) Mount(mux *http.ServeMux) {
	rpc.Handle(mux, controlapi.Invite, maxInviteBytes, f.serveInvite)
}

// maxInviteBytes bounds an invitation, which carries an address.
const maxInviteBytes = 4 << 10

// serveInvite records a control VM that can be asked. After the first answer of a control
// VM all of them are known, so invitations are ignored.
func (f *Follower) serveInvite(_ context.Context, request *controlapi.InviteRequest) (*controlapi.InviteResponse, error) {
	if f.lastContact.Load() == 0 {
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

// inAskOrder returns the control VMs in random order after the one that this gate would
// choose.
func (f *Follower) inAskOrder(controls []string) []string {
	rand.Shuffle(len(controls), func(i, j int) { controls[i], controls[j] = controls[j], controls[i] })
	f.mu.Lock()
	defer f.mu.Unlock()
	if chosen := slices.Index(controls, f.choice.choose(time.Now(), controls)); chosen > 0 {
		controls[0], controls[chosen] = controls[chosen], controls[0]
	}
	return controls
}

func (f *Follower) askUntilAnswered(ctx context.Context, control string, answers chan<- firstAnswer) {
	var retry backoff
	for ctx.Err() == nil {
		request := f.request()
		response, err := f.callPacked(ctx, control, request) // unpacked only if it is the first
		if err == nil {
			select {
			case answers <- firstAnswer{control: control, request: request, response: response}:
			case <-ctx.Done():
			}
			return
		}
		if ctx.Err() != nil {
			return
		}
		f.recordNoAnswer(control, err)
		pause(ctx, retry.next(err))
	}
}
