package ratelimit

import (
	"maps"
	"math"
	"time"

	"agateswitch/core/fleet"
)

const (
	// keepDuration is how long a mark is kept after the last answer that confirmed it. An upstream with
	// requests answers at least once in 1/MinPerSecond.
	keepDuration = 10 * time.Minute
	// recentDuration is how long a change is repeated to routers that fetch changes at intervals.
	recentDuration = 3 * time.Second
	// maxMarks bounds the upstreams with a mark.
	maxMarks = 4096
	// minNewsRatio is by how much a limit has to change before other routers are told at once.
	minNewsRatio = 0.1
)

// Mark is what an incarnation of an upstream last said of its limit.
type Mark struct {
	Upstream    fleet.UpstreamID `msgpack:"u"`
	Incarnation int64            `msgpack:"i"`
	// PerSecond is the limit. Zero means that the upstream states none any more.
	PerSecond float64 `msgpack:"l"`
	// AgeMs is the time since the answer that states the limit arrived, or since the request was sent whose
	// answer states none.
	AgeMs int64 `msgpack:"a"`
}

// Marks holds the limits of all upstreams, as one router knows them. Merging marks of other routers is
// commutative and idempotent. It is not safe for concurrent use. The zero value is empty.
type Marks struct {
	known map[fleet.UpstreamID]*known
	// news holds the upstreams whose marks the other routers have not been told.
	news map[fleet.UpstreamID]bool
	// limited holds the incarnations that have a limit. It is replaced, never changed.
	limited map[fleet.UpstreamID]int64
}

// known is what is known of the newest incarnation of an upstream.
type known struct {
	incarnation int64
	perSecond   float64
	// statedAt is when the last answer with a limit arrived, and endedAt when the last request was sent
	// whose answer had none. An answer without a limit ends only those that were stated before its
	// request was sent, since answers overtake each other.
	statedAt, endedAt time.Time
	// changedAt is the last change that is news, and toldPerSecond the limit then.
	changedAt     time.Time
	toldPerSecond float64
}

func (k *known) inForce() bool { return !k.statedAt.IsZero() && !k.statedAt.Before(k.endedAt) }

// current returns the limit, or zero if there is none.
func (k *known) current() float64 {
	if k.inForce() {
		return k.perSecond
	}
	return 0
}

func (k *known) mark(upstream fleet.UpstreamID, now time.Time) Mark {
	at := k.endedAt
	if k.inForce() {
		at = k.statedAt
	}
	return Mark{Upstream: upstream, Incarnation: k.incarnation, PerSecond: k.current(), AgeMs: now.Sub(at).Milliseconds()}
}

func (k *known) lastHeard() time.Time {
	if k.endedAt.After(k.statedAt) {
		return k.endedAt
	}
	return k.statedAt
}

// State records that an answer states a limit. It reports whether that is news for other routers.
func (m *Marks) State(upstream fleet.UpstreamID, incarnation int64, perSecond float64, now time.Time) bool {
	isNew := m.apply(upstream, incarnation, perSecond, now, now)
	if isNew {
		m.tell(upstream)
	}
	return isNew
}

// End records that an answer states no limit, whose request was sent at sentAt. It reports whether that is
// news for other routers.
func (m *Marks) End(upstream fleet.UpstreamID, incarnation int64, sentAt, now time.Time) bool {
	if k, found := m.known[upstream]; !found || k.incarnation != incarnation {
		return false
	}
	isNew := m.apply(upstream, incarnation, 0, sentAt, now)
	if isNew {
		m.tell(upstream)
	}
	return isNew
}

// Merge adds a mark of another router. It reports whether it was news here. If retell is true, news are told to
// other routers, too.
func (m *Marks) Merge(mark Mark, now time.Time, retell bool) bool {
	perSecond, usable := Clamp(mark.PerSecond)
	if !usable {
		return false
	}
	if mark.PerSecond == 0 {
		perSecond = 0
	}
	at := now.Add(-time.Duration(max(0, mark.AgeMs)) * time.Millisecond)
	if now.Sub(at) > keepDuration {
		return false
	}
	isNew := m.apply(mark.Upstream, mark.Incarnation, perSecond, at, now)
	if isNew && retell {
		m.tell(mark.Upstream)
	}
	return isNew
}

