package claim

import (
	"slices"
	"time"

	"agateswitch/core/fleet"
)

// historyDuration is how long a shard keeps the calls that it accepted.
const historyDuration = 10 * time.Minute

// history is a shard's in-memory record of the calls that this router received while it ranked
// first. During a store outage it distinguishes first calls from resends.
type history struct {
	// rankedFirst is true while this router ranks first among the shard's owners.
	rankedFirst bool
	// completeSince is the start of the current period in which all of the shard's calls came to
	// this router.
	completeSince time.Time
	calls         map[string]*recentCall
	// keysByTime holds the store keys by the time of their first call.
	keysByTime []string
}

// recentCall holds the requests with one key that may have sent its call.
type recentCall struct {
	firstSeen time.Time
	holders   []fleet.RequestID
}

func newHistory() history { return history{calls: map[string]*recentCall{}} }

// setRankedFirst records whether this router ranks first among the shard's owners.
func (h *history) setRankedFirst(now time.Time, rankedFirst bool) {
	if rankedFirst && !h.rankedFirst {
		h.completeSince = now
	}
	h.rankedFirst = rankedFirst
}

// reset marks all earlier history as incomplete, because another router accepted claims of the
// shard.
func (h *history) reset(now time.Time) { h.completeSince = now }

// add records a call and reports whether another request used its key before.
func (h *history) add(now time.Time, claim fleet.Claim) (resend bool) {
	h.prune(now)
	key := storeKey(claim)
	call, found := h.calls[key]
	if !found {
		call = &recentCall{firstSeen: now}
		h.calls[key] = call
		h.keysByTime = append(h.keysByTime, key)
	}
	if !slices.Contains(call.holders, claim.Holder) {
		call.holders = append(call.holders, claim.Holder)
	}
	return len(call.holders) > 1
}

// removeHolder removes a request whose entry router reports that it never sends its call.
func (h *history) removeHolder(claim fleet.Claim) {
	if call, found := h.calls[storeKey(claim)]; found {
		call.holders = slices.DeleteFunc(call.holders, func(holder fleet.RequestID) bool {
			return holder == claim.Holder
		})
	}
}

// prune evicts calls older than historyDuration.
func (h *history) prune(now time.Time) {
	for len(h.keysByTime) > 0 && h.calls[h.keysByTime[0]].firstSeen.Before(now.Add(-historyDuration)) {
		delete(h.calls, h.keysByTime[0])
		h.keysByTime = h.keysByTime[1:]
	}
}

// isFirstCall reports whether no earlier request with the claim's key can have sent its call.
// This holds if all claims with a key this recent came to this router, and no other holder of
// the key is left in the history.
func (h *history) isFirstCall(now time.Time, claim fleet.Claim) bool {
	if !h.rankedFirst {
		return false
	}
	completeFrom := h.completeSince
	if start := now.Add(-historyDuration); completeFrom.Before(start) {
		completeFrom = start
	}
	// A router accepts a key at most MaxClockSkew before the key's timestamp. So if the timestamp
	// is more than MaxClockSkew after completeFrom, all claims of the key arrived after completeFrom.
	keyTime, ok := KeyTime(claim.Key)
	if !ok || !keyTime.After(completeFrom.Add(MaxClockSkew)) {
		return false
	}
	call, found := h.calls[storeKey(claim)]
	if !found {
		return true
	}
	for _, holder := range call.holders {
		if holder != claim.Holder {
			return false
		}
	}
	return true
}
