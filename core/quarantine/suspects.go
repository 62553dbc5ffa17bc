package quarantine

import (
	"slices"
	"time"
)

// Suspects returns the parts with the ends of two engines or more that count, in the order of their ids.
func (e *Evidence) Suspects() []Part {
	var suspects []Part
	for part := range e.parts {
		if e.Ends(part) >= suspectEnds {
			suspects = append(suspects, part)
		}
	}
	slices.Sort(suspects)
	return suspects
}

// LastEnd returns when the latest end that counts against a part was. It is zero if there is none.
func (e *Evidence) LastEnd(part Part) time.Time {
	r, found := e.parts[part]
	if !found || len(r.ends) == 0 {
		return time.Time{}
	}
	return r.ends[len(r.ends)-1].at
}
