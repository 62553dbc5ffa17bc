package usage

import (
	"slices"
	"time"

	"agateswitch/core/fleet"
)

// Clock estimates the true time from the times of day of several hosts, of which some may be wrong. It counts from a clock that is never
// set. Its error is that of the median host's clock and half of a message's round trip.
type Clock struct {
	// offsets holds, for each host, what its time of day is ahead of the own clock that is never set.
	offsets map[fleet.HostID]offset
}

type offset struct {
	ahead  time.Duration
	readAt time.Duration
}

// maxOffsetAge is how long a host's time of day counts after it was last told.
const maxOffsetAge = 20 * time.Second

// Learn records a host's time of day as it was at a reading of the own clock.
func (c *Clock) Learn(host fleet.HostID, timeOfDay time.Time, at time.Duration) {
	if c.offsets == nil {
		c.offsets = map[fleet.HostID]offset{}
	}
	c.offsets[host] = offset{ahead: time.Duration(timeOfDay.UnixNano()) - at, readAt: at}
}

// Ahead returns what the true time since 1970 is ahead of the own clock: the median of all hosts', or the own one of two.
func (c *Clock) Ahead(self fleet.HostID, at time.Duration) time.Duration {
	var ahead []time.Duration
	for host, known := range c.offsets {
		if at-known.readAt > maxOffsetAge {
			delete(c.offsets, host)
			continue
		}
		ahead = append(ahead, known.ahead)
	}
	if len(ahead) < 3 {
		return c.offsets[self].ahead
	}
	slices.Sort(ahead)
	return ahead[(len(ahead)-1)/2]
}
