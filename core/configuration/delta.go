package configuration

import (
	"cmp"
	"fmt"
	"slices"
)

// Delta holds every item with a revision above From, up to To.
type Delta struct {
	From Revision `json:"from"`
	To   Revision `json:"to"`
	// Floor is the highest revision of a tombstone that was compacted. A delta from below the
	// floor is Full, since it cannot list what was deleted meanwhile.
	Floor Revision `json:"floor,omitempty"`
	// Full is true when Items holds every item: a state below the floor is replaced completely.
	Full  bool   `json:"full,omitempty"`
	Items []Item `json:"items"`
}

// Apply returns the snapshot with the delta applied. A delta that ends at or below the
// snapshot's revision, or starts above it, changes nothing and Apply returns false: the
// revision in force never decreases and never skips a change.
func (s *Snapshot) Apply(delta Delta) (*Snapshot, bool, error) {
	if delta.To <= s.revision || (delta.From > s.revision && !delta.Full) {
		return s, false, nil
	}
	base := s
	if delta.Full {
		base = Empty()
	}
	next := base.clone()
	next.revision, next.floor = delta.To, max(s.floor, delta.Floor)
	if err := next.applyItems(delta.Items); err != nil {
		return s, false, err
	}
	next.dropTombstones()
	return next, true, nil
}

// applyItems stores the items that are newer than those of the snapshot. All old values are
// unindexed before new ones are indexed, because one change may move a key digest from one
// contract to another.
func (s *Snapshot) applyItems(items []Item) error {
	changed := map[Key]Item{}
	for _, item := range items {
		if item.Revision > s.items[item.Key].Revision && item.Revision > changed[item.Key].Revision {
			changed[item.Key] = item
		}
	}
	for key, item := range changed {
		s.unindex(key)
		s.items[key] = item
	}
	for _, item := range changed {
		if item.Deleted {
			continue
		}
		if err := s.index(item); err != nil {
			return fmt.Errorf("item %s: %w", item.Key, err)
		}
	}
	return nil
}

// dropTombstones removes the tombstones up to the floor.
func (s *Snapshot) dropTombstones() {
	for key, item := range s.items {
		if item.Deleted && item.Revision <= s.floor {
			delete(s.items, key)
		}
	}
}

// Floor returns the highest revision of a tombstone that was compacted.
func (s *Snapshot) Floor() Revision { return s.floor }

// Since returns the delta from a revision to the one in force, with its items in revision order.
func (s *Snapshot) Since(from Revision) Delta {
	delta, _ := s.Page(from, FirstPage, 0)
	return delta
}

// FirstPage is the cursor of the first page.
const FirstPage Revision = -1

// Page returns a page of the delta from a revision: the items above the cursor in revision
// order, up to maxBytes of values but at least one item. It also reports whether more pages
// follow. The last item's revision is the next cursor. Zero maxBytes means no limit. All pages
// must be applied together: the state between two of them was never accepted.
func (s *Snapshot) Page(from, cursor Revision, maxBytes int) (delta Delta, more bool) {
	delta = Delta{From: from, To: s.revision, Floor: s.floor}
	if from < s.floor {
		delta.Full = true
	}
	if cursor == FirstPage && !delta.Full {
		cursor = from
	}
	for _, item := range s.items {
		if item.Revision > cursor {
			delta.Items = append(delta.Items, item)
		}
	}
	slices.SortFunc(delta.Items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	if maxBytes == 0 {
		return delta, false
	}
	bytes := 0
	for i, item := range delta.Items {
		bytes += len(item.Value)
		if i > 0 && bytes > maxBytes {
			delta.Items = delta.Items[:i]
			return delta, true
		}
	}
	return delta, false
}

// Tombstones returns the tombstones that are not yet compacted, oldest first.
func (s *Snapshot) Tombstones() []Item {
	var found []Item
	for _, item := range s.items {
		if item.Deleted {
			found = append(found, item)
		}
	}
	slices.SortFunc(found, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return found
}
