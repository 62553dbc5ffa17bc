package kv

import (
	"context"
	"net"
	"net/http"
	"time"

	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
)

// DefaultCallTimeout is the default time limit of a call other than a watch.
const DefaultCallTimeout = 2 * time.Second

// MaxResponseBytes is the maximum size of a response, or of one message of a watch.
const MaxResponseBytes = 8 << 20

// Parameters of connections.
const (
	dialTimeout = time.Second
	// TCP keep-alive probes detect, within about 11 s and without calls to the service, a
	// connection whose state was lost by a middlebox.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	idleConnTimeout   = 30 * time.Second
	maxIdlePerHost    = 16
)

// Client implements port.Store over HTTP. It is safe for concurrent use.
type Client struct {
	base      *sling.Sling
	transport *http.Transport
	url       string
	timeout   time.Duration
	// checkInterval is the idle time after which a watch is verified by a read.
	checkInterval time.Duration
}

// New returns a client of the service at address (ip:port). timeout bounds each call; zero means
// DefaultCallTimeout.
func New(address string, timeout time.Duration) *Client {
	if timeout == 0 {
		timeout = DefaultCallTimeout
	}
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: maxIdlePerHost, IdleConnTimeout: idleConnTimeout,
	}
	url := "http://" + address
	base := sling.New().Base(url).Client(&http.Client{Transport: transport}).ResponseDecoder(limitedDecoder{})
	return &Client{
		base: base, transport: transport, url: url, timeout: timeout, checkInterval: defaultCheckInterval,
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// read makes an idempotent call. When no response arrives within half of the timeout, the call is
// retried once over a new connection.
func (c *Client) read(ctx context.Context, path string, request, response any) error {
	err := c.attempt(ctx, c.timeout/2, path, request, response)
	if err == nil || ctx.Err() != nil || !isTimeout(err) {
		return err
	}
	return c.attempt(ctx, c.timeout/2, path, request, response)
}

// write makes a call exactly once. After an error the write may have taken effect; the caller
// has to read back to find out.
func (c *Client) write(ctx context.Context, path string, request, response any) error {
	return c.attempt(ctx, c.timeout, path, request, response)
}

// attempt makes a call once, within timeout.
func (c *Client) attempt(ctx context.Context, timeout time.Duration, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	httpRequest, err := c.base.New().Post(path).BodyJSON(request).Request()
	if err != nil {
		return errors.Annotatef(err, "building %s", path)
	}
	answer, err := c.base.Do(httpRequest.WithContext(ctx), response, nil)
	if err != nil {
		if isTimeout(err) {
			// Other idle connections may be stalled, too.
			c.transport.CloseIdleConnections()
		}
		return unavailable(path, err)
	}
	if answer.StatusCode != http.StatusOK {
		return unavailable(path, errors.Errorf("status %d", answer.StatusCode))
	}
	if answer.ContentLength == 0 {
		// sling does not decode an empty response.
		return unavailable(path, errors.New("empty response"))
	}
	return nil
}

func isTimeout(err error) bool { return errors.Is(err, context.DeadlineExceeded) }

// unavailable wraps the cause of a failed call as a port.ErrUnavailable.
func unavailable(path string, cause error) error {
	return errors.WithType(errors.Annotate(cause, path), port.ErrUnavailable)
}

// Get implements port.Store.
func (c *Client) Get(ctx context.Context, key string) (port.Entry, error) {
	var response RangeResponse
	if err := c.read(ctx, PathRange, RangeRequest{Key: []byte(key)}, &response); err != nil {
		return port.Entry{}, err
	}
	if err := response.Header.validate(); err != nil {
		return port.Entry{}, unavailable(PathRange, err)
	}
	found, err := singleEntry(key, &response)
	if err != nil {
		return port.Entry{}, unavailable(PathRange, err)
	}
	return found, nil
}

func entry(kv KeyValue) port.Entry {
	return port.Entry{Key: string(kv.Key), Value: kv.Value, Revision: revision.Revision{Number: kv.ModRevision}}
}

// List implements port.Store.
func (c *Client) List(ctx context.Context, prefix string, visit func(port.Entry)) (revision.Revision, error) {
	request := RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}
	var response RangeResponse
	if err := c.read(ctx, PathRange, request, &response); err != nil {
		return revision.Revision{}, err
	}
	if err := response.Header.validate(); err != nil {
		return revision.Revision{}, unavailable(PathRange, err)
	}
	for _, kv := range response.KVs {
		visit(entry(kv))
	}
	return revision.Revision{Number: response.Header.Revision}, nil
}

// GrantLease implements port.Store. ttl is rounded up to whole seconds.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var response LeaseResponse
	if err := c.write(ctx, PathLeaseGrant, LeaseGrantRequest{TTL: seconds}, &response); err != nil {
		return port.LeaseID{}, err
	}
	return port.LeaseID{Number: response.ID}, nil
}

// KeepAlive implements port.Store.
func (c *Client) KeepAlive(ctx context.Context, lease port.LeaseID) (time.Duration, error) {
	var response LeaseKeepAliveEnvelope
	if err := c.write(ctx, PathLeaseKeepAlive, LeaseRequest{ID: lease.Number}, &response); err != nil {
		return 0, err
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// RevokeLease implements port.Store.
func (c *Client) RevokeLease(ctx context.Context, lease port.LeaseID) error {
	var response LeaseResponse
	return c.write(ctx, PathLeaseRevoke, LeaseRequest{ID: lease.Number}, &response)
}
