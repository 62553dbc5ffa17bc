package rollout

import (
	"maps"
	"slices"
	"time"
)

// Bounds of a History.
const (
	// maxPeriods is how many periods the duration of a move is divided into. Evidence that comes after it has a few more.
	maxPeriods = 64
	// minPeriod is the shortest period.
	minPeriod = time.Second
	// maxObservers is how many observers are distinguished. Reports of further ones are not checked for repetitions.
	maxObservers = 4096
	// reorderWindow is how many reports after another one a report is still accepted.
	reorderWindow = 64
)

// Observer names a process that counts evidence. A router that starts again is another one.
type Observer string

// Report is the evidence that an observer has counted since its report before. The first one has the number 1. Number 0 stands
// for reports of earlier versions, which are not numbered.
type Report struct {
	Observer Observer
	Number   uint64
	Pairs    []Pair
}

// Received states which reports of an observer were received: Highest is the highest number, and bit i of Recent
// is set if the report Highest-i was received, too.
type Received struct {
	Highest uint64 `msgpack:"h"`
	Recent  uint64 `msgpack:"r"`
}

// add adds a number. It reports false if it was added before, or is too old to tell.
func (r *Received) add(number uint64) bool {
	switch {
	case number > r.Highest:
		r.Recent = r.Recent<<(number-r.Highest) | 1
		r.Highest = number
		return true
	case r.Highest-number >= reorderWindow, r.Recent>>(r.Highest-number)&1 == 1:
		return false
	}
	r.Recent |= 1 << (r.Highest - number)
	return true
}

// History holds all evidence about a short move that a router has received, by the time since its order, so that it can be handed
// to a router that starts during the move. Each report counts once. It is not safe for concurrent use.
type History struct {
	period   time.Duration
	received map[Observer]*Received
	periods  map[int]*Evidence
}

// NewHistory returns the empty history of a move with the given duration.
func NewHistory(duration time.Duration) *History {
	return &History{period: max(minPeriod, duration/maxPeriods), received: map[Observer]*Received{}, periods: map[int]*Evidence{}}
}

// Add adds a report that arrived age after the move's order. It reports false if the report is there already.
func (h *History) Add(age time.Duration, report Report) bool {
	if report.Number > 0 && !h.isNew(report) {
		return false
	}
	if len(report.Pairs) > 0 {
		h.evidenceAt(age).Merge(report.Pairs)
	}
	return true
}

func (h *History) isNew(report Report) bool {
	received, found := h.received[report.Observer]
	if !found && len(h.received) >= maxObservers {
		return true
	}
	if !found {
		received = &Received{}
		h.received[report.Observer] = received
	}
	return received.add(report.Number)
}

func (h *History) evidenceAt(age time.Duration) *Evidence {
	index := min(int(max(age, 0)/h.period), 2*maxPeriods)
	evidence, found := h.periods[index]
	if !found {
		evidence = &Evidence{}
		h.periods[index] = evidence
	}
	return evidence
}

// Observers returns how many observers have reported.
func (h *History) Observers() int { return len(h.received) }

// Period is the evidence of one period.
type Period struct {
	// Index is the number of periods between the order and this one.
	Index int    `msgpack:"i"`
	Pairs []Pair `msgpack:"p"`
}

// Snapshot is a copy of a history.
type Snapshot struct {
	Received map[Observer]Received `msgpack:"received"`
	// Periods are in the order of time. Those without evidence are left out.
	Periods []Period `msgpack:"periods"`
}

// Snapshot returns a copy of the history.
func (h *History) Snapshot() Snapshot {
	snapshot := Snapshot{Received: make(map[Observer]Received, len(h.received))}
	for observer, received := range h.received {
		snapshot.Received[observer] = *received
	}
	for _, index := range slices.Sorted(maps.Keys(h.periods)) {
		snapshot.Periods = append(snapshot.Periods, Period{Index: index, Pairs: h.periods[index].Pairs()})
	}
	return snapshot
}

// Restore replaces the history by a snapshot, and calls replay with the evidence of each period, given the time since the order
// at which it began.
func (h *History) Restore(snapshot Snapshot, replay func(age time.Duration, pairs []Pair)) {
	h.received = make(map[Observer]*Received, len(snapshot.Received))
	for observer, received := range snapshot.Received {
		h.received[observer] = &received
	}
	h.periods = make(map[int]*Evidence, len(snapshot.Periods))
	for _, period := range snapshot.Periods {
		age := time.Duration(min(max(period.Index, 0), 2*maxPeriods)) * h.period
		h.evidenceAt(age).Merge(period.Pairs)
		replay(age, period.Pairs)
	}
}

// Requests returns how many requests on both versions have ended.
func (s Snapshot) Requests() (requests int) {
	for _, period := range s.Periods {
		for _, pair := range period.Pairs {
			requests += int(pair.Old.Requests + pair.New.Requests)
		}
	}
	return requests
}
