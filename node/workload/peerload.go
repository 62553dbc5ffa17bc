package workload

import (
	"time"

	"agateswitch/core/fleet"
)

// peerLoad is the load received from one router.
type peerLoad struct {
	load       map[fleet.UpstreamID]Load
	receivedAt time.Time
	// isRelayed is true when this router is the other one's relay, and so includes the other's load
	// in what it publishes.
	isRelayed bool
}

// applyMessage applies a message of another router. Callers hold mu.
func (w *Workload) applyMessage(from fleet.HostID, m message, isRelayed bool) {
	now := time.Now()
	peer, found := w.peerLoads[from]
	if found && peer.isRelayed != isRelayed {
		w.removePeer(from, peer)
		found = false
	}
	if !found {
		peer = &peerLoad{load: map[fleet.UpstreamID]Load{}, isRelayed: isRelayed}
		w.peerLoads[from] = peer
	}
	peer.receivedAt, w.updatedAt = now, now
	if m.Full {
		for upstream := range peer.load {
			if _, still := m.Load[upstream]; !still {
				w.setLoad(peer, upstream, Load{})
			}
		}
	}
	for upstream, load := range m.Load {
		w.setLoad(peer, upstream, load)
	}
	w.warm.Merge(m.CachedParts, now)
}

// setLoad sets a router's load on one upstream, and updates the sums. Callers hold mu.
func (w *Workload) setLoad(peer *peerLoad, upstream fleet.UpstreamID, load Load) {
	change := load.minus(peer.load[upstream])
	if change == (Load{}) {
		return
	}
	addLoad(peer.load, upstream, change)
	addLoad(w.total, upstream, change)
	if peer.isRelayed {
		addLoad(w.relayedTotal, upstream, change)
		w.changed[upstream] = true
	}
}

// addLoad adds a change to a sum. It removes sums that become zero.
func addLoad(sums map[fleet.UpstreamID]Load, upstream fleet.UpstreamID, change Load) {
	if sum := sums[upstream].plus(change); sum != (Load{}) {
		sums[upstream] = sum
		return
	}
	delete(sums, upstream)
}

// removeStalePeers removes the load of unresponsive routers.
func (w *Workload) removeStalePeers() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for from, peer := range w.peerLoads {
		if time.Since(peer.receivedAt) > staleTimeout {
			w.removePeer(from, peer)
		}
	}
}

// removePeer removes the load of a router. Callers hold mu.
func (w *Workload) removePeer(from fleet.HostID, peer *peerLoad) {
	for upstream := range peer.load {
		w.setLoad(peer, upstream, Load{})
	}
	delete(w.peerLoads, from)
}
