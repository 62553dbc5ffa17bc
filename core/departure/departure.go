// Package departure keeps which upstreams have said in their answers that they leave. Routers tell
// each other, so that one which has had no answer from an upstream learns it before the store has the
// upstream's leave mark.
package departure

import (
	"slices"
	"time"

	"agateswitch/core/fleet"
)

const (
	// tellDuration is how long a mark is told to other routers. Each message repeats it, so that one
	// that was lost does not matter.
	tellDuration = 30 * time.Second
	// maxTold bounds the marks in one message; the newest are told.
	maxTold = 64
	// keepDuration is how long a mark is kept. An upstream that leaves ends within its grace period.
	keepDuration = 30 * time.Minute
)

// Mark states that an incarnation of an upstream leaves.
type Mark struct {
	Upstream    fleet.UpstreamID `msgpack:"u"`
	Incarnation int64            `msgpack:"i"`
	// AgeMs is the time since the upstream said so.
	AgeMs int64 `msgpack:"a"`
}

// Marks holds the marks that a router knows. It is not safe for concurrent use. The zero value is
// empty.
type Marks struct {
	marked map[fleet.UpstreamID]known
}

// known is the newest incarnation of an upstream that leaves, and when it said so.
type known struct {
	incarnation int64
	at          time.Time
}

// Add adds a mark. It reports whether the mark is new.
func (m *Marks) Add(mark Mark, now time.Time) bool {
	m.prune(now)
	at := now.Add(-time.Duration(max(0, mark.AgeMs)) * time.Millisecond)
	if now.Sub(at) > keepDuration || m.Has(mark.Upstream, mark.Incarnation) {
		return false
	}
	if m.marked == nil {
		m.marked = map[fleet.UpstreamID]known{}
	}
	m.marked[mark.Upstream] = known{incarnation: mark.Incarnation, at: at}
	return true
}

// Has reports whether an incarnation of an upstream leaves. Incarnations before one that leaves have
// ended.
func (m *Marks) Has(upstream fleet.UpstreamID, incarnation int64) bool {
	newest, found := m.marked[upstream]
	return found && incarnation <= newest.incarnation
}

// Told returns the marks to tell other routers, the newest first.
func (m *Marks) Told(now time.Time) []Mark {
	var told []Mark
	for upstream, k := range m.marked {
		if age := now.Sub(k.at); age <= tellDuration {
			told = append(told, Mark{Upstream: upstream, Incarnation: k.incarnation, AgeMs: age.Milliseconds()})
		}
	}
	slices.SortFunc(told, func(a, b Mark) int { return int(a.AgeMs - b.AgeMs) })
	return told[:min(len(told), maxTold)]
}

func (m *Marks) prune(now time.Time) {
	for upstream, k := range m.marked {
		if now.Sub(k.at) > keepDuration {
			delete(m.marked, upstream)
		}
	}
}
