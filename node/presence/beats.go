package presence

import (
	"context"
	"slices"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"
)

// Beat is what routers tell each other.
type Beat struct {
	Host    fleet.Host `msgpack:"host"`
	Leaving bool       `msgpack:"leaving,omitempty"`
}

// heard is the last beat of a router.
type heard struct {
	beat Beat
	at   time.Time
}

// beat makes this router's beat.
func (p *Presence) beat() Beat {
	return Beat{Host: p.self, Leaving: p.leaving.Load()}
}

// sendBeats exchanges beats with the routers whose id comes after this one's: the others begin
// the exchange themselves. A leaving router tells all.
func (p *Presence) sendBeats(ctx context.Context) {
	beat := p.beat()
	for _, id := range p.beatTargets(beat.Leaving) {
		go p.exchange(ctx, id, beat)
	}
}

func (p *Presence) beatTargets(all bool) []fleet.HostID {
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

func (p *Presence) exchange(ctx context.Context, id fleet.HostID, beat Beat) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	var answer Beat
	if err := p.transport.Call(ctx, id, methodBeat, beat, &answer); err != nil {
		p.log.Debug("no beat", "peer", id, "err", err)
		return
	}
	p.hear(answer)
}

func (p *Presence) hear(beat Beat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[beat.Host.ID] = heard{beat: beat, at: time.Now()}
}

func (p *Presence) answerBeat(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var beat Beat
	if err := decode(&beat); err != nil {
		return nil, err
	}
	p.hear(beat)
	return p.beat(), nil
}