// apply applies a limit that was stated, or ended if it is zero, at a time.
func (m *Marks) apply(upstream fleet.UpstreamID, incarnation int64, perSecond float64, at, now time.Time) bool {
	k, found := m.known[upstream]
	if found && incarnation < k.incarnation {
		return false
	}
	if !found || incarnation > k.incarnation {
		if !found && !m.makeRoom(now) {
			return false
		}
		k = &known{incarnation: incarnation}
		m.known[upstream] = k
	}
	defer m.updateLimited(upstream, k)
	switch {
	case perSecond == 0 && at.After(k.endedAt):
		k.endedAt = at
	case perSecond > 0 && at.After(k.statedAt):
		k.statedAt, k.perSecond = at, perSecond
	}
	if !isNews(k.toldPerSecond, k.current()) {
		return false
	}
	k.changedAt, k.toldPerSecond = now, k.current()
	return true
}

func (m *Marks) tell(upstream fleet.UpstreamID) {
	if m.news == nil {
		m.news = map[fleet.UpstreamID]bool{}
	}
	m.news[upstream] = true
}

// Retell makes marks news again that did not reach another router.
func (m *Marks) Retell(marks []Mark) {
	for _, mark := range marks {
		m.tell(mark.Upstream)
	}
}

// updateLimited replaces limited after a change of one mark.
func (m *Marks) updateLimited(upstream fleet.UpstreamID, k *known) {
	incarnation, wasLimited := m.limited[upstream]
	if wasLimited == k.inForce() && (!wasLimited || incarnation == k.incarnation) {
		return
	}
	limited := map[fleet.UpstreamID]int64{}
	for upstream, k := range m.known {
		if k.inForce() {
			limited[upstream] = k.incarnation
		}
	}
	m.limited = limited
}

// Limited returns the incarnations of upstreams that have a limit. The map must not be changed.
func (m *Marks) Limited() map[fleet.UpstreamID]int64 { return m.limited }

// isNews reports whether the change from one limit to another matters to other routers at once.
func isNews(from, to float64) bool {
	if from == 0 || to == 0 {
		return from != to
	}
	return math.Abs(to-from) > minNewsRatio*from
}

// makeRoom removes old marks. It reports false if there are too many of them even so.
func (m *Marks) makeRoom(now time.Time) bool {
	if m.known == nil {
		m.known = map[fleet.UpstreamID]*known{}
	}
	maps.DeleteFunc(m.known, func(_ fleet.UpstreamID, k *known) bool { return now.Sub(k.lastHeard()) > keepDuration })
	return len(m.known) < maxMarks
}

// Limit returns the limit of an incarnation of an upstream, in requests per second, or false if it has none.
func (m *Marks) Limit(upstream fleet.UpstreamID, incarnation int64) (float64, bool) {
	k, found := m.known[upstream]
	if !found || k.incarnation != incarnation || !k.inForce() {
		return 0, false
	}
	return k.perSecond, true
}

// Mark returns the mark of an incarnation of an upstream, or false if there is none.
func (m *Marks) Mark(upstream fleet.UpstreamID, incarnation int64, now time.Time) (Mark, bool) {
	k, found := m.known[upstream]
	if !found || k.incarnation != incarnation {
		return Mark{}, false
	}
	return k.mark(upstream, now), true
}

// TakeNews returns the marks that other routers have not been told, and regards them as told.
func (m *Marks) TakeNews(now time.Time) []Mark {
	var marks []Mark
	for upstream := range m.news {
		if k, found := m.known[upstream]; found {
			marks = append(marks, k.mark(upstream, now))
		}
	}
	m.news = nil
	return marks
}

// Recent returns the marks that have changed lately.
func (m *Marks) Recent(now time.Time) []Mark {
	return m.selected(now, func(k *known) bool { return now.Sub(k.changedAt) <= recentDuration })
}

// InForce returns the marks of all upstreams that have a limit.
func (m *Marks) InForce(now time.Time) []Mark { return m.selected(now, (*known).inForce) }

func (m *Marks) selected(now time.Time, include func(*known) bool) []Mark {
	var marks []Mark
	for upstream, k := range m.known {
		if include(k) {
			marks = append(marks, k.mark(upstream, now))
		}
	}
	return marks
}
