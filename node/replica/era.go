package replica

import "agateswitch/core/fleet"

// learnEra records an era of the store that another router has seen.
func (r *Replica) learnEra(era int64, from fleet.HostID) {
	if r.eras == nil || era <= r.eras.Era() {
		return
	}
	r.log.Warn("another router has seen that the store was restored", "peer", from, "era", era, "before", r.eras.Era())
	r.eras.LearnEra(era)
}

// era returns the highest era of the store that this router knows.
func (r *Replica) era() int64 {
	if r.eras == nil {
		return 0
	}
	return r.eras.Era()
}

// RestoreCounts counts what restores of the store have done to a copy.
type RestoreCounts struct {
	// Era is the highest era of the store that the router knows.
	Era int64
	// Kept is how many entries and removals stayed in force although the store had earlier states, and
	// Lost how many entries the store had lost. Entries that were lost stay in force until they are
	// written again or should have been.
	Kept, Lost int64
}

// Restores returns the counts since the start of the router.
func (r *Replica) Restores() RestoreCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := r.restores
	counts.Era = r.era()
	return counts
}
