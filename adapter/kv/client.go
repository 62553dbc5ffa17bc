package kv

import (
	"context"
	"net/http"
	"time"

	"agateswitch/port"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
)

// DefaultCallTimeout bounds one call other than a watch.
const DefaultCallTimeout = 2 * time.Second

// Client is a port.Store over HTTP. It is safe for concurrent use.
type Client struct {
	base    *sling.Sling
	watcher *http.Client
	url     string
	timeout time.Duration
}

// New makes a client of the service at address (ip:port). Timeout bounds each call; zero
// means DefaultCallTimeout.
func New(address string, timeout time.Duration) *Client {
	if timeout == 0 {
		timeout = DefaultCallTimeout
	}
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	url := "http://" + address
	return &Client{
		base:    sling.New().Base(url).Client(&http.Client{Transport: transport}),
		watcher: &http.Client{Transport: transport},
		url:     url,
		timeout: timeout,
	}
}

func (c *Client) call(ctx context.Context, path string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	httpRequest, err := c.base.New().Post(path).BodyJSON(request).Request()
	if err != nil {
		return errors.Annotatef(err, "building %s", path)
	}
	answer, err := c.base.Do(httpRequest.WithContext(ctx), response, nil)
	if err != nil {
		return errors.Wrap(err, unavailable(path, err))
	}
	if answer.StatusCode != http.StatusOK {
		return errors.Trace(unavailable(path, errors.Errorf("status %d", answer.StatusCode)))
	}
	return nil
}

func unavailable(path string, cause error) error {
	return errors.WithType(errors.Annotate(cause, path), port.ErrUnavailable)
}

// Get implements port.Store.
func (c *Client) Get(ctx context.Context, key string) (port.Entry, error) {
	var response RangeResponse
	if err := c.call(ctx, PathRange, RangeRequest{Key: []byte(key)}, &response); err != nil {
		return port.Entry{}, err
	}
	if len(response.KVs) == 0 {
		return port.Entry{Key: key}, nil
	}
	return entry(response.KVs[0]), nil
}

func entry(kv KeyValue) port.Entry {
	return port.Entry{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

// List implements port.Store.
func (c *Client) List(ctx context.Context, prefix string) ([]port.Entry, int64, error) {
	request := RangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}
	var response RangeResponse
	if err := c.call(ctx, PathRange, request, &response); err != nil {
		return nil, 0, err
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
	if err := c.call(ctx, PathLeaseGrant, LeaseGrantRequest{TTL: seconds}, &response); err != nil {
		return 0, err
	}
	return port.LeaseID(response.ID), nil
}

// KeepAlive implements port.Store.
func (c *Client) KeepAlive(ctx context.Context, lease port.LeaseID) (time.Duration, error) {
	var response LeaseKeepAliveEnvelope
	if err := c.call(ctx, PathLeaseKeepAlive, LeaseRequest{ID: int64(lease)}, &response); err != nil {
		return 0, err
	}
	return time.Duration(response.Result.TTL) * time.Second, nil
}

// RevokeLease implements port.Store.
func (c *Client) RevokeLease(ctx context.Context, lease port.LeaseID) error {
	var response LeaseResponse
	return c.call(ctx, PathLeaseRevoke, LeaseRequest{ID: int64(lease)}, &response)
}
