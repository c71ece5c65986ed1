// Package rpc provides typed calls between slateway processes: unary Connect calls
// whose bodies are encoded by package codec.
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

// codecName is the subtype of the calls' content type, application/cbor.
const codecName = "cbor"

// Headers that carry the fields of an apierr.Error in Connect's error metadata, from
// which the client restores the same typed error.
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

// Procedure is the name of a call together with the types of its request and
// response.
type Procedure[Req, Res any] string

// Handle registers fn on mux as the handler of p. Request bodies over maxBytes are
// rejected before decoding.
func Handle[Req, Res any](mux *http.ServeMux, p Procedure[Req, Res], maxBytes int, fn func(context.Context, *Req) (*Res, error)) {
	handle(mux, p, maxBytes, compressMinBytes, fn)
}

// HandleUncompressed is like Handle but does not compress the responses. It is for
// responses whose large fields are already compressed, once for all callers.
func HandleUncompressed[Req, Res any](mux *http.ServeMux, p Procedure[Req, Res], maxBytes int, fn func(context.Context, *Req) (*Res, error)) {
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

// compressMinBytes is the smallest body that is compressed: for smaller ones the CPU
// time of gzip costs more than the saved bytes.
const compressMinBytes = 4096

// maxResponseBytes bounds a response, which is decoded as a whole.
const maxResponseBytes = 64 << 20

// Client sends calls to other processes.
type Client struct {
	http connect.HTTPClient
}

// NewClient returns a Client that sends its calls through httpClient.
func NewClient(httpClient connect.HTTPClient) *Client { return &Client{http: httpClient} }

// Call sends request to the process at address (IP:port) and returns its response. An
// *apierr.Error returned by the remote handler is returned as such.
func Call[Req, Res any](ctx context.Context, c *Client, address string, p Procedure[Req, Res], request *Req) (*Res, error) {
	client := connect.NewClient[Req, Res](c.http, "http://"+address+string(p), connect.WithCodec(cborCodec{}), connect.WithReadMaxBytes(maxResponseBytes))
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
