package claim

import (
	"slices"
	"time"

	"agateswitch/core/fleet"
)

// memoryLength is how long a shard remembers the calls that it took.
const memoryLength = 10 * time.Minute

// memory is what a shard knows without the store: which calls came to this router while
// it ranked first. In an outage of the store it tells first calls from resends.
type memory struct {
	first bool
	// since is when this router came to rank first without a break.
	since time.Time
	calls map[string]*remembered
	// order holds the keys by the time of their first call.
	order []string
}

// remembered holds the requests with one key that may have sent its call.
type remembered struct {
	noted   time.Time
	holders []fleet.RequestID
}

func newMemory() memory { return memory{calls: map[string]*remembered{}} }

func (m *memory) setFirst(now time.Time, first bool) {
	if first && !m.first {
		m.since = now
	}
	m.first = first
}

// reset starts the memory anew: another router took claims of the shard.
func (m *memory) reset(now time.Time) { m.since = now }

// note remembers a call and tells whether another request came with its key before.
func (m *memory) note(now time.Time, claim fleet.Claim) (resend bool) {
	m.prune(now)
	key := storeKey(claim)
	known, found := m.calls[key]
	if !found {
		known = &remembered{noted: now}
		m.calls[key] = known
		m.order = append(m.order, key)
	}
	if !slices.Contains(known.holders, claim.Holder) {
		known.holders = append(known.holders, claim.Holder)
	}
	return len(known.holders) > 1
}

// forget takes the word of an entry router that a request never sends its call.
func (m *memory) forget(claim fleet.Claim) {
	if known, found := m.calls[storeKey(claim)]; found {
		known.holders = slices.DeleteFunc(known.holders, func(holder fleet.RequestID) bool {
			return holder == claim.Holder
		})
	}
}

func (m *memory) prune(now time.Time) {
	for len(m.order) > 0 && m.calls[m.order[0]].noted.Before(now.Add(-memoryLength)) {
		delete(m.calls, m.order[0])
		m.order = m.order[1:]
	}
}

// isFirstCall tells whether no earlier request with the claim's key can have sent its
// call: every claim of a key as young came to this router, and none but this remains.
func (m *memory) isFirstCall(now time.Time, claim fleet.Claim) bool {
	if !m.first {
		return false
	}
	remembersFrom := m.since
	if start := now.Add(-memoryLength); remembersFrom.Before(start) {
		remembersFrom = start
	}
	// Before that moment, no claim of a key with a later time than this was accepted.
	keyTime, ok := KeyTime(claim.Key)
	if !ok || !keyTime.After(remembersFrom.Add(MaxClockSkew)) {
		return false
	}
	known, found := m.calls[storeKey(claim)]
	if !found {
		return true
	}
	for _, holder := range known.holders {
		if holder != claim.Holder {
			return false
		}
	}
	return true
}
