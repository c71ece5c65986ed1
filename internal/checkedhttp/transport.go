// Package checkedhttp is an HTTP/1.1 client transport that checks the bytes of each response before
// net/http parses them. net/http accepts some heads that are none in the protocol, and once it has
// parsed a head, what it dropped or rewrote cannot be checked. Package framing decides; this package
// carries it out on connections.
package checkedhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"slateway.example/slateway/internal/framing"
)

// Options configures a Transport.
type Options struct {
	Limits framing.Limits // of a response; the zero value: framing.DefaultLimits
	// Violated is called with each response that violates the protocol; nil: nothing is called. It
	// must not block.
	Violated func(*framing.Violation)
}

// Transport is an http.RoundTripper over checked connections.
type Transport struct{ transport *http.Transport }

var _ http.RoundTripper = (*Transport)(nil)

// New checks the connections of a transport, which must not be used otherwise afterwards. Without
// a DialContext of its own they are opened with the defaults of net.Dialer.
func New(t *http.Transport, o Options) *Transport {
	if o.Limits == (framing.Limits{}) {
		o.Limits = framing.DefaultLimits()
	}
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		opened, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return newConn(opened, o), nil
	}
	t.Protocols = new(http.Protocols)
	t.Protocols.SetHTTP1(true)
	return &Transport{transport: t}
}

type settleTimeKey struct{}

// WithSettleTime returns a context for requests. After the connection has ended a response's body,
// the request may be sent on for at most d; see RoundTrip.
func WithSettleTime(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, settleTimeKey{}, d)
}

// RoundTrip sends a request, whose body must have a known length, and returns the response. The
// error, also one of reading the body, wraps a *framing.Violation if the response is none in the
// protocol. A body that ends with its connection while the request is still being sent ends with
// ErrRequestCut unless the rest of the request can be sent.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	settleTime, _ := request.Context().Value(settleTimeKey{}).(time.Duration)
	var c *conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		var ok bool
		if c, ok = info.Conn.(*conn); ok {
			c.begin(request, settleTime)
		}
	}}
	response, err := t.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if c == nil {
		return response, err
	}
	c.roundTripReturned()
	if err != nil {
		if violation := c.violated(); violation != nil {
			return nil, violation // net/http may have found an error in the bytes before it
		}
	}
	return response, err
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// Underlying returns the connection that the transport's DialContext has opened.
func Underlying(c net.Conn) net.Conn {
	if checked, ok := c.(*conn); ok {
		return checked.Conn
	}
	return c
}

// ErrRequestCut means that the connection ended the body of a response, and the request could not be
// sent to its end. The replica has reset the connection or closed it early, so that the body may be
// a part only.
var ErrRequestCut = errors.New("the connection ended the response before the request was sent")
