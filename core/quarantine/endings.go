package quarantine

import (
	"slices"
	"time"

	"agateswitch/core/fleet"
)

// share returns the part's share of the pool's requests, as the routers at which it ended engines have counted it. What a router tells later
// contains what it told before.
func (r *record) share() Share {
	var share Share
	latest := map[fleet.HostID]Share{}
	for _, end := range r.ends {
		switch {
		case end.teller == "":
			share = share.plus(end.share)
		case end.share.Of >= latest[end.teller].Of:
			latest[end.teller] = end.share
		}
	}
	for _, told := range latest {
		share = share.plus(told)
	}
	return share
}

// pool returns the pool of the engines that ended; empty if it is unknown.
func (r *record) pool() fleet.PoolID {
	for _, end := range r.ends {
		if end.pool != "" {
			return end.pool
		}
	}
	return ""
}

// has reports whether the end of an engine counts against the part.
func (r *record) has(engine Engine) bool {
	return slices.ContainsFunc(r.ends, func(end engineEnd) bool { return end.engine == engine })
}

type engineEnd struct {
	engine Engine
	at     time.Time
	next   Part
	alone  bool
	pool   fleet.PoolID
	load   int
	share  Share
	teller fleet.HostID
	manner Manner
}

// ending is the end of an engine, whatever it worked on.
type ending struct {
	at     time.Time
	pool   fleet.PoolID
	load   int
	manner Manner
}

// AddEnding adds the end of an engine, whatever it worked on, and reports whether it is new. An end from before an answer that is told late
// doesn't count. An end in work says more than others, which may show later than the engine ended.
func (e *Evidence) AddEnding(end End) bool {
	known, found := e.ended[end.Engine]
	isNew := !found || !known.manner.IsInWork() && end.Manner.IsInWork()
	if end.At.Before(e.refuted[end.Engine]) || !found && len(e.ended) >= maxEndings || !isNew && !end.Manner.IsInWork() {
		return false
	}
	if isNew {
		known.at, known.manner = end.At, end.Manner
	}
	if end.At.Before(known.at) {
		known.at = end.At
	}
	if known.pool == "" {
		known.pool = end.Pool
	}
	known.load = max(known.load, end.Load)
	e.ended[end.Engine] = known
	if isNew {
		e.changes++
	}
	return isNew
}

// Endings returns the ends of engines in work, for a router that starts.
func (e *Evidence) Endings(now time.Time) []End {
	var all []End
	for engine, ended := range e.ended {
		if ended.manner.IsInWork() && now.Sub(ended.at) <= maxEndAge {
			all = append(all, End{Engine: engine, At: ended.at, Pool: ended.pool, Load: ended.load, Manner: ended.manner})
		}
	}
	return all
}
