package proxy

import (
	"context"
	"encoding/json"
	"mime"
	"net/http"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// form is the project's own Protocol: engines by the OpenAI protocol, and plain
// services as they are called.
type form struct {
	method string
	path   string
	header http.Header
	body   []byte

	engine bool // by the engine protocol; otherwise as a plain call
	stream bool // the caller gets the answer as a stream of events
	// assemble: the answer is asked for as a stream, to see its progress and
	// to go on after a failure, and put together for the caller.
	assemble bool
	fields   map[string]json.RawMessage // of an engine's body
}

// plainOnly lists body fields whose answers the gate does not put together
// from a stream; such requests are sent as they are, and start anew after a
// failure.
var plainOnly = []string{"n", "best_of", "tools", "tool_choice", "functions", "logprobs", "top_logprobs", "audio", "modalities", "echo"}

// engineForm prepares a request in the OpenAI protocol.
func engineForm(path string, body []byte, stream bool) *form {
	f := &form{
		method: http.MethodPost,
		path:   path,
		header: http.Header{"Content-Type": {"application/json"}},
		body:   body,
		engine: true,
		stream: stream,
	}
	if json.Unmarshal(body, &f.fields) != nil {
		f.fields = nil
	}
	f.assemble = !stream && f.simple()
	return f
}

// ReasonBadPath counts requests whose path no upstream of their kind may be sent.
const ReasonBadPath apierr.Reason = "bad_path"

// Check refuses paths beyond those that callers may use: an engine takes orders
// on others, and one that does not begin with a slash would change the address
// that the request goes to.
func (f *form) Check() *apierr.Error {
	if f.engine && f.path != PathChat && f.path != PathCompletions {
		return apierr.New(apierr.Invalid, ReasonBadPath, "use "+PathChat+" or "+PathCompletions,
			"engines are not asked for %q", f.path)
	}
	if !strings.HasPrefix(f.path, "/") {
		return apierr.New(apierr.Invalid, ReasonBadPath, "begin the path with a slash", "the path %q is not absolute", f.path)
	}
	return nil
}

// Kind gives the kind of upstream that speaks it.
func (f *form) Kind() upstream.Kind {
	if f.engine {
		return upstream.KindEngine
	}
	return upstream.KindService
}

// simple says whether the answer is one text, which can be resumed.
func (f *form) simple() bool {
	if f.fields == nil || (f.path != PathChat && f.path != PathCompletions) {
		return false
	}
	for _, name := range plainOnly {
		if _, present := f.fields[name]; present {
			return false
		}
	}
	return true
}

// Resumable says whether the answer may be continued by another replica.
func (f *form) Resumable() bool { return f.engine && f.simple() }

// resumeField is what an engine needs to go on with a stream.
type resumeField struct {
	ResumeFrom int    `json:"resume_from"`
	Prefix     string `json:"prefix"`
}

// bodyFor gives the body of an attempt that goes on after tokens, of which
// prefix is the text; tokens is 0 for one from the start.
func (f *form) bodyFor(tokens int, prefix string) ([]byte, error) {
	if tokens == 0 && !f.assemble {
		return f.body, nil
	}
	fields := make(map[string]any, len(f.fields)+3)
	for name, value := range f.fields {
		fields[name] = value
	}
	if f.assemble {
		fields["stream"] = true
		if _, present := f.fields["stream_options"]; !present {
			fields["stream_options"] = streamOptions{IncludeUsage: true}
		}
	}
	if tokens > 0 {
		fields["slateway"] = resumeField{ResumeFrom: tokens, Prefix: prefix}
	}
	return json.Marshal(fields)
}

// streamOptions asks the engine to report the tokens used, which a plain answer
// holds.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Streams says whether the caller gets events.
func (f *form) Streams() bool { return f.stream }

// EndsByClose is false: such an answer may have been cut short.
func (f *form) EndsByClose() bool { return false }

// Start is 0: callers of this protocol begin at the start.
func (f *form) Start() int { return 0 }

// Request builds the request of a try.
func (f *form) Request(ctx context.Context, try *Try) (*http.Request, error) {
	body := f.body
	if f.engine {
		var err error
		if body, err = f.bodyFor(try.After, try.Text); err != nil {
			return nil, err
		}
	}
	request, err := NewRequest(ctx, f.method, "http://"+try.Target.Address+f.path, body)
	if err != nil {
		return nil, err
	}
	for name, values := range f.header {
		request.Header[name] = values
	}
	request.Header.Set(HeaderRequestID, upstreamID(try.RequestID, try.Attempt))
	request.Header.Set(HeaderDeadline, strconv.FormatInt(try.Left().Milliseconds(), 10))
	return request, nil
}

// upstreamID names the attempt to the upstream. Each attempt has its own, so
// that a late answer to an earlier attempt is never taken for the current one,
// and cancelling one does not cancel the other.
func upstreamID(request string, attempt route.AttemptID) string {
	return request + "." + strconv.FormatUint(uint64(attempt), 10)
}

// Judge refuses answers to other requests, and those of an engine that say that
// it did not serve the request.
func (f *form) Judge(answer *http.Response, try *Try) Verdict {
	if echoed := answer.Header.Get(HeaderRequestID); echoed != "" && echoed != upstreamID(try.RequestID, try.Attempt) {
		return Verdict{Cause: route.CauseMismatch}
	}
	verdict := Verdict{Queued: answer.Header.Get(HeaderQueued) == "1"}
	if !f.engine {
		return verdict
	}
	switch status := answer.StatusCode; {
	case status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		verdict.Cause = route.CauseBusy
	case status >= http.StatusInternalServerError, status == http.StatusRequestTimeout:
		verdict.Cause = route.CauseStatus
	}
	return verdict
}

// Events reads an engine's stream.
func (f *form) Events(answer *http.Response) EventSource {
	media, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	isStream := err == nil && media == "text/event-stream" && answer.StatusCode == http.StatusOK
	if !isStream || (!f.stream && !f.assemble) {
		return nil
	}
	return newEventReader(answer.Body)
}

// prefixBytes is how much of a prompt's text decides its affinity: enough to
// tell instructions apart, short enough that prompts that share them agree.
const prefixBytes = 64

// message is the part of a chat message that affinity reads.
type message struct {
	Content json.RawMessage `json:"content"`
}

// prefixHash hashes the model and the start of the prompt's text; 0 when there
// is none.
func (f *form) prefixHash() uint64 {
	text := f.promptStart()
	if len(text) == 0 {
		return 0
	}
	digest := xxhash.New()
	_, _ = digest.Write(f.fields["model"])
	_, _ = digest.Write(text[:min(len(text), prefixBytes)])
	return max(1, digest.Sum64())
}

// promptStart gives at least the first prefixBytes of the prompt's text, if it
// is so long; a chat's messages follow each other.
func (f *form) promptStart() []byte {
	if prompt := f.fields["prompt"]; prompt != nil {
		return prompt
	}
	var messages []message
	if json.Unmarshal(f.fields["messages"], &messages) != nil {
		return nil
	}
	var text []byte
	for _, m := range messages {
		text = append(text, m.Content...)
		if len(text) >= prefixBytes {
			break
		}
	}
	return text
}
