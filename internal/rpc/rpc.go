// Package rpc carries typed messages between the project's processes: connect
// unary calls whose bodies the project's codec encodes.
package rpc

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"slateway.example/slateway/internal/apierr"
	"slateway.example/slateway/internal/codec"
)

// codecName is the content subtype of calls: application/cbor.
const codecName = "cbor"

// reasonHeader and its siblings carry an apierr.Error in connect's error
// metadata, so that the calling side rebuilds the same typed error.
const (
	kindHeader   = "Slateway-Kind"
	reasonHeader = "Slateway-Reason"
	remedyHeader = "Slateway-Remedy"
	ranHeader    = "Slateway-Ran"
	retryHeader  = "Slateway-Retry-After"
)

type cborCodec struct{}

func (cborCodec) Name() string                       { return codecName }
func (cborCodec) Marshal(v any) ([]byte, error)      { return codec.Marshal(v) }
func (cborCodec) Unmarshal(data []byte, v any) error { return codec.Unmarshal(data, v) }

// Procedure names a call and fixes the types of its request and response.
type Procedure[Req, Res any] string

// Handle mounts fn on mux. Bodies over maxBytes are refused before decoding.
func Handle[Req, Res any](mux *http.ServeMux, p Procedure[Req, Res], maxBytes int, fn func(context.Context, *Req) (*Res, error)) {
	handle(mux, p, maxBytes, compressMinBytes, fn)
}

// HandlePacked mounts fn on mux as Handle does. Its responses are not compressed:
// what is large in them is packed already, once for all callers.
func HandlePacked[Req, Res any](mux *http.ServeMux, p Procedure[Req, Res], maxBytes int, fn func(context.Context, *Req) (*Res, error)) {
	handle(mux, p, maxBytes, math.MaxInt, fn)
}

func handle[Req, Res any](mux *http.ServeMux, p Procedure[Req, Res], maxBytes, compressMin int, fn func(context.Context, *Req) (*Res, error)) {
	unary := func(ctx context.Context, request *connect.Request[Req]) (*connect.Response[Res], error) {
		response, err := fn(ctx, request.Msg)
		if err != nil {
			return nil, encodeError(err)
		}
		return connect.NewResponse(response), nil
	}
	handler := connect.NewUnaryHandler(string(p), unary,
		connect.WithCodec(cborCodec{}), connect.WithReadMaxBytes(maxBytes), connect.WithCompressMinBytes(compressMin))
	mux.Handle(string(p), handler)
}

// compressMinBytes is the smallest body worth compressing: below it gzip's
// processor time costs more than the bytes it saves.
const compressMinBytes = 4096

// Client calls the processes of one HTTP client.
type Client struct {
	http connect.HTTPClient
}

// NewClient makes a Client that sends its calls through httpClient.
func NewClient(httpClient connect.HTTPClient) *Client { return &Client{http: httpClient} }

// Call sends request to the process that listens at address (IP and port) and
// waits for its response. An *apierr.Error of the far side comes back as one.
func Call[Req, Res any](ctx context.Context, c *Client, address string, p Procedure[Req, Res], request *Req) (*Res, error) {
	client := connect.NewClient[Req, Res](c.http, "http://"+address+string(p), connect.WithCodec(cborCodec{}))
	response, err := client.CallUnary(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, decodeError(address, p, err)
	}
	return response.Msg, nil
}

func encodeError(err error) error {
	known := apierr.From(err)
	encoded := connect.NewError(connect.CodeFailedPrecondition, errors.New(known.Message))
	encoded.Meta().Set(kindHeader, string(known.Kind))
	encoded.Meta().Set(reasonHeader, string(known.Reason))
	encoded.Meta().Set(remedyHeader, known.Remedy)
	encoded.Meta().Set(ranHeader, string(known.Ran))
	encoded.Meta().Set(retryHeader, known.RetryAfter.String())
	return encoded
}

func decodeError[Req, Res any](address string, p Procedure[Req, Res], err error) error {
	var remote *connect.Error
	if !errors.As(err, &remote) || remote.Meta().Get(kindHeader) == "" {
		return fmt.Errorf("call %s at %s: %w", p, address, err)
	}
	retryAfter, _ := time.ParseDuration(remote.Meta().Get(retryHeader))
	return &apierr.Error{
		Kind:       apierr.Kind(remote.Meta().Get(kindHeader)),
		Reason:     apierr.Reason(remote.Meta().Get(reasonHeader)),
		Message:    remote.Message(),
		Remedy:     remote.Meta().Get(remedyHeader),
		Ran:        apierr.Ran(remote.Meta().Get(ranHeader)),
		RetryAfter: retryAfter,
	}
}
