package workload

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
	"agateswitch/core/warmth"
	"agateswitch/port"
)

const (
	// collectorKey names the duty of the collector in the routers' rendezvous order.
	collectorKey = "workload collector"
	// maxJournal is how many placements a collector keeps for routers that ask: some ten
	// seconds of the target's 2,600 requests a second.
	maxJournal = 50000
	// maxPlacements bounds the placements of one answer, at about 30 bytes each.
	maxPlacements = 2000
)

// journal is a bounded sequence of placements. The number of the next one only grows.
type journal struct {
	placements []warmth.Placement
	next       uint64
}

func (j *journal) add(placements []warmth.Placement) {
	j.placements = append(j.placements, placements...)
	j.next += uint64(len(placements))
	if excess := len(j.placements) - maxJournal; excess > 0 {
		j.placements = append([]warmth.Placement(nil), j.placements[excess:]...)
	}
}

// since returns the placements from a number on, and the number after the last one returned.
func (j *journal) since(cursor uint64) ([]warmth.Placement, uint64) {
	first := j.next - uint64(len(j.placements))
	if cursor < first || cursor > j.next {
		cursor = first
	}
	after := j.placements[cursor-first:]
	after = after[:min(len(after), maxPlacements)]
	return after, cursor + uint64(len(after))
}

// collectRequest is a router's figures, and how far it has read the collector's journal.
type collectRequest struct {
	Message message `msgpack:"m"`
	Cursor  uint64  `msgpack:"c"`
}

// collectAnswer is the sum of all other routers' figures, and new placements.
type collectAnswer struct {
	Total  map[fleet.UpstreamID]Load `msgpack:"t"`
	Warm   []warmth.Placement        `msgpack:"w,omitempty"`
	Cursor uint64                    `msgpack:"c"`
}

// exchange gives this router's figures to the collector for the sum of all. A collector that
// does not answer is followed by the next one in the order.
func (w *Workload) exchange(ctx context.Context) {
	m := w.take(true)
	order := w.collectors()
	for _, collector := range order[:min(2, len(order))] {
		if collector == w.self {
			w.collectOwn(m)
			return
		}
		if w.exchangeWith(ctx, collector, m) {
			return
		}
	}
}

// collectors returns the routers in the order of the collector's duty.
func (w *Workload) collectors() []fleet.HostID {
	names := []string{string(w.self)}
	for _, other := range w.peers.Others() {
		names = append(names, string(other))
	}
	var order []fleet.HostID
	for _, name := range rendezvous.Order(collectorKey, names) {
		order = append(order, fleet.HostID(name))
	}
	return order
}

// collectOwn is an exchange of the collector with itself.
func (w *Workload) collectOwn(m message) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.collected.add(m.Warm)
}

func (w *Workload) exchangeWith(ctx context.Context, collector fleet.HostID, m message) bool {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	w.mu.Lock()
	if w.collector != collector {
		w.collector, w.cursor = collector, 0
	}
	request := collectRequest{Message: m, Cursor: w.cursor}
	w.mu.Unlock()
	var answer collectAnswer
	if err := w.transport.Call(ctx, collector, methodCollect, request, &answer); err != nil {
		w.log.Info("collector of the workload did not answer", "peer", collector, "err", err)
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.total, w.others = answer.Total, map[fleet.HostID]*figures{}
	if w.total == nil {
		w.total = map[fleet.UpstreamID]Load{}
	}
	w.cursor = answer.Cursor
	w.warm.Add(answer.Warm, time.Now())
	return true
}

// collect answers a router as its collector.
func (w *Workload) collect(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var request collectRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.takeFrom(from, request.Message)
	w.collected.add(request.Message.Warm)
	answer := collectAnswer{Total: map[fleet.UpstreamID]Load{}}
	for upstream, load := range w.total {
		answer.Total[upstream] = load.plus(w.own[upstream]).minus(w.others[from].load[upstream])
	}
	for upstream, load := range w.own {
		if _, found := answer.Total[upstream]; !found {
			answer.Total[upstream] = load
		}
	}
	answer.Warm, answer.Cursor = w.collected.since(request.Cursor)
	return answer, nil
}
