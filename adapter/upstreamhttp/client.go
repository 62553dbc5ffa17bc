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
	"strings"
	"sync"
	"time"

	"agateswitch/core/exchange"
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
	// distrustTime is how long an upstream's pooled connections go unused after one was
	// silent. All that were open then have been closed by its end.
	distrustTime = idleConnTimeout
)

// TCP keep-alive closes a connection whose path is gone within 8 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

const (
	// ErrMismatched means that an answer carried another request's id.
	ErrMismatched = errors.ConstError("answer belongs to another request")
	// ErrUnframed means that an answer has neither a length nor chunks, so that its end
	// cannot be told from a lost connection (RFC 9112, section 6.3).
	ErrUnframed = errors.ConstError("answer has neither a length nor chunks")
)

// headerIdempotencyKey is written in lower case. The transport takes a request with the
// usual spelling for one that it may send twice on its own.
const (
	headerIdempotencyKey      = "Idempotency-Key"
	headerIdempotencyKeyLower = "idempotency-key"
)

// Client is a port.Upstreams and a port.AnswerFetcher. It is safe for concurrent use.
type Client struct {
	// pooled reuses connections; fresh makes a new one for each call.
	pooled *http.Client
	fresh  *http.Client
	// idHeader carries the request's id in calls and answers.
	idHeader string
	// allowUnframed takes answers that end with their connection.
	allowUnframed bool

	mu         sync.Mutex
	distrusted map[string]time.Time
}

// Dial makes a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// New makes a client that connects over TCP.
func New() *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
	return NewOn(dialer.DialContext)
}

// NewOn makes a client that connects by dial.
func NewOn(dial Dial) *Client {
	return NewWith(dial, Options{IDHeader: port.HeaderRequestID, IdleTimeout: idleConnTimeout})
}

// Options are the ways in which upstreams' protocols differ.
type Options struct {
	// IDHeader carries the request's id in calls, and must return in answers.
	IDHeader string
	// IdleTimeout is how long an unused connection is kept. It is less than upstreams keep it.
	IdleTimeout time.Duration
	// AllowUnframed takes answers that have neither a length nor chunks and end with their
	// connection. A connection that is reset on the way still fails the answer.
	AllowUnframed bool
}

// NewWith makes a client that connects by dial.
func NewWith(dial Dial, options Options) *Client {
	return &Client{
		pooled: newHTTP(dial, false, options.IdleTimeout), fresh: newHTTP(dial, true, options.IdleTimeout),
		idHeader: options.IDHeader, allowUnframed: options.AllowUnframed, distrusted: map[string]time.Time{},
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
		MaxResponseHeaderBytes: maxAnswerHeaderSize,
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
	request, err := http.NewRequest(call.Method, "http://"+call.Upstream.Address+call.Path, call.Body)
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
	// Without GetBody the transport sends a body once at most.
	request.GetBody = nil
	if keys := request.Header.Values(headerIdempotencyKey); len(keys) > 0 {
		request.Header.Del(headerIdempotencyKey)
		request.Header[headerIdempotencyKeyLower] = keys
	}
	client := c.clientFor(call.Upstream.Address)
	if call.Fresh {
		client = c.fresh
	}
	return c.do(ctx, client, request, call.Request)
}

// clientFor leaves out pooled connections of an upstream of which one was silent.
func (c *Client) clientFor(address string) *http.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	until, found := c.distrusted[address]
	if !found {
		return c.pooled
	}
	if time.Now().Before(until) {
		return c.fresh
	}
	delete(c.distrusted, address)
	return c.pooled
}

func (c *Client) distrust(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.distrusted[address] = time.Now().Add(distrustTime)
}

