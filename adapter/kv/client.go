package kv

import (
	"context"
	"net"
	"net/http"
	"time"

	"agateswitch/port"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
)

// DefaultCallTimeout bounds one call other than a watch.
const DefaultCallTimeout = 2 * time.Second

// MaxResponseBytes is the largest response, or message of a watch, that is read.
const MaxResponseBytes = 8 << 20

// Limits of connections.
const (
	dialTimeout = time.Second
	// keepAlive probes find a connection that something between the two ends has lost track
	// of, at no cost to the service: after about 11 s.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	idleConnTimeout   = 30 * time.Second
	maxIdlePerHost    = 16
)

// Client is a port.Store over HTTP. It is safe for concurrent use.
type Client struct {
	base      *sling.Sling
	transport *http.Transport
	url       string
	timeout   time.Duration
	// checkInterval is how long a watch may be idle before it is checked by a read.
	checkInterval time.Duration
}

// New makes a client of the service at address (ip:port). Timeout bounds each call; zero
// means DefaultCallTimeout.
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

// Close closes the connections that no call uses.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// read makes a call that may be repeated: when no answer comes in half of the time, it is
// tried once more over a fresh connection.
func (c *Client) read(ctx context.Context, path string, request, response any) error {
	err := c.attempt(ctx, c.timeout/2, path, request, response)
	if err == nil || ctx.Err() != nil || !isTimeout(err) {
		return err
	}
	return c.attempt(ctx, c.timeout/2, path, request, response)
}

// write makes a call once: whether a lost one took effect, only reading back tells.
func (c *Client) write(ctx context.Context, path string, request, response any) error {
	return c.attempt(ctx, c.timeout, path, request, response)
}

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
			// The kept connections may be as silent as this one was.
			c.transport.CloseIdleConnections()
		}
		return unavailable(path, err)
	}
	if answer.StatusCode != http.StatusOK {
		return unavailable(path, errors.Errorf("status %d", answer.StatusCode))
	}
	if answer.ContentLength == 0 {
		// The library skips the decoding of an empty response.
		return unavailable(path, errors.New("empty response"))
	}
	return nil
}

func isTimeout(err error) bool { return errors.Is(err, context.DeadlineExceeded) }

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
	found, err := foundEntry(key, &response)
	if err != nil {
		return port.Entry{}, unavailable(PathRange, err)
	}
	return found, nil
}

func entry(kv KeyValue) port.Entry {
	return port.Entry{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

// List implements port.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]port.Entry, int64, error) {
	request := RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}
	var response RangeResponse
	if err := c.read(ctx, PathRange, request, &response); err != nil {
		return nil, 0, err
	}
	if err := response.Header.validate(); err != nil {
		return nil, 0, unavailable(PathRange, err)
	}
	entries := make([]port.Entry, 0, len(response.KVs))
	for _, kv := range response.KVs {
		entries = append(entries, entry(kv))
	}
	return entries, response.Header.Revision, nil
}

// GrantLease implements port.Store. The time is rounded up to whole seconds.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	seconds := int64((ttl + time.Second - 1) / time.Second)
	var response LeaseResponse
	if err := c.write(ctx, PathLeaseGrant, LeaseGrantRequest{TTL: seconds}, &response); err != nil {
		return 0, err
	}
	return port.LeaseID(response.ID), nil
}

// KeepAlive implements port.Store.
func (c *Client) KeepAlive(ctx context.Context, lease port.LeaseID) (time.Duration, error) {
	var response LeaseKeepAliveEnvelope
	if err := c.write(ctx, PathLeaseKeepAlive, LeaseRequest{ID: int64(lease)}, &response); err != nil {
		return 0, err
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// RevokeLease implements port.Store.
func (c *Client) RevokeLease(ctx context.Context, lease port.LeaseID) error {
	var response LeaseResponse
	return c.write(ctx, PathLeaseRevoke, LeaseRequest{ID: int64(lease)}, &response)
}
