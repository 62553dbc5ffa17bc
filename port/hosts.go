package port

import (
	"context"

	"agateswitch/core/fleet"
)

// HostSnapshot is the platform's host list at one point in time. It lags behind the actual state.
type HostSnapshot struct {
	Routers   []fleet.Host
	Upstreams []fleet.Upstream
}

// HostList is the platform's list of live and leaving hosts.
type HostList interface {
	// Hosts reads the list.
	Hosts(ctx context.Context) (HostSnapshot, error)
}
