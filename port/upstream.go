package port

import (
	"context"
	"io"
	"net/http"

	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
)

// HeaderRequestID carries the request id to an upstream, which must return it.
const HeaderRequestID = "X-Request-Id"

// UpstreamCall is one call of an upstream.
type UpstreamCall struct {
	Upstream fleet.Upstream
	Request  fleet.RequestID
	Method   string
	// Path holds the path and query, and starts with a slash.
	Path string
	// Host is the name in the call's Host header. Empty means the upstream's address.
	Host   string
	Header http.Header
	Body   io.Reader
	// ContentLength is the length of Body; -1 means unknown.
	ContentLength int64
	// Fresh asks for a new connection.
	Fresh bool
}

// UpstreamAnswer is the start of an upstream's answer. The caller closes Body.
type UpstreamAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of Body; -1 means unknown.
	Length  int64
	Trailer func() http.Header
}

// UpstreamError tells how a call failed and what can have reached the upstream.
type UpstreamError struct {
	Cause error
	// Ran is NotRun only when no byte of the call was sent.
	Ran fleet.Ran
	// Fault tells in which way the call failed.
	Fault exchange.Fault
}

// Error implements error.
func (e *UpstreamError) Error() string { return string(e.Ran) + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UpstreamError) Unwrap() error { return e.Cause }

// Upstreams reaches back ends. Cancelling ctx closes the call's connection.
type Upstreams interface {
	// Send makes a call. An answer with another request's id is an error.
	Send(ctx context.Context, call UpstreamCall) (UpstreamAnswer, *UpstreamError)
	// Resume continues an engine's stream after an event id, over a new connection.
	Resume(ctx context.Context, upstream fleet.Upstream, request fleet.RequestID, after string) (UpstreamAnswer, *UpstreamError)
	// Cancel stops the engine's work on a request.
	Cancel(ctx context.Context, upstream fleet.Upstream, request fleet.RequestID) error
}

// AnswerFetcher gets an engine's complete answer again.
type AnswerFetcher interface {
	// Fetch waits for the complete answer to an earlier call, over a new connection.
	Fetch(ctx context.Context, upstream fleet.Upstream, request fleet.RequestID) (UpstreamAnswer, *UpstreamError)
}
