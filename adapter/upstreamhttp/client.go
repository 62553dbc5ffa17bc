// Package upstreamhttp sends calls to upstreams over HTTP. Engines use the chat-completions format
// with server-sent events. A GET of a completion with starting_after resumes its stream, and a POST
// to its cancel path cancels it.
package upstreamhttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync"
	"time"

	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
)

// Paths that engines serve.
const (
	PathCompletions = "/v1/chat/completions"
	cancelSuffix    = "/cancel"
)

// ParamStartingAfter is the query parameter of a resumption with the last event id received.
const ParamStartingAfter = "starting_after"

const (
	dialTimeout          = time.Second
	idleConnTimeout      = 30 * time.Second
	maxIdlePerUpstream   = 64
	maxAnswerHeaderBytes = 64 << 10
	// poolBypassDuration is how long an upstream's pooled connections are not used after one of
	// them stalled. All connections that were idle at that time have reached their idle timeout
	// by its end.
	poolBypassDuration = idleConnTimeout
)

// keepAlive detects a broken network path within 8 s and closes the connection.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

const (
	// ErrMismatched is returned when an answer carries another request's id.
	ErrMismatched = errors.ConstError("answer belongs to another request")
	// ErrUnframed is returned when an answer has neither a length nor chunks, so that its end
	// cannot be distinguished from a lost connection (RFC 9112, section 6.3).
	ErrUnframed = errors.ConstError("answer has neither a length nor chunks")
	// ErrStatus is returned when an answer has a status outside of those of final answers, 200 to 599 (RFC 9110, section 15). net/http
	// accepts any three digits.
	ErrStatus = errors.ConstError("answer has no valid status")
)

// The idempotency key is sent with a lower-case header name. The transport treats a request with
// the canonical name as replayable and may send it twice on its own.
const (
	headerIdempotencyKey      = "Idempotency-Key"
	headerIdempotencyKeyLower = "idempotency-key"
)

// Client implements port.Upstreams, port.AnswerFetcher, port.EngineReports and port.EngineOrders.
// It is safe for concurrent use.
type Client struct {
	// pooled reuses connections; fresh opens a new connection for each call.
	pooled *http.Client
	fresh  *http.Client
	// idHeader is the name of the header that carries the request's id in calls and answers.
	idHeader string
	// recent holds the calls that were sent lately.
	recent *recentIDs
	// allowUnframed accepts answers whose end is the end of the connection.
	allowUnframed bool

	// mu guards poolBypassedUntil, which is keyed by the upstream's address.
	mu                sync.Mutex
	poolBypassedUntil map[string]time.Time
}

// Dial opens a connection, like net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// New returns a client that connects over TCP.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return NewWithDial(dialer.DialContext)
}

// NewWithDial returns a client with default options that connects by calling dial.
func NewWithDial(dial Dial) *Client {
	return NewWithOptions(dial, Options{IDHeader: port.HeaderRequestID, IdleTimeout: idleConnTimeout})
}

// Options adapt a client to the upstreams' protocol.
type Options struct {
	// IDHeader is the name of the header with the request's id. Answers must carry the call's id.
	IDHeader string
	// IdleTimeout is how long an idle connection is kept. It must be shorter than the upstreams'
	// own idle timeout.
	IdleTimeout time.Duration
	// AllowUnframed accepts answers that have neither a length nor chunks and end with their
	// connection. A connection reset still fails the answer.
	AllowUnframed bool
}

// NewWithOptions returns a client that connects by calling dial.
func NewWithOptions(dial Dial, options Options) *Client {
	return &Client{
		pooled: newHTTP(dial, false, options.IdleTimeout), fresh: newHTTP(dial, true, options.IdleTimeout),
		idHeader: options.IDHeader, allowUnframed: options.AllowUnframed, poolBypassedUntil: map[string]time.Time{},
		recent: newRecentIDs(),
	}
}

