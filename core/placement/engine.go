package placement

import (
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
)

// engine is what the owner knows of one upstream.
type engine struct {
	fleet.Upstream
	hash   uint64
	weight float64
	ramp   ramp
	// work and running count this owner's grants, adopted ones included.
	work    fleet.Work
	running int
	// adopted counts the grants of earlier owners among running.
	adopted int
	// foreignWork and foreignRunning are load that the last report shows beyond own grants.
	foreignWork    fleet.Work
	foreignRunning int
	// learnBy is when the owner trusts its state of an upstream that has not reported.
	learnBy    time.Time
	reported   bool
	reportedAt time.Time
	last       fleet.LoadReport
}

func newEngine(now time.Time, upstream fleet.Upstream, settings Settings) *engine {
	return &engine{
		Upstream: upstream, hash: rendezvous.Hash(string(upstream.ID)), weight: weightOf(upstream),
		ramp: newRamp(settings), learnBy: now.Add(LearnWindow),
	}
}

// load is the work that the upstream bears, as far as the owner knows.
func (e *engine) load() fleet.Work { return e.work + e.foreignWork }

// busy is the number of requests that the upstream bears, as far as the owner knows.
func (e *engine) busy() int { return e.running + e.foreignRunning }

// limit is how many requests the upstream may bear now.
func (e *engine) limit(now time.Time) int {
	if e.isLearning(now) {
		return min(e.ramp.allowed, e.ramp.cold+e.adopted)
	}
	return e.ramp.allowed
}

// isLearning is true while the owner may miss load that earlier owners granted.
func (e *engine) isLearning(now time.Time) bool {
	return !e.reported && now.Before(e.learnBy)
}

// isFull is true when the upstream may take no further request.
func (e *engine) isFull(now time.Time) bool { return e.busy() >= e.limit(now) }

// isBearing is true when the upstream counts in the mean: it takes work, or it has taken all
// that it bears when warm. One that is held at its cold-start limit does not count.
func (e *engine) isBearing(now time.Time) bool {
	return !e.isFull(now) || !e.ramp.isCold()
}

func (e *engine) take(work fleet.Work) {
	e.work += work
	e.running++
}

func (e *engine) adopt(work fleet.Work) {
	e.take(work)
	e.adopted++
	// A grant that is announced was in the foreign load of the last report.
	e.foreignWork = max(0, e.foreignWork-work)
	e.foreignRunning = max(0, e.foreignRunning-1)
	e.ramp.prove(e.running)
}

func (e *engine) give(grant held) {
	e.work -= grant.work
	e.running--
	if grant.adopted {
		e.adopted--
	}
}

// report takes a load report and tells whether the upstream has restarted.
func (e *engine) report(now time.Time, report fleet.LoadReport) (restarted bool) {
	restarted = e.restartSign(report)
	if !e.reported && !restarted {
		e.ramp.prove(e.ramp.cold + int(min(report.Completed, int64(e.ramp.limit))))
	}
	e.reported, e.reportedAt, e.last = true, now, report
	e.foreignRunning = max(0, report.Running-e.running)
	e.foreignWork = max(0, report.Work-e.work)
	if report.Work == 0 && e.running > 0 {
		e.foreignWork = fleet.Work(e.foreignRunning) * e.work / fleet.Work(e.running)
	}
	return restarted
}

// restartSign compares a report with the last one and puts the upstream back to cold on a
// sign of a restart.
func (e *engine) restartSign(report fleet.LoadReport) bool {
	if !e.reported {
		return false
	}
	if report.Incarnation != e.last.Incarnation {
		e.ramp.reset(SignIncarnation)
		return true
	}
	if report.CacheEntries == 0 && e.last.CacheEntries > 0 {
		e.ramp.reset(SignCacheEmpty)
		return true
	}
	return false
}

// age forgets foreign load whose report is old.
func (e *engine) age(now time.Time) {
	if e.reported && now.Sub(e.reportedAt) > reportLife {
		e.foreignWork, e.foreignRunning = 0, 0
	}
}
