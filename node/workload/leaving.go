package workload

import (
	"time"

	"agateswitch/core/departure"
	"agateswitch/core/fleet"
)

// OnLeaving registers observe, which is called with each upstream that leaves according to another
// router. It must be called before Run.
func (w *Workload) OnLeaving(observe func(departure.Mark)) { w.onLeaving = observe }

// MarkLeaving records that an upstream has said that it leaves, and tells the other routers. It reports
// whether that is new.
func (w *Workload) MarkLeaving(upstream fleet.UpstreamID, incarnation int64) bool {
	w.mu.Lock()
	isNew := w.leaving.Add(departure.Mark{Upstream: upstream, Incarnation: incarnation}, time.Now())
	w.mu.Unlock()
	if isNew {
		w.notifyChange()
	}
	return isNew
}

// Leaves reports whether an incarnation of an upstream has said to any router that it leaves.
func (w *Workload) Leaves(upstream fleet.UpstreamID, incarnation int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving.Has(upstream, incarnation)
}

// learnLeaving records what another router told.
func (w *Workload) learnLeaving(marks []departure.Mark) {
	for _, mark := range marks {
		w.mu.Lock()
		isNew := w.leaving.Add(mark, time.Now())
		w.mu.Unlock()
		if isNew {
			w.onLeaving(mark)
			w.notifyChange()
		}
	}
}
