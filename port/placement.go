package port

import (
	"context"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
)

// Placer decides where requests run.
type Placer interface {
	// Acquire returns a grant, or the refusal that the caller gets.
	Acquire(ctx context.Context, request fleet.Request) (fleet.Grant, *fleet.Refusal)
	// Release reports the end of a granted request. It does not block on the network.
	Release(grant fleet.Grant, completion fleet.Completion)
	// Explain tells where a request would run now and why, in lines for people.
	Explain(ctx context.Context, request fleet.Request) ([]string, error)
}

// Configuration gives the configuration in force.
type Configuration interface {
	Current() *configuration.Snapshot
}

// Members gives this router's view of the fleet.
type Members interface {
	Self() fleet.Host
	// Routers returns the routers believed alive and not leaving, self included.
	Routers() []fleet.Host
	// Router finds any known router, leaving ones included.
	Router(id fleet.HostID) (fleet.Host, bool)
	// Upstreams returns the upstreams of a pool, leaving ones included.
	Upstreams(pool fleet.PoolID) []fleet.Upstream
	// Usable returns the upstreams of a pool that may get new work: those that are live, and
	// whose data centre is not taken out, with their weight.
	Usable(pool fleet.PoolID) []fleet.Upstream
	// Suspect notes that an exchange with a router failed.
	Suspect(id fleet.HostID)
	// Confirm notes that an exchange with a router succeeded.
	Confirm(id fleet.HostID)
}

// Versions chooses between the versions of a pool while a move runs.
type Versions interface {
	// Choose returns the version for a chat; empty means any.
	Choose(pool fleet.PoolID, chat fleet.ChatID) fleet.Version
	// Observe takes the evidence of one finished exchange.
	Observe(evidence fleet.Evidence)
}

// Claims makes calls that may not be repeated run at most once.
type Claims interface {
	// Begin makes a claim durable before the call is sent.
	Begin(ctx context.Context, claim fleet.Claim) fleet.ClaimResult
	// Finish records the answer of a claim that was begun, or that its call was not sent.
	Finish(ctx context.Context, claim fleet.Claim, answer fleet.ClaimAnswer) error
}
