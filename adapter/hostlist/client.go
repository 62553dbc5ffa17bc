// Package hostlist reads the platform's host list, served in the format of Prometheus
// HTTP service discovery: a JSON list of target groups with labels.
package hostlist

import (
	"context"
	"net/http"
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

// Client is a port.HostList over HTTP.
type Client struct {
	base *sling.Sling
}

// New makes a client of the list at address (ip:port).
func New(address string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	client := &http.Client{Transport: transport}
	return &Client{base: sling.New().Base("http://" + address).Client(client)}
}

// Hosts implements port.HostList.
func (c *Client) Hosts(ctx context.Context) (port.HostSnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := c.base.New().Get(Path).Request()
	if err != nil {
		return port.HostSnapshot{}, errors.Trace(err)
	}
	var groups []TargetGroup
	answer, err := c.base.Do(request.WithContext(ctx), &groups, nil)
	if err != nil {
		return port.HostSnapshot{}, errors.Annotate(err, "reading the host list")
	}
	if answer.StatusCode != http.StatusOK {
		return port.HostSnapshot{}, errors.Errorf("reading the host list: status %d", answer.StatusCode)
	}
	return snapshot(groups), nil
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
