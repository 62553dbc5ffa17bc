package workload

import (
	"time"

	"agateswitch/core/departure"
	"agateswitch/core/fleet"
)

// MarkDisplaced records that another upstream has answered at the address of an upstream, and tells the other routers.
func (w *Workload) MarkDisplaced(upstream fleet.UpstreamID, incarnation int64, address string) {
	w.mu.Lock()
	isNew := w.displaced.Add(departure.Displacement{Upstream: upstream, Incarnation: incarnation, Address: address}, time.Now())
	w.mu.Unlock()
	if isNew {
		w.notifyChange()
	}
}

// IsDisplaced reports whether another upstream has lately answered at the address of an upstream, to any router.
func (w *Workload) IsDisplaced(upstream fleet.UpstreamID, incarnation int64, address string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.displaced.Has(upstream, incarnation, address, time.Now())
}

// learnDisplaced records what another router told.
func (w *Workload) learnDisplaced(told []departure.Displacement) {
	now, hasNew := time.Now(), false
	w.mu.Lock()
	for _, displaced := range told {
		if w.displaced.Add(displaced, now) {
			hasNew = true
			w.log.Info("upstream's address belongs to another one according to another router", "upstream", displaced.Upstream,
				"incarnation", displaced.Incarnation, "address", displaced.Address, "age_ms", displaced.AgeMs)
		}
	}
	w.mu.Unlock()
	if hasNew {
		w.notifyChange()
	}
}
