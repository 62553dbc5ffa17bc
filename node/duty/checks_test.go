package duty

import (
	"fmt"
	"time"

	"agateswitch/core/fleet"
)

// violations returns the first rule that the received calls break, or "".
func (w *world) violations() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	holders := map[uint64]fleet.HostID{}
	lastOf := map[fleet.HostID]time.Time{}
	var last received
	for i, call := range w.received {
		if host, found := holders[call.token]; found && host != call.host {
			return fmt.Sprintf("%s and %s sent the token %d", host, call.host, call.token)
		}
		holders[call.token] = call.host
		if call.token < last.token {
			return fmt.Sprintf("%s sent %d at %s, after %s had sent %d", call.host, call.token, call.at, last.host, last.token)
		}
		if before, found := lastOf[call.host]; i > 0 && last.host != call.host && found && call.at.Sub(before) < testLease.Length {
			return fmt.Sprintf("%s acted at %s and again %s later, %s between", call.host, before, call.at.Sub(before), last.host)
		}
		lastOf[call.host], last = call.at, call
	}
	return ""
}

// gap returns the longest time without a call, from the first one on until a time.
func (w *world) gap(until time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	var longest time.Duration
	for i := range w.received {
		next := until
		if i+1 < len(w.received) {
			next = w.received[i+1].at
		}
		longest = max(longest, next.Sub(w.received[i].at))
	}
	return longest
}

// holder returns the router that has made the last call.
func (w *world) holder() *testRouter {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.received) == 0 {
		return w.routers[fleet.HostID(w.order[0])]
	}
	return w.routers[w.received[len(w.received)-1].host]
}
