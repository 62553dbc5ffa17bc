package keeper

import (
	"maps"
	"slices"
	"sync"
	"time"

	"agateswitch/core/dissemination"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/juju/errors"
)

const (
	// orderTime is how long an order of routers is used before it is worked out again.
	orderTime = 200 * time.Millisecond
	// maxConsidered is how many routers of an order may be keepers, so that one that is cut off does not try them all.
	maxConsidered = 4
	// MaxSilentTime is how long a router that was silent is not asked unless it answers before.
	MaxSilentTime = 8 * SilentTime
)

// CapacityOrder is an order of keepers in which hosts that can bear more come first. It is made for what all routers ask for often. It
// is safe for concurrent use.
type CapacityOrder struct {
	prefix  string
	routers func() []fleet.Host

	mu sync.Mutex
	// silentUntil holds routers that did not answer, and unableUntil those that answered with an error.
	silentUntil, unableUntil map[fleet.HostID]time.Time
	orders                   map[string]order
}

type order struct {
	ids []fleet.HostID
	at  time.Time
}

// NewCapacityOrder returns an order of the routers that accept callers. The prefix distinguishes it from others of the same key.
func NewCapacityOrder(routers func() []fleet.Host, prefix string) *CapacityOrder {
	return &CapacityOrder{
		prefix: prefix, routers: routers, silentUntil: map[fleet.HostID]time.Time{}, unableUntil: map[fleet.HostID]time.Time{},
		orders: map[string]order{},
	}
}

// Of returns the routers that may be asked for a key, in this order: the first MaxKeepers that are able to and not silent.
func (o *CapacityOrder) Of(key string) []fleet.HostID {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	known, found := o.orders[key]
	if !found || now.Sub(known.at) >= orderTime {
		maps.DeleteFunc(o.orders, func(_ string, old order) bool { return now.Sub(old.at) >= orderTime })
		known = order{ids: dissemination.ByCapacity(o.prefix+key, o.routers()), at: now}
		o.orders[key] = known
	}
	able := slices.DeleteFunc(slices.Clone(known.ids), func(id fleet.HostID) bool { return now.Before(o.unableUntil[id]) })
	able = slices.DeleteFunc(able[:min(len(able), maxConsidered)], func(id fleet.HostID) bool { return now.Before(o.silentUntil[id]) })
	return able[:min(len(able), MaxKeepers)]
}

// SetAnswering records that a router that was silent has answered.
func (o *CapacityOrder) SetAnswering(id fleet.HostID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.silentUntil, id)
}

// SetSilent records that a router did not answer, or with an error, and returns for how long it is not asked. It reports whether the
// router is newly silent and may be tried again.
func (o *CapacityOrder) SetSilent(id fleet.HostID, err error) (length time.Duration, isNewlySilent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	hasPassed := func(_ fleet.HostID, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(o.silentUntil, hasPassed)
	maps.DeleteFunc(o.unableUntil, hasPassed)
	if !errors.Is(err, port.ErrPeerUnreachable) {
		o.unableUntil[id] = now.Add(UnableTime)
		return UnableTime, false
	}
	_, wasSilent := o.silentUntil[id]
	if !wasSilent {
		o.silentUntil[id] = now.Add(MaxSilentTime)
	}
	return MaxSilentTime, !wasSilent
}
