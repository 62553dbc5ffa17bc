package replica

import (
	"time"

	"agateswitch/port"
)

// settlePeriod is how long after an outage of the store it may take until expired entries are
// written again.
const settlePeriod = 2300 * time.Millisecond

// minLapseOutage is the shortest outage of the store in which entries lapse. An entry lapses when it
// has not been renewed for three intervals of 1.2 s, and was renewed within one of them before.
const minLapseOutage = 2400 * time.Millisecond

// contact is the state of one watch of the store.
type contact struct {
	// reachable is true after an answer of the store, and wasLost after a failure. Both are false
	// before the first call.
	reachable, wasLost bool
	// answeredAt is when the store last answered, and regainedAt when it last answered again after an
	// outage of at least minLapseOutage.
	answeredAt, regainedAt time.Time
}

// answer records an answer of the store. It reports whether the store had failed before.
func (c *contact) answer(now time.Time) (regained bool) {
	regained = c.wasLost
	if regained && now.Sub(c.answeredAt) >= minLapseOutage {
		c.regainedAt = now
	}
	c.reachable, c.wasLost, c.answeredAt = true, false, now
	return regained
}

// tree is the copy of the entries under one prefix. Replica.mu guards its fields.
type tree struct {
	contact
	prefix     string
	entries    map[string]port.Entry
	tombstones map[string]tombstone
	// prunedRevision is the revision of the newest deletion whose tombstone has been removed.
	prunedRevision int64
	// asOf is the revision up to which the copy is complete, and confirmedAt when it was last
	// confirmed to be the newest one.
	asOf        int64
	confirmedAt time.Time
}

// tombstone records a deletion.
type tombstone struct {
	revision  int64
	deletedAt time.Time
}

func newTree(prefix string) *tree {
	return &tree{prefix: prefix, entries: map[string]port.Entry{}, tombstones: map[string]tombstone{}}
}

// settledAt returns the time by which entries that expired during the last outage should be written
// again.
func (t *tree) settledAt() time.Time { return t.regainedAt.Add(settlePeriod) }

// record records one change, unless the copy has the entry at this revision or a later one. It
// reports whether the change is passed to subscribers.
func (t *tree) record(change Change, now time.Time) bool {
	key, revision := change.Entry.Key, change.Entry.Revision
	current, found := t.entries[key]
	if found && current.Revision >= revision && !(change.Deleted && current.Revision == revision) {
		return false
	}
	if deleted, isDeleted := t.tombstones[key]; isDeleted && deleted.revision >= revision {
		return false
	}
	if !change.Deleted {
		t.entries[key] = change.Entry
		delete(t.tombstones, key)
		return true
	}
	delete(t.entries, key)
	t.tombstones[key] = tombstone{revision: revision, deletedAt: now}
	for other, old := range t.tombstones {
		if now.Sub(old.deletedAt) > tombstoneTTL {
			t.prunedRevision = max(t.prunedRevision, old.revision)
			delete(t.tombstones, other)
		}
	}
	return found
}

// missing returns the deletions of the entries that a complete list of a revision does not have.
func (t *tree) missing(listed []port.Entry, revision int64, settledAt time.Time) []Change {
	present := make(map[string]bool, len(listed))
	for _, entry := range listed {
		present[entry.Key] = true
	}
	var deletions []Change
	for key, entry := range t.entries {
		if !present[key] && entry.Revision <= revision {
			deletions = append(deletions, Change{Entry: port.Entry{Key: key, Revision: revision}, Deleted: true, Settled: settledAt})
		}
	}
	return deletions
}
