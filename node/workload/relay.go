package workload

import (
	"context"
	"slices"
	"time"

	"agateswitch/core/balance"
	"agateswitch/core/departure"
	"agateswitch/core/fleet"
	"agateswitch/core/ratelimit"
	"agateswitch/core/warmth"
	"agateswitch/port"
)

// Parameters of relays.
const (
	// relayExchangeInterval is the time between two exchanges of a router with its relay.
	relayExchangeInterval = 200 * time.Millisecond
	// relayBatchDelay, times the number of other relays, is the time over which a relay batches
	// changes into one message. A relay then sends about 80 messages per second, which takes a
	// few hundredths of a core.
	relayBatchDelay = 12 * time.Millisecond
	// relayExchangeTimeout bounds an exchange. Over a slow link some answers take long.
	relayExchangeTimeout = 600 * time.Millisecond
	// relayRetryDelay is how long a relay that did not answer, and may be overloaded, is not used.
	relayRetryDelay = 2 * time.Second
	// maxJournalParts is how many cached parts a relay keeps for its routers: about ten seconds at
	// the target of 2,600 requests per second.
	maxJournalParts = 50000
	// maxPartsPerMessage bounds the cached parts in one message, at about 25 bytes each.
	maxPartsPerMessage = 500
	// maxPendingParts bounds the cached parts that are queued for a message. The queue of a router
	// that reaches no relay would otherwise grow without limit.
	maxPendingParts = 10 * maxPartsPerMessage
)

// journal is a bounded sequence of cached parts. next is the sequence number of the next one, and
// never decreases.
type journal struct {
	parts []warmth.CachedPart
	next  uint64
}

func (j *journal) add(parts []warmth.CachedPart) {
	parts = warmth.WithoutLongIDs(parts)
	j.parts = append(j.parts, parts...)
	j.next += uint64(len(parts))
	if excess := len(j.parts) - maxJournalParts; excess > 0 {
		j.parts = append([]warmth.CachedPart(nil), j.parts[excess:]...)
	}
}

// since returns the parts from a sequence number on, and the number after the last one returned. A
// reader that is new or has fallen behind continues with the newest parts: a router that has
// just started gets the others by its bootstrap, and parts in use are published again.
func (j *journal) since(cursor uint64) ([]warmth.CachedPart, uint64) {
	first := j.next - uint64(len(j.parts))
	if cursor == 0 || cursor < first || cursor > j.next {
		cursor = j.next - uint64(min(len(j.parts), maxPartsPerMessage))
	}
	after := j.parts[cursor-first:]
	after = after[:min(len(after), maxPartsPerMessage)]
	return after, cursor + uint64(len(after))
}

// relayRequest holds a router's message, and the router's position in its relay's journal.
type relayRequest struct {
	Message message `msgpack:"m"`
	Cursor  uint64  `msgpack:"c"`
	// Leaves is true when the router uses another relay from now on. Its message has no load then. A relay of an earlier version
	// keeps the router as a member without load for a while.
	Leaves bool `msgpack:"x,omitempty"`
}

// relayResponse holds the sum of all other routers' load, and new cached parts.
type relayResponse struct {
	Total       map[fleet.UpstreamID]Load `msgpack:"t"`
	CachedParts []warmth.CachedPart       `msgpack:"w,omitempty"`
	Cursor      uint64                    `msgpack:"c"`
	// Incomplete is true if the relay has not got the load of all others yet.
	Incomplete bool `msgpack:"i,omitempty"`
	// Unheard is the number of other relays whose load is not in Total. Relays of earlier versions do not say.
	Unheard int `msgpack:"u,omitempty"`
	// Leaving lists the upstreams that have said lately that they leave.
	Leaving []departure.Mark `msgpack:"d,omitempty"`
	// Displaced lists the upstreams at whose addresses others have answered lately.
	Displaced []departure.Displacement `msgpack:"y,omitempty"`
	// RateLimits lists the rate limits of upstreams that have changed lately.
	RateLimits []ratelimit.Mark `msgpack:"r,omitempty"`
	// Brittle lists the upstreams that have become brittle lately, or sound again.
	Brittle []ratelimit.Mark `msgpack:"b,omitempty"`
	// WorkTimes lists how long work takes at upstreams that state it, where it is not the usual time.
	WorkTimes []balance.WorkTimeMark `msgpack:"v,omitempty"`
}

// exchangeWithRelay sends this router's load and cached parts to a relay, and gets the load of all
// others. If the relay does not answer, the parts and limits are queued again for the next exchange.
func (w *Workload) exchangeWithRelay(ctx context.Context, near []fleet.HostID) {
	relay, found := w.pickRelay(near)
	if !found {
		return
	}
	m := w.messageToRelay()
	if w.queryRelay(ctx, relay, m) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.relayRetryAt[relay] = time.Now().Add(relayRetryDelay)
	w.enqueueParts(m.CachedParts...)
	w.limits.Retell(m.RateLimits)
	w.brittle.Retell(m.Brittle)
}

// pickRelay returns the first relay whose last exchange succeeded or that may be tried again.
func (w *Workload) pickRelay(near []fleet.HostID) (fleet.HostID, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, relay := range near {
		if time.Now().After(w.relayRetryAt[relay]) {
			delete(w.relayRetryAt, relay)
			if w.relay != relay {
				w.relay, w.cursor = relay, 0
			}
			return relay, true
		}
	}
	return "", false
}

