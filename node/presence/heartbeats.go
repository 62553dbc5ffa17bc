package presence

import (
	"cmp"
	"context"
	"slices"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
	"agateswitch/port"
)

// Heartbeat is the message with which a router shows that it is alive.
type Heartbeat struct {
	Host    fleet.Host `msgpack:"host"`
	Leaving bool       `msgpack:"leaving,omitempty"`
}

// receivedHeartbeat is the last heartbeat of a router.
type receivedHeartbeat struct {
	heartbeat  Heartbeat
	receivedAt time.Time
}

// heartbeat returns this router's heartbeat.
func (p *Presence) heartbeat() Heartbeat {
	return Heartbeat{Host: p.self, Leaving: p.leaving.Load()}
}

// sendHeartbeats starts an exchange of heartbeats with the routers whose id follows this one's; the
// others start the exchange themselves. A leaving router sends its heartbeat to all.
func (p *Presence) sendHeartbeats(ctx context.Context) {
	heartbeat := p.heartbeat()
	for _, id := range p.heartbeatTargets(heartbeat.Leaving) {
		go p.exchangeHeartbeat(ctx, id, heartbeat, heartbeatTimeout)
	}
	p.checkNeighbours(ctx)
	p.checkRoll(ctx)
}

// heartbeatTargets returns the routers to send heartbeats to, and removes heartbeats older than a
// minute.
func (p *Presence) heartbeatTargets(all bool) []fleet.HostID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var targets []fleet.HostID
	for id := range p.listed {
		if id > p.self.ID || (all || len(p.listed) > maxDirectFleetSize) && id != p.self.ID {
			targets = append(targets, id)
		}
	}
	for id, last := range p.heartbeats {
		if _, listed := p.listed[id]; !listed && id > p.self.ID && time.Since(last.receivedAt) < heardTimeout {
			targets = append(targets, id)
		}
		if time.Since(last.receivedAt) > time.Minute {
			delete(p.heartbeats, id)
		}
	}
	if all || len(p.listed) <= maxDirectFleetSize {
		return targets
	}
	neighbours := ringSuccessors(targets, p.self.ID, heartbeatNeighbours)
	return slices.DeleteFunc(neighbours, func(id fleet.HostID) bool {
		return time.Since(p.heartbeats[id].receivedAt) < neighbourHeartbeatAge
	})
}

// ringSuccessors returns the ids that follow self in a ring of all ids. The ring is in the order of a
// hash, so that the neighbours of a router are in all data centres.
func ringSuccessors(ids []fleet.HostID, self fleet.HostID, count int) []fleet.HostID {
	place := func(id fleet.HostID) uint64 { return rendezvous.Hash(string(id)) }
	slices.SortFunc(ids, func(a, b fleet.HostID) int { return cmp.Or(cmp.Compare(place(a), place(b)), cmp.Compare(a, b)) })
	first, _ := slices.BinarySearchFunc(ids, self, func(a, b fleet.HostID) int {
		return cmp.Or(cmp.Compare(place(a), place(b)), cmp.Compare(a, b))
	})
	next := make([]fleet.HostID, 0, count)
	for i := range min(count, len(ids)) {
		next = append(next, ids[(first+i)%len(ids)])
	}
	return next
}

// exchangeHeartbeat sends a heartbeat to a router and records the one that it returns.
func (p *Presence) exchangeHeartbeat(ctx context.Context, id fleet.HostID, heartbeat Heartbeat, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var answer Heartbeat
	if err := p.transport.Call(ctx, id, methodHeartbeat, heartbeat, &answer); err != nil {
		p.log.Debug("failed to exchange heartbeats with a router", "peer", id, "err", err)
		return
	}
	p.recordHeartbeat(answer)
}

// recordHeartbeat records the heartbeat of another router.
func (p *Presence) recordHeartbeat(heartbeat Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heartbeats[heartbeat.Host.ID] = receivedHeartbeat{heartbeat: heartbeat, receivedAt: time.Now()}
}

// handleHeartbeat answers another router's heartbeat with this router's.
func (p *Presence) handleHeartbeat(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var heartbeat Heartbeat
	if err := decode(&heartbeat); err != nil {
		return nil, err
	}
	p.recordHeartbeat(heartbeat)
	return p.heartbeat(), nil
}
