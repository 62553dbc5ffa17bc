package port

import (
	"context"

	"agateswitch/core/fleet"
)

// HostSnapshot is the platform's host list at one moment. It lags behind the truth.
type HostSnapshot struct {
	Routers   []fleet.Host
	Upstreams []fleet.Upstream
}

// HostList is the platform's list of live and leaving hosts.
type HostList interface {
	Hosts(ctx context.Context) (HostSnapshot, error)
}
