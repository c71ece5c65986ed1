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
	"slateway.example/slateway/internal/crash"
	"slateway.example/slateway/internal/route"
	"slateway.example/slateway/internal/upstream"
)

// httpProtocol is the Protocol for engines that speak the OpenAI protocol and for
// plain HTTP services.
type httpProtocol struct {
	method string
	path   string
	header http.Header
	body   []byte

	engine bool // OpenAI protocol; otherwise a plain HTTP call
	stream bool // the caller receives a stream of events
	// assembled is set if the answer is requested as a stream, to observe its progress
	// and to resume it after a failure, and assembled for the caller.
	assembled bool
	fields    map[string]json.RawMessage // of a body for an engine
}

// unassembledFields lists body fields whose answers the gate cannot assemble from a
// stream. Requests with such a field are sent unchanged and start over after a
// failure.
var unassembledFields = []string{"n", "best_of", "tools", "tool_choice", "functions", "logprobs", "top_logprobs", "audio", "modalities", "echo"}

// newEngineProtocol creates the Protocol of a request to an engine.
func newEngineProtocol(path string, body []byte, stream bool) *httpProtocol {
	f := &httpProtocol{
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
	f.assembled = !stream && f.isSingleText()
	return f
}

// ReasonBadPath counts requests with a path that may not be sent to upstreams of
// their kind.
const ReasonBadPath apierr.Reason = "bad_path"

// Check refuses paths that callers may not use. Other paths of an engine accept
// administrative commands, and a path without a leading slash would change the
// address to which the request is sent.
func (f *httpProtocol) Check() *apierr.Error {
	if f.engine && f.path != PathChat && f.path != PathCompletions {
		return apierr.New(apierr.Invalid, ReasonBadPath, "use "+PathChat+" or "+PathCompletions,
			"the path %q is not allowed for engines", f.path)
	}
	if !strings.HasPrefix(f.path, "/") {
		return apierr.New(apierr.Invalid, ReasonBadPath, "begin the path with a slash", "the path %q is not absolute", f.path)
	}
	return nil
}

// Kind returns the kind of upstream that serves the request.
func (f *httpProtocol) Kind() upstream.Kind {
	if f.engine {
		return upstream.KindEngine
	}
	return upstream.KindService
}

// isSingleText reports whether the answer is a single text, which can be resumed.
func (f *httpProtocol) isSingleText() bool {
	if f.fields == nil || (f.path != PathChat && f.path != PathCompletions) {
		return false
	}
	for _, name := range unassembledFields {
		if _, present := f.fields[name]; present {
			return false
		}
	}
	return true
}

// Resumable reports whether another replica may continue the answer.
func (f *httpProtocol) Resumable() bool { return f.engine && f.isSingleText() }

// resumeField asks an engine to continue a stream after the given number of tokens.
type resumeField struct {
	ResumeFrom int    `json:"resume_from"`
	Prefix     string `json:"prefix"`
}

// bodyFor returns the body of an attempt that continues after the given number of
// tokens, of which prefix is the text; tokens is 0 for one from the start.
func (f *httpProtocol) bodyFor(tokens int, prefix string) ([]byte, error) {
	if tokens == 0 && !f.assembled {
		return f.body, nil
	}
	fields := make(map[string]any, len(f.fields)+3)
	for name, value := range f.fields {
		fields[name] = value
	}
	if f.assembled {
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

// streamOptions asks the engine to report the number of tokens used, as it does in
// an unstreamed answer.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// Streams reports whether the caller receives events.
func (f *httpProtocol) Streams() bool { return f.stream }

// PromptParts returns nil: the protocol names no parts.
func (f *httpProtocol) PromptParts() []crash.Part { return nil }

// AllowsCloseDelimited returns false, since such an answer may be truncated.
func (f *httpProtocol) AllowsCloseDelimited() bool { return false }

// LastReceived returns 0, since callers of this protocol cannot resume.
func (f *httpProtocol) LastReceived() int { return 0 }

// Request builds the HTTP request of an attempt.
func (f *httpProtocol) Request(ctx context.Context, try *AttemptInfo) (*http.Request, error) {
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
	request.Header.Set(HeaderDeadline, strconv.FormatInt(try.TimeLeft().Milliseconds(), 10))
	return request, nil
}

// upstreamID returns the request ID that the upstream sees. It is unique for each
// attempt, so that a delayed answer to an earlier attempt is never mistaken for the
// current one and cancelling one attempt does not cancel another.
func upstreamID(request string, attempt route.AttemptID) string {
	return request + "." + strconv.FormatUint(uint64(attempt), 10)
}

// InspectHead rejects answers to other requests and an engine's error statuses that
// mean that it did not serve the request.
func (f *httpProtocol) InspectHead(answer *http.Response, try *AttemptInfo) HeadResult {
	if echoed := answer.Header.Get(HeaderRequestID); echoed != "" && echoed != upstreamID(try.RequestID, try.Attempt) {
		return HeadResult{Cause: route.CauseMismatch}
	}
	verdict := HeadResult{Queued: answer.Header.Get(HeaderQueued) == "1"}
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

// Events returns the events of an engine's stream, or nil if the answer is not one.
func (f *httpProtocol) Events(answer *http.Response) EventSource {
	media, _, err := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	isStream := err == nil && media == "text/event-stream" && answer.StatusCode == http.StatusOK
	if !isStream || (!f.stream && !f.assembled) {
		return nil
	}
	return newEventReader(answer.Body)
}

// prefixBytes is the length of the prompt prefix that determines prefix affinity.
// It is long enough to distinguish system instructions, and short enough that
// prompts with the same instructions share it.
const prefixBytes = 64

// message is the part of a chat message that determines prefix affinity.
type message struct {
	Content json.RawMessage `json:"content"`
}

// prefixHash returns a hash of the model and the start of the prompt's text, or 0 if
// there is no prompt.
func (f *httpProtocol) prefixHash() uint64 {
	text := f.promptStart()
	if len(text) == 0 {
		return 0
	}
	digest := xxhash.New()
	_, _ = digest.Write(f.fields["model"])
	_, _ = digest.Write(text[:min(len(text), prefixBytes)])
	return max(1, digest.Sum64())
}

// promptStart returns at least the first prefixBytes of the prompt, or all of a
// shorter one. The messages of a chat are concatenated.
func (f *httpProtocol) promptStart() []byte {
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
