// Package hostlist reads the platform's host list, served in the format of Prometheus
// HTTP service discovery: a JSON list of target groups with labels.
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

// Path is where the list is served.
const Path = "/v1/hosts"

const callTimeout = 2 * time.Second

// TargetGroup is one entry of the list. This project's groups hold one target each.
type TargetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

// maxListBytes is the largest list that is read.
const maxListBytes = 8 << 20

// Client is a port.HostList over HTTP. It is safe for concurrent use. A list that has not
// changed is not sent again, when the server gives entity tags (RFC 9110, section 8.8.3):
// at the target size a list has about a thousand entries.
type Client struct {
	base      *sling.Sling
	transport *http.Transport

	mu   sync.Mutex
	tag  string
	last port.HostSnapshot
}

// New makes a client of the list at address (ip:port).
func New(address string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	client := &http.Client{Transport: transport}
	return &Client{base: sling.New().Base("http://" + address).Client(client), transport: transport}
}

// Close closes the connections that no call uses.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Hosts implements port.HostList. When no answer comes in half of the time, a fresh
// connection is tried.
func (c *Client) Hosts(ctx context.Context) (port.HostSnapshot, error) {
	hosts, err := c.read(ctx)
	if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
		// The kept connections may be as silent as this one was.
		c.transport.CloseIdleConnections()
		hosts, err = c.read(ctx)
	}
	return hosts, err
}

func (c *Client) read(ctx context.Context) (port.HostSnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout/2)
	defer cancel()
	request, err := c.base.New().Get(Path).Request()
	if err != nil {
		return port.HostSnapshot{}, errors.Trace(err)
	}
	c.mu.Lock()
	tag, last := c.tag, c.last
	c.mu.Unlock()
	if tag != "" {
		request.Header.Set("If-None-Match", tag)
	}
	answer, err := c.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return port.HostSnapshot{}, errors.Annotate(err, "reading the host list")
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusNotModified && tag != "" {
		return last, nil
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
	c.tag, c.last = answer.Header.Get("ETag"), hosts
	return hosts, nil
}

// decode reads a whole list. A list that is cut, empty of JSON or null is an error: taken
// for a list without hosts, it would empty the fleet.
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

func snapshot(groups []TargetGroup) port.HostSnapshot {
	var hosts port.HostSnapshot
	for _, group := range groups {
		for _, target := range group.Targets {
			hosts = appendTarget(hosts, target, group.Labels)
		}
	}
	return hosts
}

func appendTarget(hosts port.HostSnapshot, target string, labels map[string]string) port.HostSnapshot {
	if labels[LabelID] == "" || target == "" {
		// A broken entry costs only itself.
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