func newHTTP(dial Dial, fresh bool, idle time.Duration) *http.Client {
	transport := &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &trackedConn{Conn: connection}, nil
		},
		DisableKeepAlives:      fresh,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        idle,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
		DisableCompression:     true,
	}
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Send implements port.Upstreams.
func (c *Client) Send(ctx context.Context, call port.UpstreamCall) (port.UpstreamAnswer, *port.UpstreamError) {
	request, err := newRequest(call)
	if err != nil {
		return port.UpstreamAnswer{}, &port.UpstreamError{
			Cause: errors.Trace(err), Ran: fleet.NotRun, Fault: exchange.FaultMalformed,
		}
	}
	if call.Header != nil {
		request.Header = call.Header.Clone()
	}
	if call.Host != "" {
		request.Host = call.Host
	}
	request.ContentLength = call.ContentLength
	// Without GetBody the transport can send a body at most once.
	request.GetBody = nil
	if keys := request.Header.Values(headerIdempotencyKey); len(keys) > 0 {
		request.Header.Del(headerIdempotencyKey)
		request.Header[headerIdempotencyKeyLower] = keys
	}
	client := c.clientFor(call.Upstream.Address)
	// An answer is told from those to other requests by its id. On a connection that has carried a request with the same id, an
	// earlier answer may come once more.
	if call.Fresh || c.recent.has(call.Upstream.Address, call.Request) {
		client = c.fresh
	}
	answer, failure := c.do(ctx, client, request, call.Request, &callTracker{maySend: call.MaySend, connectTimeout: call.ConnectTimeout, strip: absolutePrefix(request)})
	if failure == nil || failure.Ran != fleet.NotRun {
		c.recent.add(call.Upstream.Address, call.Request)
	}
	return answer, failure
}

// clientFor returns the client with pooled connections, unless the upstream's pool is bypassed
// because one of its connections stalled.
func (c *Client) clientFor(address string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, found := c.poolBypassedUntil[address]
	if !found {
		return c.pooled
	}
	if time.Now().Before(until) {
		return c.fresh
	}
	delete(c.poolBypassedUntil, address)
	return c.pooled
}

// bypassPool makes calls to an upstream use new connections for poolBypassDuration.
func (c *Client) bypassPool(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.poolBypassedUntil[address] = time.Now().Add(poolBypassDuration)
}

// do sends a request. It returns the answer only if it carries the request's id and a valid status, and its end
// can be detected.
func (c *Client) do(ctx context.Context, client *http.Client, request *http.Request, id fleet.RequestID, tracker *callTracker) (port.UpstreamAnswer, *port.UpstreamError) {
	request.Header.Set(c.idHeader, string(id))
	ctx, cancel := context.WithCancelCause(ctx)
	stop := tracker.boundConnect(cancel)
	answer, err := client.Do(request.WithContext(httptrace.WithClientTrace(ctx, tracker.trace())))
	stop()
	if err != nil {
		defer cancel(nil)
		return port.UpstreamAnswer{}, newSendError(ctx, tracker, err)
	}
	if err := c.checkAnswer(answer, id); err != nil {
		defer cancel(nil)
		// The request's own answer may still arrive on this connection, so the connection must not
		// be reused. After an answer without a body it is already in the pool, which can only
		// close all its idle connections together.
		tracker.abort()
		answer.Body.Close()
		client.CloseIdleConnections()
		fault := exchange.FaultMismatched
		switch {
		case errors.Is(err, ErrUnframed):
			fault = exchange.FaultUnframed
		case errors.Is(err, ErrStatus):
			fault = exchange.FaultMalformed
		}
		return port.UpstreamAnswer{}, &port.UpstreamError{Cause: err, Ran: fleet.RanUnknown, Fault: fault}
	}
	return port.UpstreamAnswer{
		Status: answer.StatusCode, Header: answer.Header, Body: cancellingBody{ReadCloser: answer.Body, cancel: cancel},
		Length: answer.ContentLength, Framed: isFramed(answer),
		Trailer: func() http.Header { return answer.Trailer },
	}, nil
}

// newSendError classifies an error of the transport. The request counts as not run only if none of
// its bytes can have been sent.
func newSendError(ctx context.Context, tracker *callTracker, err error) *port.UpstreamError {
	failure := &port.UpstreamError{Cause: errors.Trace(err), Ran: fleet.NotRun, Fault: exchange.FaultLost}
	switch {
	case !tracker.hadConnection():
		failure.Fault = exchange.FaultUnreachable
	case tracker.wasWithdrawn():
		failure.Fault = exchange.FaultWithdrawn
	case port.IsTimeout(err):
		failure.Fault = exchange.FaultSilent
	}
	if tracker.abort() {
		failure.Ran = fleet.RanUnknown
	}
	switch {
	case errors.Is(context.Cause(ctx), port.ErrConnectTimeout):
		failure.Fault, failure.Cause = exchange.FaultUnreachable, errors.Trace(port.ErrConnectTimeout)
	case ctx.Err() != nil:
		failure.Fault = exchange.FaultCancelled
	}
	return failure
}

