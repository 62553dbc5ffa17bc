// Package upstreamhttp reaches upstreams over HTTP. Engines speak the chat-completions
// format with server-sent events; a stream is resumed by reading the completion again
// with starting_after, and cancelled by its cancel path.
package upstreamhttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
)

// Paths of engines.
const (
	PathCompletions = "/v1/chat/completions"
	cancelSuffix    = "/cancel"
)

// ParamStartingAfter is the query parameter of a resume: the last event id delivered.
const ParamStartingAfter = "starting_after"

const (
	dialTimeout         = time.Second
	idleConnTimeout     = 30 * time.Second
	maxIdlePerUpstream  = 64
	maxAnswerHeaderSize = 64 << 10
)

// ErrCrossed means that an answer carried another request's id.
const ErrCrossed = errors.ConstError("answer belongs to another request")

// Client is a port.Upstreams.
type Client struct {
	http *http.Client
}

// New makes a client.
func New() *Client {
	transport := &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        idleConnTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderSize,
		DisableCompression:     true,
	}
	return &Client{http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Send implements port.Upstreams.
func (c *Client) Send(ctx context.Context, call port.UpstreamCall) (port.UpstreamAnswer, *port.UpstreamError) {
	request, err := http.NewRequest(call.Method, "http://"+call.Upstream.Address+call.Path, call.Body)
	if err != nil {
		return port.UpstreamAnswer{}, &port.UpstreamError{Cause: errors.Trace(err), Ran: fleet.NotRun}
	}
	if call.Header != nil {
		request.Header = call.Header.Clone()
	}
	request.ContentLength = call.ContentLength
	return c.do(ctx, request, call.Request)
}

// do sends a request and checks whose answer comes back.
func (c *Client) do(ctx context.Context, request *http.Request, id fleet.RequestID) (port.UpstreamAnswer, *port.UpstreamError) {
	// A request counts as sent from the moment a connection is there to write it to.
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	request.Header.Set(port.HeaderRequestID, string(id))
	answer, err := c.http.Do(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		ran := fleet.NotRun
		if sent.Load() {
			ran = fleet.RanUnknown
		}
		return port.UpstreamAnswer{}, &port.UpstreamError{Cause: errors.Trace(err), Ran: ran}
	}
	if answer.Header.Get(port.HeaderRequestID) != string(id) {
		answer.Body.Close()
		return port.UpstreamAnswer{}, &port.UpstreamError{Cause: errors.Trace(ErrCrossed), Ran: fleet.RanUnknown}
	}
	return port.UpstreamAnswer{
		Status: answer.StatusCode, Header: answer.Header, Body: answer.Body,
		Trailer: func() http.Header { return answer.Trailer },
	}, nil
}

// Resume implements port.Upstreams.
func (c *Client) Resume(ctx context.Context, upstream fleet.Upstream, id fleet.RequestID, after string) (port.UpstreamAnswer, *port.UpstreamError) {
	query := url.Values{"stream": {"true"}, ParamStartingAfter: {after}}
	path := PathCompletions + "/" + url.PathEscape(string(id)) + "?" + query.Encode()
	request, err := http.NewRequest(http.MethodGet, "http://"+upstream.Address+path, nil)
	if err != nil {
		return port.UpstreamAnswer{}, &port.UpstreamError{Cause: errors.Trace(err), Ran: fleet.RanUnknown}
	}
	// A silent connection is the usual cause of a resume, so the pool's are not trusted.
	request.Close = true
	return c.do(ctx, request, id)
}

// Cancel implements port.Upstreams.
func (c *Client) Cancel(ctx context.Context, upstream fleet.Upstream, id fleet.RequestID) error {
	path := PathCompletions + "/" + url.PathEscape(string(id)) + cancelSuffix
	request, err := sling.New().Base("http://" + upstream.Address).Post(path).Request()
	if err != nil {
		return errors.Trace(err)
	}
	answer, err := c.http.Do(request.WithContext(ctx))
	if err != nil {
		return errors.Annotatef(err, "cancelling on %s", upstream.ID)
	}
	return errors.Trace(answer.Body.Close())
}
