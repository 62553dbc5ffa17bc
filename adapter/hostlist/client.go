// Package hostlist reads the platform's host list, which has the format of Prometheus HTTP
// service discovery: a JSON list of target groups with labels.
package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/dghubble/sling"
	"github.com/juju/errors"
)

// Labels of target groups.
const (
	LabelRole       = "role"
	LabelID         = "id"
	LabelPool       = "pool"
	LabelDataCentre = "datacentre"
	LabelRegion     = "region"
	LabelVersion    = "version"
	LabelState      = "state"
	LabelPeer       = "peer_address"
)

// Values of LabelRole.
const (
	RoleRouter   = "router"
	RoleUpstream = "upstream"
)

// Path is the HTTP path of the list.
const Path = "/v1/hosts"

const callTimeout = 2 * time.Second

// TargetGroup is one entry of the list. The platform's groups hold one target each.
type TargetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// maxListBytes is the maximum size of a list.
const maxListBytes = 8 << 20

// Client implements port.HostList over HTTP. It is safe for concurrent use. When the server sends
// entity tags (RFC 9110, section 8.8.3), an unchanged list is not transferred again: at the target
// size a list has about a thousand entries.
type Client struct {
	base      *sling.Sling
	transport *http.Transport

	mu           sync.Mutex
	etag         string
	lastSnapshot port.HostSnapshot
}

// New returns a client of the list at address (ip:port).
func New(address string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	client := &http.Client{Transport: transport}
	return &Client{base: sling.New().Base("http://" + address).Client(client), transport: transport}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Hosts implements port.HostList. When no response arrives within half of callTimeout, the request
// is retried once over a new connection.
func (c *Client) Hosts(ctx context.Context) (port.HostSnapshot, error) {
	hosts, err := c.read(ctx)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		// Other idle connections may be stalled, too.
		c.transport.CloseIdleConnections()
		hosts, err = c.read(ctx)
	}
	return hosts, err
}

// read requests the list once, within half of callTimeout.
func (c *Client) read(ctx context.Context) (port.HostSnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	request, err := c.base.New().Get(Path).Request()
	if err != nil {
		return port.HostSnapshot{}, errors.Trace(err)
	}
	c.mu.Lock()
	etag, lastSnapshot := c.etag, c.lastSnapshot
	c.mu.Unlock()
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	answer, err := c.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return port.HostSnapshot{}, errors.Annotate(err, "reading the host list")
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusNotModified && etag != "" {
		return lastSnapshot, nil
	}
	if answer.StatusCode != http.StatusOK {
		return port.HostSnapshot{}, errors.Errorf("reading the host list: status %d", answer.StatusCode)
	}
	groups, err := decode(answer.Body)
	if err != nil {
		return port.HostSnapshot{}, errors.Annotate(err, "reading the host list")
	}
	hosts := snapshot(groups)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.lastSnapshot = answer.Header.Get("ETag"), hosts
	return hosts, nil
}

// decode decodes a complete list. A truncated, empty or null document is an error: treated as a
// list without hosts, it would remove the whole fleet.
func decode(body io.Reader) ([]TargetGroup, error) {
	content, err := io.ReadAll(io.LimitReader(body, maxListBytes+1))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if len(content) > maxListBytes {
		return nil, errors.Errorf("list is larger than %d bytes", maxListBytes)
	}
	var groups []TargetGroup
	if err := json.Unmarshal(content, &groups); err != nil {
		return nil, errors.Annotate(err, "decoding")
	}
	if groups == nil {
		return nil, errors.New("list is null")
	}
	return groups, nil
}

// snapshot converts target groups to hosts.
func snapshot(groups []TargetGroup) port.HostSnapshot {
	var hosts port.HostSnapshot
	for _, group := range groups {
		for _, target := range group.Targets {
			hosts = appendTarget(hosts, target, group.Labels)
		}
	}
	return hosts
}

// appendTarget adds one target to the hosts of its role. A target without a state is live.
func appendTarget(hosts port.HostSnapshot, target string, labels map[string]string) port.HostSnapshot {
	if labels[LabelID] == "" || target == "" {
		// An invalid entry is skipped; the rest of the list is used.
		return hosts
	}
	state := fleet.LifeState(labels[LabelState])
	if state == "" {
		state = fleet.Live
	}
	switch labels[LabelRole] {
	case RoleRouter:
		hosts.Routers = append(hosts.Routers, fleet.Host{
			ID: fleet.HostID(labels[LabelID]), DataCentre: fleet.DataCentre(labels[LabelDataCentre]),
			Region: fleet.Region(labels[LabelRegion]), HTTPAddress: target,
			PeerAddress: labels[LabelPeer], State: state,
		})
	case RoleUpstream:
		hosts.Upstreams = append(hosts.Upstreams, fleet.Upstream{
			ID: fleet.UpstreamID(labels[LabelID]), Pool: fleet.PoolID(labels[LabelPool]),
			DataCentre: fleet.DataCentre(labels[LabelDataCentre]),
			Version:    fleet.Version(labels[LabelVersion]), Address: target, State: state,
		})
	}
	return hosts
}
