package presence

import (
	"context"
	"slices"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"
)

// Parameters of the removal of routers that have failed and whose entries outlive them, as they do in a large fleet.
const (
	// lastCheckTimeout bounds the last heartbeat to a silent router before it is removed: longer than
	// the others, for a host whose processor is busy.
	lastCheckTimeout = time.Second
	// removalStagger is the time between the removals by the neighbours of a router, so that mostly one
	// of them calls the store.
	removalStagger = 400 * time.Millisecond
	// removalHoldOff is how long after it has removed a router's entry a router does not do so again. The
	// other one may be alive and out of reach for this one alone.
	removalHoldOff = 30 * time.Second
)

// checkNeighbours starts the check of each neighbour that has not answered for some time.
func (p *Presence) checkNeighbours(ctx context.Context) {
	for id, rank := range p.silentNeighbours() {
		go p.checkSilent(ctx, id, rank)
	}
}

// silentNeighbours returns the neighbours that have an entry in the store and have been silent, and their
// ranks among the neighbours of this router. It marks them as suspected.
func (p *Presence) silentNeighbours() map[fleet.HostID]int {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isMonitoring() || p.leaving.Load() {
		return nil
	}
	isLarge := len(p.listed) > maxDirectFleetSize
	ids := make([]fleet.HostID, 0, len(p.listed))
	for id := range p.listed {
		if id != p.self.ID {
			ids = append(ids, id)
		}
	}
	monitored, silent := map[fleet.HostID]time.Time{}, map[fleet.HostID]int{}
	for rank, id := range ringSuccessors(ids, p.self.ID, heartbeatNeighbours) {
		since, known := p.monitored[id]
		if !known {
			since = now
		}
		monitored[id] = since
		heardAt := p.heartbeats[id].receivedAt
		// In a small fleet the store removes the others by itself.
		if !isLarge && !p.outliving[id] {
			continue
		}
		if now.Sub(since) > unresponsiveTimeout && now.Sub(heardAt) > unresponsiveTimeout && !p.suspected[id] {
			p.suspected[id], silent[id] = true, rank
		}
	}
	p.monitored = monitored
	return silent
}

// isMonitoring reports whether this router removes the entries of others that fail, which stay in the store for long
// otherwise. The caller holds mu.
func (p *Presence) isMonitoring() bool {
	return len(p.listed) > maxDirectFleetSize || len(p.outliving) > 0
}

// checkSilent removes the entry of a neighbour from the store unless the neighbour answers. A router that no
// other one answers meanwhile may be the one that is cut off, and removes nothing.
func (p *Presence) checkSilent(ctx context.Context, id fleet.HostID, rank int) {
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.suspected, id)
	}()
	silentSince := time.Now()
	select {
	case <-time.After(time.Duration(rank) * removalStagger):
	case <-ctx.Done():
		return
	}
	checkedAt := time.Now()
	var exchanges sync.WaitGroup
	for _, other := range append(p.heardLately(id), id) {
		exchanges.Go(func() { p.exchangeHeartbeat(ctx, other, p.heartbeat(), lastCheckTimeout) })
	}
	exchanges.Wait()
	condition, isDue := p.removalOf(id, silentSince, checkedAt)
	if !isDue {
		return
	}
	result, err := p.store.Commit(ctx, port.Transaction{
		Conditions: []port.Condition{condition}, Writes: []port.Write{{Key: condition.Key, Delete: true}},
	})
	if result.Applied {
		p.mu.Lock()
		p.removedAt[id] = time.Now()
		p.mu.Unlock()
	}
	p.log.Warn("router does not answer; removing its entry", "peer", id, "revision", condition.Revision,
		"rank", rank, "removed", result.Applied, "err", err)
}

// witnesses is how many other routers have to show that a router is not cut off when it removes one; one that answers is enough.
const witnesses = 3

// heardLately returns some routers other than a silent one that were heard last.
func (p *Presence) heardLately(silent fleet.HostID) []fleet.HostID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var heard []fleet.HostID
	for id := range p.heartbeats {
		if _, listed := p.listed[id]; listed && id != silent && id != p.self.ID {
			heard = append(heard, id)
		}
	}
	slices.SortFunc(heard, func(a, b fleet.HostID) int { return p.heartbeats[b].receivedAt.Compare(p.heartbeats[a].receivedAt) })
	return slices.Clip(heard[:min(len(heard), witnesses)])
}

// removalOf returns the condition on which the entry of a router is removed. It reports false if the
// router has an entry no more or has answered since silentSince, or if this router has heard nobody since checkedAt.
func (p *Presence) removalOf(id fleet.HostID, silentSince, checkedAt time.Time) (port.Condition, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, listed := p.revisions[id]
	if !listed || !p.heartbeats[id].receivedAt.Before(silentSince) || time.Since(p.removedAt[id]) < removalHoldOff {
		return port.Condition{}, false
	}
	hearsOthers := false
	for other, last := range p.heartbeats {
		hearsOthers = hearsOthers || other != id && !last.receivedAt.Before(checkedAt)
	}
	return port.Condition{Key: RouterKeyPrefix + string(id), Revision: at.Stored()}, hearsOthers
}
