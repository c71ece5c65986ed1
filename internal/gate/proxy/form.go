package proxy

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/cespare/xxhash/v2"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/upstream"
)

// form is how a request is sent to an upstream and answered to its caller.
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
func engineForm(path string, body []byte, stream bool) form {
	f := form{
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

// check refuses paths beyond those that callers may use: an engine takes orders
// on others, and one that does not begin with a slash would change the address
// that the request goes to.
func (f *form) check() *apierr.Error {
	if f.engine && f.path != PathChat && f.path != PathCompletions {
		return apierr.New(apierr.Invalid, ReasonBadPath, "use "+PathChat+" or "+PathCompletions,
			"engines are not asked for %q", f.path)
	}
	if !strings.HasPrefix(f.path, "/") {
		return apierr.New(apierr.Invalid, ReasonBadPath, "begin the path with a slash", "the path %q is not absolute", f.path)
	}
	return nil
}

func (f *form) kind() upstream.Kind {
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

// resumable says whether the answer may be continued by another replica.
func (f *form) resumable() bool { return f.engine && f.simple() }

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
