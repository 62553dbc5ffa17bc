package workload

// Unheard returns how many of the routers that publish to this one, or of the relays that publish to its relay, it has no load from, and
// whether it gets its load through relays. Each relay stands for about twenty routers.
func (w *Workload) Unheard() (count int, throughRelays bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isRelay {
		return w.countUnheard(), !w.isDirect
	}
	return w.unheardByRelay, true
}

// countUnheard returns how many of the routers to which this one publishes it has no load from. Callers hold mu.
func (w *Workload) countUnheard() int {
	count := 0
	for _, id := range w.publishedTo {
		if _, heard := w.peerLoads[id]; !heard {
			count++
		}
	}
	return count
}
