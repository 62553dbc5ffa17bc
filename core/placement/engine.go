package placement

import (
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
)

// engine is the owner's state of one upstream.
type engine struct {
	fleet.Upstream
	hash    uint64
	weight  float64
	ramp    ramp
	breaker circuitBreaker
	// work and running count this owner's grants, adopted ones included.
	work    fleet.Work
	running int
	// decodedEstimate is the estimated work that running requests have done since updateProgress
	// last ran.
	decodedEstimate fleet.Work
	// adopted counts the grants of earlier owners among running.
	adopted int
	// foreignWork and foreignRunning are the load in the last report beyond this owner's grants.
	foreignWork    fleet.Work
	foreignRunning int
	// reportedRunning and reportedWork are the load in the last report, ownReportedRunning and
	// ownReportedWork the part of it that comes from this owner's grants.
	reportedRunning, ownReportedRunning int
	reportedWork, ownReportedWork       fleet.Work
	// inFlight are this owner's grants of the last maxReportLag. The last report may lack them if
	// their requests had not reached the upstream; maybeForeignRunning and maybeForeignWork are
	// the load that is foreign in that case.
	inFlight            []inFlightGrant
	maybeForeignRunning int
	maybeForeignWork    fleet.Work
	// firstReportDeadline is when the owner stops waiting for the upstream's first report.
	firstReportDeadline time.Time
	hasReport           bool
	reportedAt          time.Time
	lastReport          fleet.LoadReport
}

func newEngine(now time.Time, upstream fleet.Upstream, settings Settings) *engine {
	return &engine{
		Upstream: upstream, hash: rendezvous.Hash(string(upstream.ID)), weight: weightOf(upstream),
		ramp: newRamp(settings), firstReportDeadline: now.Add(FirstReportTimeout),
	}
}

// inFlightGrant is a grant whose request may not have reached the upstream yet.
type inFlightGrant struct {
	at   time.Time
	work fleet.Work
}

// load returns the upper estimate of the upstream's work, possibly foreign load included.
func (e *engine) load() fleet.Work { return e.knownLoad() + e.maybeForeignWork }

// knownLoad returns the work that is certain to be on the upstream. The mean is computed from it.
func (e *engine) knownLoad() fleet.Work { return e.work - e.decodedEstimate + e.foreignWork }

// totalRunning returns the upper estimate of the number of requests on the upstream.
func (e *engine) totalRunning() int { return e.running + e.foreignRunning + e.maybeForeignRunning }

// limit returns the number of requests that the upstream may run now.
func (e *engine) limit(now time.Time) int {
	if e.breaker.isOpen(now) {
		return 0
	}
	if e.breaker.isProbing() {
		return 1
	}
	if e.awaitsFirstReport(now) {
		return min(e.ramp.allowed, e.ramp.coldLimit+e.adopted)
	}
	return e.ramp.allowed
}

// awaitsFirstReport reports whether load granted by earlier owners may still be unknown.
func (e *engine) awaitsFirstReport(now time.Time) bool {
	return !e.hasReport && now.Before(e.firstReportDeadline)
}

// isFull reports whether the upstream can accept no further request.
func (e *engine) isFull(now time.Time) bool { return e.totalRunning() >= e.limit(now) }

// countsInMean reports whether the upstream counts in the mean: it accepts work, or it is full
// and warm. An upstream that is full at its cold-start limit does not count.
func (e *engine) countsInMean(now time.Time) bool {
	return !e.isFull(now) || !e.ramp.isCold()
}

// addGrant counts a new grant of this owner.
func (e *engine) addGrant(now time.Time, work fleet.Work) {
	e.work += work
	e.running++
	e.inFlight = append(e.stillInFlight(now), inFlightGrant{at: now, work: work})
}