// cancellingBody releases the call's context when it is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b cancellingBody) Close() error {
	defer b.cancel(nil)
	return b.ReadCloser.Close()
}

// lastStatus is the last status of a final answer.
const lastStatus = 599

// checkAnswer checks that an answer carries the request's id and a valid status, and that its end can be detected.
func (c *Client) checkAnswer(answer *http.Response, id fleet.RequestID) error {
	if answer.Header.Get(c.idHeader) != string(id) {
		return errors.Trace(ErrMismatched)
	}
	if answer.StatusCode == http.StatusSwitchingProtocols {
		return errors.Annotate(ErrUnframed, "the upstream switched protocols")
	}
	if answer.StatusCode < http.StatusOK || answer.StatusCode > lastStatus {
		return errors.Annotatef(ErrStatus, "status %d", answer.StatusCode)
	}
	// An event stream needs no framing: its last event marks its end.
	isStream := strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream")
	if !isFramed(answer) && !isStream && !c.allowUnframed && answer.Body != http.NoBody {
		return errors.Trace(ErrUnframed)
	}
	return nil
}

// isFramed reports whether an answer has a length or chunks.
func isFramed(answer *http.Response) bool {
	return answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
}

// Resume implements port.Upstreams. The usual cause of a resumption is a stalled connection, so the
// upstream's pooled connections are bypassed for a time.
func (c *Client) Resume(ctx context.Context, upstream fleet.Upstream, id fleet.RequestID, after string) (port.UpstreamAnswer, *port.UpstreamError) {
	c.bypassPool(upstream.Address)
	query := url.Values{"stream": {"true"}, ParamStartingAfter: {after}}
	return c.readCompletion(ctx, upstream, id, "?"+query.Encode())
}

// Fetch implements port.AnswerFetcher.
func (c *Client) Fetch(ctx context.Context, upstream fleet.Upstream, id fleet.RequestID) (port.UpstreamAnswer, *port.UpstreamError) {
	return c.readCompletion(ctx, upstream, id, "")
}

// readCompletion requests a completion, or the rest of its stream, over a new connection.
func (c *Client) readCompletion(ctx context.Context, upstream fleet.Upstream, id fleet.RequestID, query string) (port.UpstreamAnswer, *port.UpstreamError) {
	path := PathCompletions + "/" + url.PathEscape(string(id)) + query
	request, err := http.NewRequest(http.MethodGet, "http://"+upstream.Address+path, nil)
	if err != nil {
		return port.UpstreamAnswer{}, &port.UpstreamError{
			Cause: errors.Trace(err), Ran: fleet.RanUnknown, Fault: exchange.FaultMalformed,
		}
	}
	answer, failure := c.do(ctx, c.fresh, request, id, &callTracker{})
	if failure != nil {
		// This call only reads the completion. The request itself was sent earlier and may have run.
		failure.Ran = fleet.RanUnknown
	}
	return answer, failure
}

// Cancel implements port.Upstreams.
func (c *Client) Cancel(ctx context.Context, upstream fleet.Upstream, id fleet.RequestID) error {
	path := PathCompletions + "/" + url.PathEscape(string(id)) + cancelSuffix
	request, err := sling.New().Base("http://" + upstream.Address).Post(path).Request()
	if err != nil {
		return errors.Trace(err)
	}
	answer, err := c.fresh.Do(request.WithContext(ctx))
	if err != nil {
		return errors.Annotatef(err, "cancelling a request on %s", upstream.ID)
	}
	answer.Body.Close()
	if answer.StatusCode >= http.StatusBadRequest && answer.StatusCode != http.StatusNotFound {
		return errors.Errorf("cancelling a request on %s: status %d", upstream.ID, answer.StatusCode)
	}
	return nil
}
