// Package checkedhttp is an HTTP/1.1 client transport that checks the bytes of each response before
// net/http parses them. net/http accepts some heads that are none in the protocol, and once it has
// parsed a head, what it dropped or rewrote cannot be checked. Package framing decides; this package
// carries it out on connections.
package checkedhttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"

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

// RoundTrip sends a request and returns the response. The error, also one of reading the body, wraps a
// *framing.Violation if the response is none in the protocol.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var c *conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		var ok bool
		if c, ok = info.Conn.(*conn); ok {
			c.begin(request)
		}
	}}
	response, err := t.transport.RoundTrip(request.WithContext(httptrace.WithClientTrace(request.Context(), trace)))
	if err != nil && c != nil {
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
