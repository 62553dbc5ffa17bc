package replica

import (
	"strings"
	"time"

	"agateswitch/port"
)

// Times of postponed deletions.
const (
	// settledCheckInterval is the time between two checks of whether the copy is confirmed, once a postponed
	// deletion is due.
	settledCheckInterval = 50 * time.Millisecond
	// settlingTail is how long after its own settle time a router goes on to confirm its copy often. Others that learnt of the
	// outage later pull from it.
	settlingTail = 2 * time.Second
)

// postpone returns the changes that subscribers receive now. Deletions of entries that may be written
// again are delivered later, unless they are.
func (r *Replica) postpone(changes []Change) []Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	due := make([]Change, 0, len(changes))
	for _, change := range changes {
		key := change.Entry.Key
		if remaining := time.Until(change.Settled); change.Deleted && remaining > 0 {
			r.postponed[key] = change
			time.AfterFunc(remaining, func() { r.deliverPostponed(change.Entry) })
			continue
		}
		delete(r.postponed, key)
		change.Settled = time.Time{}
		due = append(due, change)
	}
	return due
}

// postponedUnder returns how many deletions of entries under a prefix are postponed. The caller holds mu.
func (r *Replica) postponedUnder(prefix string) int64 {
	count := int64(0)
	for key := range r.postponed {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

// postponeFurther postpones the deletions of entries under a prefix that are postponed already, because
// their writers have been kept from writing them again. The caller holds mu.
func (r *Replica) postponeFurther(prefix string, settledAt time.Time) {
	for key, change := range r.postponed {
		if strings.HasPrefix(key, prefix) && settledAt.After(change.Settled) {
			change.Settled = settledAt
			r.postponed[key] = change
		}
	}
}

// isSettling reports whether deletions wait for a confirmation of the copy, here or on routers that learnt of the
// outage or the restore somewhat later.
func (r *Replica) isSettling() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.trees {
		if time.Since(latest(t.settledAt(), t.restoreSettledAt)) < settlingTail {
			return true
		}
	}
	return len(r.postponed) > 0
}

// deliverPostponed delivers the deletion of an entry unless the entry has been written or deleted again
// since. It waits while the deletion is postponed further, and until the copy is confirmed to be the newest at
// a time when the entry should have been written again: a router that has lost the store would not know.
func (r *Replica) deliverPostponed(deleted port.Entry) {
	r.applying <- struct{}{}
	defer func() { <-r.applying }()
	r.mu.Lock()
	change, found := r.postponed[deleted.Key]
	if !found || change.Entry.Revision != deleted.Revision {
		r.mu.Unlock()
		return
	}
	remaining := time.Until(change.Settled)
	if remaining <= 0 && r.treeOf(deleted.Key).confirmedAt.Before(change.Settled) {
		remaining = settledCheckInterval
	}
	if remaining > 0 {
		time.AfterFunc(remaining, func() { r.deliverPostponed(deleted) })
		r.mu.Unlock()
		return
	}
	delete(r.postponed, deleted.Key)
	r.mu.Unlock()
	change.Settled = time.Time{}
	r.deliver([]Change{change})
}