// stillInFlight returns the grants in flight without those older than maxReportLag.
func (e *engine) stillInFlight(now time.Time) []inFlightGrant {
	arrived := 0
	for arrived < len(e.inFlight) && now.Sub(e.inFlight[arrived].at) > maxReportLag {
		arrived++
	}
	return append(e.inFlight[:0], e.inFlight[arrived:]...)
}

// adopt counts a grant of an earlier owner.
func (e *engine) adopt(work fleet.Work) {
	e.work += work
	e.running++
	e.adopted++
	// The last report already contains an announced grant.
	e.ownReportedRunning++
	e.ownReportedWork += work
	e.recountForeign()
	e.ramp.raiseTo(e.running)
}

// removeGrant stops counting a grant that ended.
func (e *engine) removeGrant(grant *activeGrant) {
	e.work -= grant.work
	e.running--
	if grant.adopted {
		e.adopted--
	}
}

// report applies a load report and reports whether the upstream has restarted.
func (e *engine) report(now time.Time, report fleet.LoadReport) (restarted bool) {
	restarted = e.detectRestart(report)
	if !e.hasReport && !restarted {
		e.ramp.raiseTo(e.ramp.coldLimit + int(min(report.Completed, int64(e.ramp.warmLimit))))
	}
	e.hasReport, e.reportedAt, e.lastReport = true, now, report
	e.reportedRunning, e.reportedWork = report.Running, report.Work
	e.ownReportedRunning, e.ownReportedWork = e.running, e.work-e.decodedEstimate
	e.recountForeign()
	e.countMaybeForeign(now)
	return restarted
}

// correctForEnded corrects the foreign load for a completion that arrives late. A request that
// ended before the last report was read was not in the report, so the same amount of foreign
// load was counted as the owner's.
func (e *engine) correctForEnded(work fleet.Work, ended time.Time) {
	if e.hasReport && ended.Before(e.reportedAt) {
		e.ownReportedRunning--
		e.ownReportedWork -= work
		e.recountForeign()
	}
}

// recountForeign counts the reported load beyond this owner's grants as foreign. If the upstream
// reports no work, each foreign request counts with the mean work of this owner's requests.
func (e *engine) recountForeign() {
	e.foreignRunning = max(0, e.reportedRunning-e.ownReportedRunning)
	e.foreignWork = max(0, e.reportedWork-e.ownReportedWork)
	if e.reportedWork == 0 && e.running > 0 {
		e.foreignWork = fleet.Work(e.foreignRunning) * e.work / fleet.Work(e.running)
	}
}

// countMaybeForeign counts the reported load beyond this owner's grants that are certain to be
// in the report as possibly foreign.
func (e *engine) countMaybeForeign(now time.Time) {
	e.inFlight = e.stillInFlight(now)
	var work fleet.Work
	for _, grant := range e.inFlight {
		work += grant.work
	}
	certainRunning := max(0, e.ownReportedRunning-len(e.inFlight))
	certainWork := max(0, e.ownReportedWork-work)
	e.maybeForeignRunning = max(0, e.reportedRunning-certainRunning-e.foreignRunning)
	e.maybeForeignWork = max(0, e.reportedWork-certainWork-e.foreignWork)
}

// detectRestart compares a report with the previous one, and resets the upstream to a cold start
// if it has restarted.
func (e *engine) detectRestart(report fleet.LoadReport) bool {
	if !e.hasReport {
		return false
	}
	if report.Incarnation != e.lastReport.Incarnation {
		e.ramp.reset(CauseIncarnationChanged)
		return true
	}
	if report.CacheEntries == 0 && e.lastReport.CacheEntries > 0 {
		e.ramp.reset(CauseCacheEmptied)
		return true
	}
	return false
}

// expireReport discards the foreign load of a stale report.
func (e *engine) expireReport(now time.Time) {
	if e.hasReport && now.Sub(e.reportedAt) > maxReportAge {
		e.reportedRunning, e.reportedWork = 0, 0
		e.maybeForeignRunning, e.maybeForeignWork = 0, 0
		e.recountForeign()
	}
}
