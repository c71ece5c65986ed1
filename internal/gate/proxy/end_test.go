package proxy

import (
	"bytes"
	"testing"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/gate/buffers"
	"slateway.example/slateway/internal/route"
)

// Guards against a stream that its replica has completed, whose caller has not got all of
// it when the gate needs its memory, and that then ends as if it were complete.
func TestEndOfCompletedStream(t *testing.T) {
	for _, unread := range []int{0, 10} {
		router := &Router{options: Options{}.withDefaults()}
		memory := buffers.New(buffers.Options{}).NewRequest("council", "r")
		f := newFlight(newShard(router, "wordroom", nil), route.Request{}, &httpProtocol{stream: true}, memory)
		f.pending.Write(make([]byte, unread))
		f.finish(nil)
		f.end(apierr.New(apierr.BadUpstream, buffers.ReasonReclaimed, "", "ended"))
		_, _, finished := f.takePending(new(bytes.Buffer))
		_, err := f.outcome()
		if !finished || (err != nil) != (unread > 0) {
			t.Errorf("%d bytes unread: finished %t, error %v", unread, finished, err)
		}
	}
}
