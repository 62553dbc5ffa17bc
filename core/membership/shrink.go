package membership

import "time"

// Protection against a host list that loses most of its members by a fault.
const (
	// ShrunkListDelay is how long a list must lack more than half of the members before they are
	// removed. Members that are listed as leaving are not missing: their state applies at once.
	ShrunkListDelay = 10 * time.Second
	// EmptyListDelay is the delay of a list without any member.
	EmptyListDelay = time.Minute
	// minProtectedMembers is the smallest membership that is protected: of fewer members, half
	// may well leave together.
	minProtectedMembers = 4
)

// ShrinkGuard delays the removal of members when a list suddenly lacks most of them. The zero
// value is ready to use. It is not safe for concurrent use.
type ShrinkGuard struct {
	shrunkSince time.Time
}

// Accept reports whether to remove the members that a new list lacks. members is the size of the
// current membership, missing the number of its members that the list lacks, and listed the size
// of the list.
func (g *ShrinkGuard) Accept(now time.Time, members, missing, listed int) bool {
	if members < minProtectedMembers || missing*2 <= members {
		g.shrunkSince = time.Time{}
		return true
	}
	if g.shrunkSince.IsZero() {
		g.shrunkSince = now
	}
	delay := ShrunkListDelay
	if listed == 0 {
		delay = EmptyListDelay
	}
	return now.Sub(g.shrunkSince) >= delay
}
