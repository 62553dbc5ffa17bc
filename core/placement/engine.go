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
	hold   holdoff
	// work and running count this owner's grants, adopted ones included.
	work    fleet.Work
	running int
	// drift is the work that running requests have done since the owner last went through them.
	drift fleet.Work
	// adopted counts the grants of earlier owners among running.
	adopted int
	// foreignWork and foreignRunning are load that the last report shows beyond own grants.
	foreignWork    fleet.Work
	foreignRunning int
	// shownRunning and shownWork are what the last report showed, seenRunning and seenWork
	// the own grants that were in it.
	shownRunning, seenRunning int
	shownWork, seenWork       fleet.Work
	// flights are own grants of the last flightTime. Those that were on their way to the
	// upstream at the last report may be missing in it; missingRunning and missingWork are how
	// much foreign load may hide behind them.
	flights        []flight
	missingRunning int
	missingWork    fleet.Work
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

// flight is a grant whose request may not have reached the upstream yet.
type flight struct {
	at   time.Time
	work fleet.Work
}

// load is the work that the upstream bears at most, as far as the owner knows.
func (e *engine) load() fleet.Work { return e.known() + e.missingWork }

// known is the work that the upstream bears for certain, which the mean is made of.
func (e *engine) known() fleet.Work { return e.work - e.drift + e.foreignWork }

// busy is the number of requests that the upstream bears at most, as far as the owner knows.
func (e *engine) busy() int { return e.running + e.foreignRunning + e.missingRunning }

// limit is how many requests the upstream may bear now.
func (e *engine) limit(now time.Time) int {
	if e.hold.isHeld(now) {
		return 0
	}
	if e.hold.isProbing() {
		return 1
	}
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

func (e *engine) take(now time.Time, work fleet.Work) {
	e.work += work
	e.running++
	e.flights = append(e.landed(now), flight{at: now, work: work})
}

// landed returns the flights without those that have reached the upstream.
func (e *engine) landed(now time.Time) []flight {
	first := 0
	for first < len(e.flights) && now.Sub(e.flights[first].at) > flightTime {
		first++
	}
	return append(e.flights[:0], e.flights[first:]...)
}

func (e *engine) adopt(work fleet.Work) {
	e.work += work
	e.running++
	e.adopted++
	// A grant that is announced was in the last report.
	e.seenRunning++
	e.seenWork += work
	e.recount()
	e.ramp.prove(e.running)
}

func (e *engine) give(grant *held) {
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
	e.shownRunning, e.shownWork = report.Running, report.Work
	e.seenRunning, e.seenWork = e.running, e.work-e.drift
	e.recount()
	e.countMissing(now)
	return restarted
}

// correct takes a completion that arrives late. A request that had ended before the last
// report was read was not in it, so that as much foreign load was taken for own.
func (e *engine) correct(work fleet.Work, ended time.Time) {
	if e.reported && ended.Before(e.reportedAt) {
		e.seenRunning--
		e.seenWork -= work
		e.recount()
	}
}

// recount takes for foreign what the last report shows beyond the own grants in it.
func (e *engine) recount() {
	e.foreignRunning = max(0, e.shownRunning-e.seenRunning)
	e.foreignWork = max(0, e.shownWork-e.seenWork)
	if e.shownWork == 0 && e.running > 0 {
		e.foreignWork = fleet.Work(e.foreignRunning) * e.work / fleet.Work(e.running)
	}
}

// countMissing takes for possibly foreign what the report shows beyond the own grants that
// are sure to be in it.
func (e *engine) countMissing(now time.Time) {
	e.flights = e.landed(now)
	var work fleet.Work
	for _, flight := range e.flights {
		work += flight.work
	}
	surelyRunning := max(0, e.seenRunning-len(e.flights))
	surelyWork := max(0, e.seenWork-work)
	e.missingRunning = max(0, e.shownRunning-surelyRunning-e.foreignRunning)
	e.missingWork = max(0, e.shownWork-surelyWork-e.foreignWork)
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
		e.shownRunning, e.shownWork = 0, 0
		e.missingRunning, e.missingWork = 0, 0
		e.recount()
	}
}