// do sends a request and checks whose answer comes back, and that its end can be told.
func (c *Client) do(ctx context.Context, client *http.Client, request *http.Request, id fleet.RequestID) (port.UpstreamAnswer, *port.UpstreamError) {
	var flight flight
	request.Header.Set(c.idHeader, string(id))
	answer, err := client.Do(request.WithContext(httptrace.WithClientTrace(ctx, flight.trace())))
	if err != nil {
		return port.UpstreamAnswer{}, failed(ctx, &flight, err)
	}
	if err := c.check(answer, id); err != nil {
		// The true answer may follow on the connection. The pool has it already if the
		// answer has no body, and gives it up only with all others.
		flight.abort()
		answer.Body.Close()
		client.CloseIdleConnections()
		fault := exchange.FaultMismatched
		if errors.Is(err, ErrUnframed) {
			fault = exchange.FaultUnframed
		}
		return port.UpstreamAnswer{}, &port.UpstreamError{Cause: err, Ran: fleet.RanUnknown, Fault: fault}
	}
	return port.UpstreamAnswer{
		Status: answer.StatusCode, Header: answer.Header, Body: answer.Body,
		Length:  answer.ContentLength,
		Trailer: func() http.Header { return answer.Trailer },
	}, nil
}

func failed(ctx context.Context, flight *flight, err error) *port.UpstreamError {
	failure := &port.UpstreamError{Cause: errors.Trace(err), Ran: fleet.NotRun, Fault: exchange.FaultLost}
	if !flight.isConnected() {
		failure.Fault = exchange.FaultUnreachable
	}
	if flight.abort() {
		failure.Ran = fleet.RanUnknown
	}
	if ctx.Err() != nil {
		failure.Fault = exchange.FaultCancelled
	}
	return failure
}

func (c *Client) check(answer *http.Response, id fleet.RequestID) error {
	if answer.Header.Get(c.idHeader) != string(id) {
		return errors.Trace(ErrMismatched)
	}
	if answer.StatusCode == http.StatusSwitchingProtocols {
		return errors.Annotate(ErrUnframed, "the upstream switched protocols")
	}
	// The end of an event stream shows in its last event.
	isStream := strings.HasPrefix(answer.Header.Get("Content-Type"), "text/event-stream")
	isFramed := answer.ContentLength >= 0 || len(answer.TransferEncoding) > 0
	if !isFramed && !isStream && !c.allowUnframed && answer.Body != http.NoBody {
		return errors.Trace(ErrUnframed)
	}
	return nil
}

// Resume implements port.Upstreams. A silent connection is the usual cause of a resume,
// so the upstream's pooled connections are left out for a while.
func (c *Client) Resume(ctx context.Context, upstream fleet.Upstream, id fleet.RequestID, after string) (port.UpstreamAnswer, *port.UpstreamError) {
	c.distrust(upstream.Address)
	query := url.Values{"stream": {"true"}, ParamStartingAfter: {after}}
	return c.read(ctx, upstream, id, "?"+query.Encode())
}

// Fetch implements port.AnswerFetcher.
func (c *Client) Fetch(ctx context.Context, upstream fleet.Upstream, id fleet.RequestID) (port.UpstreamAnswer, *port.UpstreamError) {
	return c.read(ctx, upstream, id, "")
}

// read gets a completion, or the rest of its stream, over a new connection.
func (c *Client) read(ctx context.Context, upstream fleet.Upstream, id fleet.RequestID, query string) (port.UpstreamAnswer, *port.UpstreamError) {
	path := PathCompletions + "/" + url.PathEscape(string(id)) + query
	request, err := http.NewRequest(http.MethodGet, "http://"+upstream.Address+path, nil)
	if err != nil {
		return port.UpstreamAnswer{}, &port.UpstreamError{
			Cause: errors.Trace(err), Ran: fleet.RanUnknown, Fault: exchange.FaultMalformed,
		}
	}
	answer, failure := c.do(ctx, c.fresh, request, id)
	if failure != nil {
		// The request itself was sent earlier.
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
		return errors.Annotatef(err, "cancelling on %s", upstream.ID)
	}
	answer.Body.Close()
	if answer.StatusCode >= http.StatusBadRequest && answer.StatusCode != http.StatusNotFound {
		return errors.Errorf("cancelling on %s: status %d", upstream.ID, answer.StatusCode)
	}
	return nil
}
