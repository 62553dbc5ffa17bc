package presence

import (
	"context"
	"slices"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"
)

// Heartbeat is what routers tell each other.
type Heartbeat struct {
	Host    fleet.Host `msgpack:"host"`
	Leaving bool       `msgpack:"leaving,omitempty"`
}

// heard is the last heartbeat of a router.
type heard struct {
	heartbeat Heartbeat
	at        time.Time
}

// heartbeat makes this router's heartbeat.
func (p *Presence) heartbeat() Heartbeat {
	return Heartbeat{Host: p.self, Leaving: p.leaving.Load()}
}

// sendHeartbeats exchanges heartbeats with the routers whose id comes after this one's: the others begin
// the exchange themselves. A leaving router tells all.
func (p *Presence) sendHeartbeats(ctx context.Context) {
	heartbeat := p.heartbeat()
	for _, id := range p.heartbeatTargets(heartbeat.Leaving) {
		go p.exchange(ctx, id, heartbeat)
	}
}

func (p *Presence) heartbeatTargets(all bool) []fleet.HostID {
	p.mu.Lock()
	defer p.mu.Unlock()
	var targets []fleet.HostID
	for id := range p.listed {
		if id > p.self.ID || (all || len(p.listed) > directFleet) && id != p.self.ID {
			targets = append(targets, id)
		}
	}
	for id, last := range p.heard {
		if _, listed := p.listed[id]; !listed && id > p.self.ID && time.Since(last.at) < leaseTime {
			targets = append(targets, id)
		}
		if time.Since(last.at) > time.Minute {
			delete(p.heard, id)
		}
	}
	if all || len(p.listed) <= directFleet {
		return targets
	}
	return nextOf(targets, p.self.ID, neighbours)
}

// nextOf returns the ids that follow one in a ring.
func nextOf(ids []fleet.HostID, self fleet.HostID, count int) []fleet.HostID {
	slices.Sort(ids)
	first, _ := slices.BinarySearch(ids, self)
	next := make([]fleet.HostID, 0, count)
	for i := range min(count, len(ids)) {
		next = append(next, ids[(first+i)%len(ids)])
	}
	return next
}

func (p *Presence) exchange(ctx context.Context, id fleet.HostID, heartbeat Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var answer Heartbeat
	if err := p.transport.Call(ctx, id, methodHeartbeat, heartbeat, &answer); err != nil {
		p.log.Debug("no heartbeat", "peer", id, "err", err)
		return
	}
	p.hear(answer)
}

func (p *Presence) hear(heartbeat Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[heartbeat.Host.ID] = heard{heartbeat: heartbeat, at: time.Now()}
}

func (p *Presence) answerHeartbeat(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var heartbeat Heartbeat
	if err := decode(&heartbeat); err != nil {
		return nil, err
	}
	p.hear(heartbeat)
	return p.heartbeat(), nil
}
