package exchange

import "time"

// StallFactor is how many silence limits an upstream may stay without an event while
// its connections live, before the request is given up.
const StallFactor = 15

// Limits bound how long an exchange goes on without progress.
type Limits struct {
	// Silence is how long a connection may bring nothing before a fresh one is tried.
	Silence time.Duration
	// Stall is how long a request may bring no event, over all its connections.
	Stall time.Duration
}

// LimitsOf derives the limits from a contract's silence limit.
func LimitsOf(silence time.Duration) Limits {
	return Limits{Silence: silence, Stall: StallFactor * silence}
}

// Progress judges an exchange by what it brings. Any byte shows that a connection is
// alive; only an event shows that the request gets on.
type Progress struct {
	limits    Limits
	lastByte  time.Time
	lastEvent time.Time
}

// NewProgress starts both limits at now.
func NewProgress(limits Limits, now time.Time) *Progress {
	return &Progress{limits: limits, lastByte: now, lastEvent: now}
}

// Connected starts the silence limit of a new connection. The stall limit goes on.
func (p *Progress) Connected(now time.Time) { p.lastByte = now }

// Bytes notes that something came, such as a keep-alive comment.
func (p *Progress) Bytes(now time.Time) { p.lastByte = now }

// Event notes that an event came.
func (p *Progress) Event(now time.Time) {
	p.lastByte = now
	p.lastEvent = now
}

// Judge returns the limit that has passed, if any, and otherwise when to judge again.
func (p *Progress) Judge(now time.Time) (Fault, time.Time) {
	stalls := p.lastEvent.Add(p.limits.Stall)
	if !now.Before(stalls) {
		return FaultStalled, time.Time{}
	}
	silent := p.lastByte.Add(p.limits.Silence)
	if !now.Before(silent) {
		return FaultSilent, time.Time{}
	}
	if stalls.Before(silent) {
		return "", stalls
	}
	return "", silent
}
