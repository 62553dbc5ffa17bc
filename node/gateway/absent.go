package gateway

import (
	"maps"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/pace"
	"agateswitch/port"
)

const (
	// absentTime is how long an upstream without a valid entry is remembered. No pause is longer.
	absentTime = pace.MaxPause
	// maxAbsent bounds the upstreams that are remembered.
	maxAbsent = 4096
)

// absentEngines holds upstreams whose entries have lapsed or could not be decoded. What an incarnation has said of itself, and
// what was found of it, still holds when its entry returns. The zero value is empty.
type absentEngines struct {
	byID map[fleet.UpstreamID]absentEngine
}

type absentEngine struct {
	engine *engine
	since  time.Time
}

// put remembers an upstream whose entry is gone.
func (a *absentEngines) put(e *engine, now time.Time) {
	if a.byID == nil {
		a.byID = map[fleet.UpstreamID]absentEngine{}
	}
	if len(a.byID) >= maxAbsent {
		maps.DeleteFunc(a.byID, func(_ fleet.UpstreamID, absent absentEngine) bool { return now.Sub(absent.since) > absentTime })
	}
	if len(a.byID) < maxAbsent {
		a.byID[e.id] = absentEngine{engine: e, since: now}
	}
}

// take returns the upstream of an entry, if it is remembered, and forgets it.
func (a *absentEngines) take(entry port.EngineEntry, now time.Time) (*engine, bool) {
	absent, found := a.byID[entry.Upstream.ID]
	delete(a.byID, entry.Upstream.ID)
	return absent.engine, found && now.Sub(absent.since) <= absentTime
}
