package workload

import (
	"context"
	"maps"
	"slices"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/warmth"
	"agateswitch/port"
)

// messageToRelay returns a router's message to its relay.
func (w *Workload) messageToRelay() message {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	return message{
		Load: maps.Clone(w.own), Full: true, CachedParts: w.takePendingParts(), Leaving: w.leaving.Told(now), Displaced: w.displaced.Told(now),
		RateLimits: w.limits.TakeNews(now), Brittle: w.brittle.TakeNews(now), WorkTimes: w.workTimes.TakeNews(now),
	}
}

// nextMessage returns the next message of a relay, for itself and the routers for which it is the
// relay.
func (w *Workload) nextMessage(full bool) message {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	m := message{
		Load: map[fleet.UpstreamID]Load{}, Full: full, CachedParts: w.takePendingParts(), Leaving: w.leaving.Told(now), Displaced: w.displaced.Told(now),
		RateLimits: w.limits.TakeNews(now), Brittle: w.brittle.TakeNews(now), WorkTimes: w.workTimes.TakeNews(now),
	}
	if full {
		// A message with the news may have been lost.
		m.RateLimits, m.Brittle = w.limits.Recent(now), w.brittle.Recent(now)
		for upstream := range w.own {
			w.changed[upstream] = true
		}
		for upstream := range w.relayedTotal {
			w.changed[upstream] = true
		}
	}
	for upstream := range w.changed {
		m.Load[upstream] = w.own[upstream].plus(w.relayedTotal[upstream])
	}
	w.changed = map[fleet.UpstreamID]bool{}
	if !w.isDirect {
		w.recentParts.add(m.CachedParts)
	}
	return m
}

// takePendingParts removes and returns the cached parts for the next message. Callers hold mu.
func (w *Workload) takePendingParts() []warmth.CachedPart {
	count := min(len(w.pendingParts), maxPartsPerMessage)
	parts := w.pendingParts[:count:count]
	w.pendingParts = w.pendingParts[count:]
	return parts
}

// publish sends the next message to the given routers.
func (w *Workload) publish(ctx context.Context, others []fleet.HostID, full bool) {
	m := w.nextMessage(full)
	w.mu.Lock()
	w.publishedTo = slices.Clone(others)
	w.mu.Unlock()
	for _, other := range others {
		go w.call(ctx, other, methodPublish, m, &struct{}{})
	}
}

// handlePublish handles a message of another router.
func (w *Workload) handlePublish(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var m message
	if err := decode(&m); err != nil {
		return nil, err
	}
	w.learnLeaving(m.Leaving)
	w.learnDisplaced(m.Displaced)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.learnRateLimits(m.RateLimits, false)
	w.learnBrittle(m.Brittle, false)
	w.learnWorkTimes(m.WorkTimes, false)
	if w.isRelay {
		w.applyMessage(from, m, false)
	} else {
		// The load that this router's relay tells has the sender's in it.
		w.warm.Merge(m.CachedParts, time.Now())
	}
	if !w.isDirect {
		w.recentParts.add(m.CachedParts)
	}
	return struct{}{}, nil
}
