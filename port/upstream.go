package port

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"agateswitch/core/exchange"
	"agateswitch/core/fleet"

	"github.com/juju/errors"
)

// HeaderRequestID is the header with the request id. An upstream must return it in its answer.
const HeaderRequestID = "X-Request-Id"

// UpstreamCall is one call to an upstream.
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
	// Fresh requests a new connection instead of a pooled one.
	Fresh bool
	// MaySend, if set, is called when a connection is available, before the first byte is sent. The
	// call is withdrawn if it returns false: it fails with exchange.FaultWithdrawn and has not run.
	MaySend func() bool
	// ConnectTimeout bounds the wait for a connection; zero means no bound beside that of the dialer. The call then
	// fails with ErrConnectTimeout and has not run. A dial that is under way goes on, for later calls.
	ConnectTimeout time.Duration
}

// IsTimeout reports whether a connection has failed because nothing was heard on it: the path or the upstream is silent, and
// nothing says that the upstream has ended.
func IsTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

// ErrConnectTimeout is the cause of a call's failure after its ConnectTimeout.
const ErrConnectTimeout = errors.ConstError("no connection in time")

// UpstreamAnswer is an upstream's answer with its body still unread. The caller must close Body.
type UpstreamAnswer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Length is the length of Body; -1 means unknown.
	Length int64
	// Framed is true if the end of Body can be told from a lost connection.
	Framed  bool
	Trailer func() http.Header
}

// UpstreamError describes how a call failed, and whether the request may have run.
type UpstreamError struct {
	Cause error
	// Ran is NotRun only when no byte of the call was sent.
	Ran fleet.Ran
	// Fault is the kind of failure.
	Fault exchange.Fault
}

// Error implements error.
func (e *UpstreamError) Error() string { return string(e.Ran) + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UpstreamError) Unwrap() error { return e.Cause }

// Upstreams sends calls to back ends. Cancelling ctx closes the call's connection.
type Upstreams interface {
	// Send sends a call. An answer with another request's id is an error.
	Send(ctx context.Context, call UpstreamCall) (UpstreamAnswer, *UpstreamError)
	// Resume continues an engine's stream after an event id, over a new connection.
	Resume(ctx context.Context, upstream fleet.Upstream, request fleet.RequestID, after string) (UpstreamAnswer, *UpstreamError)
	// Cancel makes the engine stop its work on a request.
	Cancel(ctx context.Context, upstream fleet.Upstream, request fleet.RequestID) error
}

// AnswerFetcher fetches an engine's complete answer again.
type AnswerFetcher interface {
	// Fetch waits for the complete answer to an earlier call, over a new connection.
	Fetch(ctx context.Context, upstream fleet.Upstream, request fleet.RequestID) (UpstreamAnswer, *UpstreamError)
}