// withdraw takes back what other routers still count of this one's load in its former role, or at its former relay, once it
// counts elsewhere. Otherwise it would count twice until they find that this router no longer tells them.
func (w *Workload) withdraw(ctx context.Context) {
	w.mu.Lock()
	if !w.isRelay && w.countedBy == "" {
		w.mu.Unlock()
		return
	}
	relay := w.formerRelay
	peers := slices.DeleteFunc(w.formerPeers, func(id fleet.HostID) bool { return id == w.countedBy })
	w.formerRelay, w.formerPeers = "", nil
	w.mu.Unlock()
	if relay != "" {
		go w.call(ctx, relay, methodRelayExchange, relayRequest{Message: message{Full: true}, Leaves: true}, &relayResponse{})
	}
	for _, peer := range peers {
		go w.call(ctx, peer, methodPublish, message{Full: true}, &struct{}{})
	}
}

// call sends one message. A message that is lost is made up for by a timeout or by a later one.
func (w *Workload) call(ctx context.Context, to fleet.HostID, method string, request, response any) {
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	if err := w.transport.Call(ctx, to, method, request, response); err != nil {
		w.log.Debug("failed to deliver a workload message to a router", "peer", to, "method", method, "err", err)
	}
}

// queryRelay exchanges with one relay, and reports whether it answered.
func (w *Workload) queryRelay(ctx context.Context, relay fleet.HostID, m message) bool {
	ctx, cancel := context.WithTimeout(ctx, relayExchangeTimeout)
	defer cancel()
	w.mu.Lock()
	request := relayRequest{Message: m, Cursor: w.cursor}
	w.mu.Unlock()
	var response relayResponse
	if err := w.transport.Call(ctx, relay, methodRelayExchange, request, &response); err != nil {
		w.log.Info("workload relay did not answer; not using it for a while", "peer", relay, "left_alone", relayRetryDelay, "err", err)
		return false
	}
	w.learnLeaving(response.Leaving)
	w.learnDisplaced(response.Displaced)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setCountedBy(relay)
	// The role may have changed meanwhile.
	if !response.Incomplete && !w.isRelay {
		w.total, w.updatedAt, w.unheardByRelay = response.Total, time.Now(), response.Unheard
		if w.total == nil {
			w.total = map[fleet.UpstreamID]Load{}
		}
	}
	w.cursor = response.Cursor
	w.warm.Merge(response.CachedParts, time.Now())
	w.learnRateLimits(response.RateLimits, false)
	w.learnBrittle(response.Brittle, false)
	w.learnWorkTimes(response.WorkTimes, false)
	return true
}

// removeMember removes the load of a router that uses another relay now.
func (w *Workload) removeMember(id fleet.HostID) {
	w.mu.Lock()
	if peer, found := w.peerLoads[id]; found && peer.isRelayed {
		w.removePeer(id, peer)
	}
	w.mu.Unlock()
	w.notifyChange()
}

// setCountedBy records that a relay counts this router's load from now on; empty means none. Callers hold mu.
func (w *Workload) setCountedBy(relay fleet.HostID) {
	if w.countedBy != "" && w.countedBy != relay {
		w.formerRelay = w.countedBy
	}
	w.countedBy = relay
	if w.formerRelay == relay {
		w.formerRelay = ""
	}
	if w.isRelay && relay != "" {
		// The role has changed during the exchange.
		w.formerRelay, w.countedBy = relay, ""
	}
}

// handleRelayExchange answers a router as its relay.
func (w *Workload) handleRelayExchange(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var request relayRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	if request.Leaves {
		w.removeMember(from)
		return relayResponse{}, nil
	}
	w.learnLeaving(request.Message.Leaving)
	w.learnDisplaced(request.Message.Displaced)
	w.mu.Lock()
	w.learnRateLimits(request.Message.RateLimits, true)
	w.learnBrittle(request.Message.Brittle, true)
	w.learnWorkTimes(request.Message.WorkTimes, true)
	w.setRelay(true, time.Now())
	w.applyMessage(from, request.Message, true)
	w.enqueueParts(request.Message.CachedParts...)
	response := relayResponse{Total: map[fleet.UpstreamID]Load{}, Incomplete: w.isCompleting(time.Now()), Unheard: w.countUnheard()}
	senderLoad := w.peerLoads[from].load
	for upstream, load := range w.total {
		if sum := load.plus(w.own[upstream]).minus(senderLoad[upstream]); sum != (Load{}) {
			response.Total[upstream] = sum
		}
	}
	for upstream, load := range w.own {
		if _, found := w.total[upstream]; !found {
			response.Total[upstream] = load
		}
	}
	response.CachedParts, response.Cursor = w.recentParts.since(request.Cursor)
	response.Leaving, response.Displaced = w.leaving.Told(time.Now()), w.displaced.Told(time.Now())
	response.RateLimits, response.Brittle = w.limits.Recent(time.Now()), w.brittle.Recent(time.Now())
	response.WorkTimes = w.workTimes.Recent(time.Now())
	w.mu.Unlock()
	w.notifyChange()
	return response, nil
}
