// Package keeper finds the routers that keep something of an upstream for all routers: the first ones in the upstream's
// rendezvous order that answer.
package keeper

import (
	"maps"
	"slices"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
	"agateswitch/port"

	"github.com/juju/errors"
)

const (
	// SilentTime is how long a router that did not answer is not asked again.
	SilentTime = time.Second
	// UnableTime is the same for a router that has answered with an error, as one of an earlier version that does not know the method.
	UnableTime = 30 * time.Second
	// MaxKeepers is how many routers may be asked for one upstream.
	MaxKeepers = 2
)

// Fleet provides the other routers.
type Fleet interface {
	Others() []fleet.HostID
	// Leaving reports whether this router is leaving.
	Leaving() bool
}

// Order is the order of keepers as one router sees it. It is safe for concurrent use.
type Order struct {
	self   fleet.HostID
	fleet  Fleet
	prefix string

	mu sync.Mutex
	// silentUntil holds routers that did not answer, and until when they are not asked.
	silentUntil map[fleet.HostID]time.Time
}

// NewOrder returns the order of a router. The prefix distinguishes it from others of the same upstream.
func NewOrder(self fleet.HostID, others Fleet, prefix string) *Order {
	return &Order{self: self, fleet: others, prefix: prefix, silentUntil: map[fleet.HostID]time.Time{}}
}

// Of returns the routers that may be asked for an upstream, in this order: the first ones of its rendezvous order among those
// that accept callers, without those that are silent.
func (o *Order) Of(id fleet.UpstreamID) []fleet.HostID {
	var names []string
	if !o.fleet.Leaving() {
		names = append(names, string(o.self))
	}
	for _, other := range o.fleet.Others() {
		names = append(names, string(other))
	}
	var keepers []fleet.HostID
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for range MaxKeepers {
		first, found := rendezvous.First(o.prefix+string(id), names)
		if !found {
			break
		}
		if !now.Before(o.silentUntil[fleet.HostID(first)]) {
			delete(o.silentUntil, fleet.HostID(first))
			keepers = append(keepers, fleet.HostID(first))
		}
		names = slices.DeleteFunc(names, func(name string) bool { return name == first })
	}
	return keepers
}

// Silent returns the routers that are not asked for a while.
func (o *Order) Silent() []fleet.HostID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Keys(o.silentUntil))
}

// SetSilent records that a router did not answer, or with an error, and returns for how long it is not asked. A nil error means that
// it is leaving.
func (o *Order) SetSilent(id fleet.HostID, err error) time.Duration {
	length := SilentTime
	if err != nil && !errors.Is(err, port.ErrPeerUnreachable) {
		length = UnableTime
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.silentUntil[id] = time.Now().Add(length)
	return length
}
