package replica

import (
	"bytes"
	"slices"
	"time"

	"agateswitch/core/revision"
	"agateswitch/port"
)

const (
	// settlePeriod is how long after an outage of the store it may take at most until expired entries are
	// written again.
	settlePeriod = 2300 * time.Millisecond
	// restoreSettlePeriod is the same after the store was restored from an older copy. It adds what a
	// write takes to reach a router: half a second until the next call of a watch, and pulls.
	restoreSettlePeriod = settlePeriod + time.Second
	// minLapseOutage is the shortest outage of the store in which entries lapse. An entry lapses when
	// it has not been renewed for three intervals of 1.2 s, and was renewed within one of them before.
	minLapseOutage = 2400 * time.Millisecond
	// maxEarlierStates is how many states of a key that have been replaced are remembered, to recognise
	// them in a store that was restored from an older copy.
	maxEarlierStates = 4
)

// contact is the state of one watch of the store.
type contact struct {
	// reachable is true after an answer of the store, and wasLost after a failure. Both are false
	// before the first call.
	reachable, wasLost bool
	// answeredAt is when the store last answered, and regainedAt when it last answered again after an
	// outage of at least minLapseOutage.
	answeredAt, regainedAt time.Time
	// confirmedAt is when the copy was last confirmed to be the newest, by the store or by a router.
	confirmedAt time.Time
}

// answer records an answer of the store. It reports whether the store had failed before.
func (c *contact) answer(now time.Time) (regained bool) {
	regained = c.wasLost
	// While the copy was confirmed, the store answered others.
	if regained && now.Sub(latest(c.answeredAt, c.confirmedAt)) >= minLapseOutage {
		c.regainedAt = now
	}
	c.reachable, c.wasLost, c.answeredAt = true, false, now
	return regained
}

// tree is the copy of the entries under one prefix. Replica.mu guards its fields.
type tree struct {
	contact
	prefix string
	// isReport is true for what the routers report to operators. The copy then has what the store has,
	// so that the routers write again what a restore has lost.
	isReport bool
	// isOutdated is port.EntryCodec.IsOutdated.
	isOutdated func(key string, known, found []byte) bool
	entries    map[string]port.Entry
	tombstones map[string]tombstone
	// earlier holds the states of a key that have been replaced or deleted, oldest first.
	earlier map[string][]earlierState
	// heldBytes is what entries, tombstones and earlier states take.
	heldBytes int
	// prunedRevision is a revision after which the copy has the tombstones of all deletions. Earlier ones
	// have been removed, or were made before the copy was read as a whole.
	prunedRevision revision.Revision
	// asOf is the revision up to which the copy is complete. restoreSettledAt is the time by which entries
	// that the store lost when it was restored to the era of asOf should be written again, and restoredTo the
	// revision at which the copy was first complete in that era.
	asOf revision.Revision
	// isRestoring is true while the state of a later era than that of asOf is applied.
	isRestoring      bool
	restoreSettledAt time.Time
	restoredTo       revision.Revision
}

// tombstone records a deletion.
type tombstone struct {
	revision  revision.Revision
	deletedAt time.Time
	// last is the last value that the key had here.
	last []byte
}

// earlierState is a state of a key that has been replaced.
type earlierState struct {
	revision   revision.Revision
	value      []byte
	replacedAt time.Time
}

func newTree(prefix string, isReport bool, isOutdated func(key string, known, found []byte) bool) *tree {
	return &tree{
		prefix: prefix, isReport: isReport, isOutdated: isOutdated,
		entries: map[string]port.Entry{}, tombstones: map[string]tombstone{}, earlier: map[string][]earlierState{},
	}
}

// settledAt returns the time by which entries that expired during the last outage should be written
// again.
func (t *tree) settledAt() time.Time { return t.regainedAt.Add(settlePeriod) }

// record records one change, unless the copy has the entry at this revision or a later one, or the
// change is an earlier state that a restored store has again. It reports whether the change is passed
// to subscribers.
func (t *tree) record(change Change, now time.Time) bool {
	key, at := change.Entry.Key, change.Entry.Revision
	current, found := t.entries[key]
	deleted, isDeleted := t.tombstones[key]
	switch {
	case found && !at.After(current.Revision) && !(change.Deleted && current.Revision == at):
		return false
	case isDeleted && !at.After(deleted.revision):
		return false
	case change.Deleted:
		t.delete(key, at, now)
		return found
	case t.carries(current, found, deleted, isDeleted, change.Entry):
		return false
	}
	t.remember(current, now)
	t.setEntry(change.Entry)
	t.dropTombstone(key)
	return true
}

