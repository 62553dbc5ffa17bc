package replica

import (
	"fmt"
	"time"

	"agateswitch/core/revision"
	"agateswitch/port"
)

// Limits of what the copy holds.
const (
	// maxEntryBytes is the size of the largest value that the copy holds, but for the desired state.
	maxEntryBytes = 16 << 10
	// maxHeldBytes bounds all entries other than the desired state, with their tombstones and earlier states. Those of
	// a thousand upstreams and routers take half of it. It is below maxStateBytes, so that a complete copy can be pulled.
	maxHeldBytes = 4 << 20
	// entryCost and stateCost are what an entry or a tombstone and an earlier state take beyond the text of key and value.
	entryCost = 250
	stateCost = 80
	// shedStep is by how much the copy grows between two attempts to shed, if what has to stay is above the limit.
	shedStep = maxHeldBytes / 8
)

// withoutLargeValue returns the entry with a note in place of a value that is larger than any reader accepts. The note is
// no text in the encoding of any entry.
func withoutLargeValue(entry port.Entry) port.Entry {
	if len(entry.Value) > maxEntryBytes {
		entry.Value = fmt.Appendf(nil, "(%d bytes)", len(entry.Value))
	}
	return entry
}

// listing collects the entries of a list of the store. Entries that can't be read are left out once it is full, so that
// those of other writers do not displace the ones that routers need.
type listing struct {
	isReadable func(key string, value []byte) bool
	byTree     map[*tree][]Change
	bytes      int
	isFull     bool
}

func (r *Replica) newListing() *listing {
	return &listing{isReadable: r.isReadable, byTree: map[*tree][]Change{}}
}

// add adds an entry of a tree.
func (l *listing) add(t *tree, entry port.Entry) {
	entry = withoutLargeValue(entry)
	if l.isFull && !l.isReadable(entry.Key, entry.Value) {
		return
	}
	l.byTree[t] = append(l.byTree[t], Change{Entry: entry})
	l.bytes += entrySize(entry.Key, entry.Value)
	if l.bytes <= maxHeldBytes || l.isFull {
		return
	}
	l.isFull = true
	for t, changes := range l.byTree {
		readable := make([]Change, 0, len(changes))
		for _, change := range changes {
			if l.isReadable(change.Entry.Key, change.Entry.Value) {
				readable = append(readable, change)
			}
		}
		l.byTree[t] = readable
	}
}

// entrySize returns what an entry, or a tombstone with the key's last value, counts in bytes.
func entrySize(key string, value []byte) int { return entryCost + len(key) + len(value) }

// setEntry sets the entry of a key.
func (t *tree) setEntry(entry port.Entry) {
	t.dropEntry(entry.Key)
	t.entries[entry.Key] = entry
	t.heldBytes += entrySize(entry.Key, entry.Value)
}

func (t *tree) dropEntry(key string) {
	if entry, found := t.entries[key]; found {
		t.heldBytes -= entrySize(key, entry.Value)
		delete(t.entries, key)
	}
}

// setTombstone sets the tombstone of a key.
func (t *tree) setTombstone(key string, set tombstone) {
	t.dropTombstone(key)
	t.tombstones[key] = set
	t.heldBytes += entrySize(key, set.last)
}

func (t *tree) dropTombstone(key string) {
	if dropped, found := t.tombstones[key]; found {
		t.heldBytes -= entrySize(key, dropped.last)
		delete(t.tombstones, key)
	}
}

// setEarlier sets the earlier states of a key; none removes them.
func (t *tree) setEarlier(key string, states []earlierState) {
	for _, state := range t.earlier[key] {
		t.heldBytes -= stateCost + len(state.value)
	}
	for _, state := range states {
		t.heldBytes += stateCost + len(state.value)
	}
	if len(states) == 0 {
		delete(t.earlier, key)
		return
	}
	t.earlier[key] = states
}

// HeldBytes returns the size in bytes of the copy, without the desired state.
func (r *Replica) HeldBytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heldBytes()
}

// heldBytes returns what all trees hold. The caller holds mu.
func (r *Replica) heldBytes() int {
	held := 0
	for _, t := range r.trees {
		held += t.heldBytes
	}
	return held
}

// shed makes the copy smaller if it is larger than its limit, in steps from what is needed least. Entries that can't be
// read, which other writers have left, become tombstones: they name nothing, also where others have an earlier state of
// them. Earlier states and last values only serve to recognise what a restored store has. Entries that can be read stay.
// The caller holds mu.
func (r *Replica) shed() {
	before := r.heldBytes()
	if before <= r.shedAbove {
		return
	}
	for _, step := range []func(*tree){
		func(t *tree) { t.buryUnreadable(r.isReadable) }, (*tree).forgetEarlier, (*tree).forgetLastValues, (*tree).forgetTombstones,
	} {
		for _, t := range r.trees {
			step(t)
		}
		if r.heldBytes() <= maxHeldBytes {
			break
		}
	}
	held := r.heldBytes()
	r.shedAbove = max(maxHeldBytes, held+shedStep)
	r.log.Warn("copy of the store was too large; dropped what is needed least", "bytes", before, "left", held, "limit", maxHeldBytes)
}

// buryUnreadable replaces entries that can't be read by tombstones.
func (t *tree) buryUnreadable(isReadable func(key string, value []byte) bool) {
	for key, entry := range t.entries {
		if !isReadable(key, entry.Value) {
			t.setTombstone(key, tombstone{revision: entry.Revision, deletedAt: time.Now()})
			t.dropEntry(key)
		}
	}
}

func (t *tree) forgetEarlier() {
	for key := range t.earlier {
		t.setEarlier(key, nil)
	}
}

func (t *tree) forgetLastValues() {
	for key, deleted := range t.tombstones {
		deleted.last = nil
		t.setTombstone(key, deleted)
	}
}

func (t *tree) forgetTombstones() {
	for key, deleted := range t.tombstones {
		t.prunedRevision = revision.Latest(t.prunedRevision, deleted.revision)
		t.dropTombstone(key)
	}
}
