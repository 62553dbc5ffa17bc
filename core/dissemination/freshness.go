package dissemination

import "time"

// Parts of the time until a change of the store is in force on each router of a large fleet.
const (
	// maxConfirmInterval is the time between two confirmations of an idle watch, if the deadline allows it.
	// Each is a call to the store.
	maxConfirmInterval = 2 * time.Second
	// pullHops pulls lie between the store and a router at most, and each adds up to pullTime to the age of
	// its copy.
	pullHops = 2
	pullTime = 375 * time.Millisecond
	// ownWatchTime is what the first response to a router's own watch, and a request that it has begun before, may
	// take on the slowest host.
	ownWatchTime = 600 * time.Millisecond
)

// MinDeadline is the shortest deadline that PlanFreshness supports.
const MinDeadline = 2 * time.Second

// Freshness states how old the copies of a large fleet may be.
type Freshness struct {
	// ConfirmInterval is the longest time between two confirmations of a copy by an idle watch.
	ConfirmInterval time.Duration
	// MaxCopyAge is the age of its copy at which a router no longer relies on the routers that watch the
	// store for it.
	MaxCopyAge time.Duration
}

// PlanFreshness returns how old copies may be for a change to be in force on each router within the deadline,
// although the routers that watch the store for it may have lost it without knowing.
func PlanFreshness(deadline time.Duration) Freshness {
	maxCopyAge := max(deadline, MinDeadline) - ownWatchTime
	return Freshness{
		ConfirmInterval: min(maxConfirmInterval, maxCopyAge-pullHops*pullTime),
		MaxCopyAge:      maxCopyAge,
	}
}
