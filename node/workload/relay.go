package workload

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/warmth"
	"agateswitch/port"
)

const (
	// gatherInterval is the time between two exchanges of a router with its relay.
	gatherInterval = 125 * time.Millisecond
	// relayPause, for each other relay, gathers what changes within it into one message. A relay
	// then sends about 80 a second, a few hundredths of a core.
	relayPause = 12 * time.Millisecond
	// gatherTimeout bounds an exchange. A relay on a slow link answers some late.
	gatherTimeout = 600 * time.Millisecond
	// avoidTime is how long a relay that did not answer is left alone. It may be overloaded.
	avoidTime = 2 * time.Second
	// maxJournal is how many placements a relay keeps for routers that ask: some ten seconds of
	// the target's 2,600 requests a second.
	maxJournal = 50000
	// maxPlacements bounds the placements of one message, at about 25 bytes each.
	maxPlacements = 500
	// maxUntold is how many placements wait for a message. Those of a router that reaches no
	// relay would else pile up.
	maxUntold = 10 * maxPlacements
)

// journal is a bounded sequence of placements. The number of the next one only grows.
type journal struct {
	placements []warmth.CachedPart
	next       uint64
}

func (j *journal) add(placements []warmth.CachedPart) {
	j.placements = append(j.placements, placements...)
	j.next += uint64(len(placements))
	if excess := len(j.placements) - maxJournal; excess > 0 {
		j.placements = append([]warmth.CachedPart(nil), j.placements[excess:]...)
	}
}

// since returns the placements from a number on, and the number after the last one returned. A
// reader that begins or has fallen behind goes on with the newest ones: a started router learns
// the others from one that knows, and uses of a part return.
func (j *journal) since(cursor uint64) ([]warmth.CachedPart, uint64) {
	first := j.next - uint64(len(j.placements))
	if cursor == 0 || cursor < first || cursor > j.next {
		cursor = j.next - uint64(min(len(j.placements), maxPlacements))
	}
	after := j.placements[cursor-first:]
	after = after[:min(len(after), maxPlacements)]
	return after, cursor + uint64(len(after))
}

// gatherRequest is a router's figures, and how far it has read its relay's journal.
type gatherRequest struct {
	Message message `msgpack:"m"`
	Cursor  uint64  `msgpack:"c"`
}

// gatherAnswer is the sum of all other routers' figures, and new placements.
type gatherAnswer struct {
	Total  map[fleet.UpstreamID]Load `msgpack:"t"`
	Warm   []warmth.CachedPart       `msgpack:"w,omitempty"`
	Cursor uint64                    `msgpack:"c"`
}

// gather gives this router's figures to its relay for the sum of all.
func (w *Workload) gather(ctx context.Context, near []fleet.HostID) {
	relay, found := w.pickRelay(near)
	if !found {
		return
	}
	m := w.takeOwn()
	if w.gatherFrom(ctx, relay, m) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.avoided[relay] = time.Now().Add(avoidTime)
	w.place(m.Warm...)
}

// pickRelay returns the first relay that has answered lately or may be tried again.
func (w *Workload) pickRelay(near []fleet.HostID) (fleet.HostID, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, relay := range near {
		if time.Now().After(w.avoided[relay]) {
			delete(w.avoided, relay)
			if w.relay != relay {
				w.relay, w.cursor = relay, 0
			}
			return relay, true
		}
	}
	return "", false
}

func (w *Workload) gatherFrom(ctx context.Context, relay fleet.HostID, m message) bool {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	w.mu.Lock()
	request := gatherRequest{Message: m, Cursor: w.cursor}
	w.mu.Unlock()
	var answer gatherAnswer
	if err := w.transport.Call(ctx, relay, methodGather, request, &answer); err != nil {
		w.log.Info("relay of the workload did not answer", "peer", relay, "left_alone", avoidTime, "err", err)
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.total = answer.Total
	if w.total == nil {
		w.total = map[fleet.UpstreamID]Load{}
	}
	w.cursor = answer.Cursor
	w.warm.Merge(answer.Warm, time.Now())
	return true
}

// gathered answers a router as its relay.
func (w *Workload) gathered(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var request gatherRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	w.mu.Lock()
	w.takeFrom(from, request.Message, true)
	w.place(request.Message.Warm...)
	answer := gatherAnswer{Total: map[fleet.UpstreamID]Load{}}
	asking := w.others[from].load
	for upstream, load := range w.total {
		if sum := load.plus(w.own[upstream]).minus(asking[upstream]); sum != (Load{}) {
			answer.Total[upstream] = sum
		}
	}
	for upstream, load := range w.own {
		if _, found := w.total[upstream]; !found {
			answer.Total[upstream] = load
		}
	}
	answer.Warm, answer.Cursor = w.heard.since(request.Cursor)
	w.mu.Unlock()
	w.wake()
	return answer, nil
}