// carries reports whether an entry is an earlier state of what the copy has for its key. The copy then
// keeps what it has, at the entry's place.
func (t *tree) carries(current port.Entry, found bool, deleted tombstone, isDeleted bool, entry port.Entry) bool {
	switch {
	case found && t.isReplay(current.Revision, current.Value, entry):
		current.Revision = entry.Revision.Carry(current.Revision)
		t.setEntry(current)
		return true
	case isDeleted && t.isReplay(deleted.revision, deleted.last, entry):
		deleted.revision = entry.Revision.Carry(deleted.revision)
		t.setTombstone(entry.Key, deleted)
		return true
	}
	return false
}

// isReplay reports whether an entry is an earlier state than the one that the copy has, or last had, at
// a place: because the store was restored in between, or the copy has kept its state over that.
func (t *tree) isReplay(held revision.Revision, value []byte, entry port.Entry) bool {
	switch {
	case t.isReport || !entry.Revision.MayHaveReplaced(held):
		return false
	case entry.Revision.IsCarried():
		return held.IsAfterOrigin(entry.Revision)
	}
	return t.isOutdated(entry.Key, value, entry.Value) || t.isEarlier(entry)
}

// isEarlier reports whether an entry is a state that was replaced before the store was restored. One that
// was written after the first list of the era is new, also at a number that was lost.
func (t *tree) isEarlier(entry port.Entry) bool {
	if entry.Revision.IsOfSameEra(t.restoredTo) && entry.Revision.After(t.restoredTo) {
		return false
	}
	for _, state := range t.earlier[entry.Key] {
		if entry.Revision.IsCopyOf(state.revision) && bytes.Equal(state.value, entry.Value) {
			return true
		}
	}
	return false
}

// remember keeps a state that is replaced or deleted.
func (t *tree) remember(replaced port.Entry, now time.Time) {
	if t.isReport || replaced.Revision.IsAbsent() {
		return
	}
	states := append(slices.Clone(t.earlier[replaced.Key]), earlierState{revision: replaced.Revision, value: replaced.Value, replacedAt: now})
	t.setEarlier(replaced.Key, slices.Clone(states[max(0, len(states)-maxEarlierStates):]))
}

// delete replaces an entry by a tombstone, and prunes.
func (t *tree) delete(key string, at revision.Revision, now time.Time) {
	last := t.tombstones[key].last
	if current, found := t.entries[key]; found {
		last = current.Value
		t.remember(current, now)
	}
	t.dropEntry(key)
	t.setTombstone(key, tombstone{revision: at, deletedAt: now, last: last})
	t.prune(now)
}

// prune removes what has been kept for long enough.
func (t *tree) prune(now time.Time) {
	for key, old := range t.tombstones {
		if now.Sub(old.deletedAt) > tombstoneTTL {
			t.prunedRevision = revision.Latest(t.prunedRevision, old.revision)
			t.dropTombstone(key)
		}
	}
	for key, states := range t.earlier {
		if now.Sub(states[len(states)-1].replacedAt) > tombstoneTTL {
			t.setEarlier(key, nil)
		}
	}
}

// missing returns the deletions of the entries that a complete list of a revision does not have.
func (t *tree) missing(listed []Change, listedAt revision.Revision, settledAt time.Time) []Change {
	present := make(map[string]bool, len(listed))
	for _, change := range listed {
		present[change.Entry.Key] = !change.Deleted
	}
	var deletions []Change
	for key, entry := range t.entries {
		if !present[key] && !entry.Revision.After(listedAt) {
			deletions = append(deletions, Change{Entry: port.Entry{Key: key, Revision: listedAt}, Deleted: true, Settled: settledAt})
		}
	}
	return deletions
}

// carried returns how many entries and deletions the copy keeps although the store has an earlier state.
func (t *tree) carried() int64 {
	count := int64(0)
	for _, entry := range t.entries {
		if entry.Revision.IsCarried() {
			count++
		}
	}
	for _, deleted := range t.tombstones {
		if deleted.revision.IsCarried() {
			count++
		}
	}
	return count
}
