package port

import (
	"context"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
)

// Placer decides where requests run.
type Placer interface {
	// Acquire returns a grant, or the refusal to send to the caller.
	Acquire(ctx context.Context, request fleet.Request) (fleet.Grant, *fleet.Refusal)
	// Release reports the end of a granted request. It does not block on the network.
	Release(grant fleet.Grant, completion fleet.Completion)
	// Explain describes where a request would run now and why, in human-readable lines.
	Explain(ctx context.Context, request fleet.Request) ([]string, error)
}

// Configuration provides the configuration in force.
type Configuration interface {
	// Current returns the snapshot in force.
	Current() *configuration.Snapshot
}

// Members provides this router's view of the fleet.
type Members interface {
	// Self returns this router.
	Self() fleet.Host
	// Routers returns the routers considered alive and not leaving, including this one.
	Routers() []fleet.Host
	// Router returns a router by its id, also one that is leaving.
	Router(id fleet.HostID) (fleet.Host, bool)
	// Upstreams returns the upstreams of a pool, including leaving ones.
	Upstreams(pool fleet.PoolID) []fleet.Upstream
	// Usable returns the upstreams of a pool that may get new work, with their weight: those that
	// are live, and whose data centre is not taken out.
	Usable(pool fleet.PoolID) []fleet.Upstream
	// Suspect records that an exchange with a router failed.
	Suspect(id fleet.HostID)
	// Confirm records that an exchange with a router succeeded.
	Confirm(id fleet.HostID)
}

// Versions chooses between the versions of a pool while a move is running.
type Versions interface {
	// Choose returns the version for a chat; empty means any.
	Choose(pool fleet.PoolID, chat fleet.ChatID) fleet.Version
	// Observe records the evidence of one finished exchange.
	Observe(evidence fleet.Evidence)
}

// Claims ensures that calls that may not be repeated run at most once.
type Claims interface {
	// Begin stores a claim durably before its call is sent.
	Begin(ctx context.Context, claim fleet.Claim) fleet.ClaimResult
	// Finish records the answer to the call of a begun claim, or that the call was not sent.
	Finish(ctx context.Context, claim fleet.Claim, answer fleet.ClaimAnswer) error
}
