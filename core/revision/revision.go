// Package revision orders the changes of a key-value store that may be restored from an older copy of
// itself. A restored store has lost its newest changes, and gives their numbers out again.
package revision

import (
	"cmp"
	"fmt"
)

// Revision is a place in the history of a store. The zero value stands for a key that is absent, or
// for a place before all changes. Its fields are compared together, by Compare: numbers of two eras say
// nothing about which change came first.
type Revision struct {
	// Era is how often the store has been restored. It is zero for a store that never is.
	Era int64 `msgpack:"e,omitempty"`
	// Number is the store's own revision within the era.
	Number int64 `msgpack:"n"`
	// Carried, unless it is zero, is the number of an entry of an earlier era that a router keeps in
	// force although the store was restored to an earlier state of it. The entry comes after that
	// state and before any other change.
	Carried int64 `msgpack:"c,omitempty"`
}

// Compare returns -1, 0 or 1 as r is before, at or after other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number), cmp.Compare(r.Carried, other.Carried))
}

// After reports whether r comes after other.
func (r Revision) After(other Revision) bool { return r.Compare(other) > 0 }

// IsOfLaterEra reports whether the store was restored between other and r.
func (r Revision) IsOfLaterEra(other Revision) bool { return r.Era > other.Era }

// IsOfSameEra reports whether the store was not restored between the two places.
func (r Revision) IsOfSameEra(other Revision) bool { return r.Era == other.Era }

// IsCopyOf reports whether r may be the change at an earlier place, in a store that was restored since.
func (r Revision) IsCopyOf(earlier Revision) bool {
	return r.IsOfLaterEra(earlier) && r.Number == earlier.Number
}

// MayHaveReplaced reports whether what r stands for may be an earlier state of what a router has from
// held: the store was restored in between, or held is carried over states like r.
func (r Revision) MayHaveReplaced(held Revision) bool {
	return r.IsOfLaterEra(held) || held.IsCarried() && !r.IsCarried()
}

// IsAfterOrigin reports whether r, a place of an earlier era than carried, comes after the place from
// which carried was kept.
func (r Revision) IsAfterOrigin(carried Revision) bool { return r.Number > carried.Carried }

// IsZero reports whether r is the place before all changes.
func (r Revision) IsZero() bool { return r == Revision{} }

// IsAbsent reports whether r is the revision of a key that the store does not have.
func (r Revision) IsAbsent() bool { return r.Number == 0 }

// Carry returns the place of an entry from an earlier place that is kept although the store was restored
// to its state at r.
func (r Revision) Carry(from Revision) Revision {
	r.Carried = cmp.Or(from.Carried, from.Number)
	return r
}

// IsCarried reports whether r is the place of an entry that is kept although the store was restored.
func (r Revision) IsCarried() bool { return r.Carried != 0 }

// Stored returns the place of the state that the store itself has.
func (r Revision) Stored() Revision {
	r.Carried = 0
	return r
}

// String returns the number, preceded by the era if there is one.
func (r Revision) String() string {
	text := fmt.Sprint(r.Number)
	if r.Era != 0 {
		text = fmt.Sprintf("%d.%d", r.Era, r.Number)
	}
	if r.IsCarried() {
		text += fmt.Sprintf("+%d", r.Carried)
	}
	return text
}

// Latest returns the last of several places.
func Latest(places ...Revision) Revision {
	var latest Revision
	for _, place := range places {
		if place.After(latest) {
			latest = place
		}
	}
	return latest
}
