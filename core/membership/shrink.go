package membership

import "time"

// Protection against a host list that loses its content.
const (
	// ShrinkHold is how long a list without more than half of the members must last before
	// it is believed. Members that it shows as leaving are believed at once.
	ShrinkHold = 10 * time.Second
	// EmptyHold is the same for a list without any member.
	EmptyHold = time.Minute
	// minProtected is the least number of members that is protected: of a few, half can
	// leave together.
	minProtected = 4
)

// ShrinkGuard keeps members of a list that suddenly lacks most of them. The zero value is
// ready. It is not safe for concurrent use.
type ShrinkGuard struct {
	since time.Time
}

// Believe tells whether to believe a list of so many members, given how many of those
// believed until now are missing from it.
func (g *ShrinkGuard) Believe(now time.Time, believed, missing, listed int) bool {
	if believed < minProtected || missing*2 <= believed {
		g.since = time.Time{}
		return true
	}
	if g.since.IsZero() {
		g.since = now
	}
	hold := ShrinkHold
	if listed == 0 {
		hold = EmptyHold
	}
	return now.Sub(g.since) >= hold
}
