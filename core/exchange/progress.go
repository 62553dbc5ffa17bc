package exchange

import "time"

// Factors of a contract's silence limit.
const (
	// KeepAliveFactor is how many silence limits a connection may bring keep-alive
	// comments only, before a fresh one is tried.
	KeepAliveFactor = 5
	// StallFactor is how many silence limits a request may bring no event over all its
	// connections, before it is given up.
	StallFactor = 15
)

// Limits bound how long an exchange goes on without progress.
type Limits struct {
	// Silence is how long a connection may bring nothing before a fresh one is tried.
	Silence time.Duration
	// KeepAlive is how long a connection may bring no event, whatever else it brings,
	// before a fresh one is tried.
	KeepAlive time.Duration
	// Stall is how long a request may bring no event, over all its connections.
	Stall time.Duration
}

// LimitsOf derives the limits from a contract's silence limit.
func LimitsOf(silence time.Duration) Limits {
	return Limits{Silence: silence, KeepAlive: KeepAliveFactor * silence, Stall: StallFactor * silence}
}

// Progress judges an exchange by what it brings. Any byte shows that a connection is
// alive; only an event shows that the request gets on.
type Progress struct {
	limits    Limits
	connected time.Time
	lastByte  time.Time
	lastEvent time.Time
}

// NewProgress starts all limits at now.
func NewProgress(limits Limits, now time.Time) *Progress {
	return &Progress{limits: limits, connected: now, lastByte: now, lastEvent: now}
}

// Connected starts the limits of a new connection. The stall limit goes on.
func (p *Progress) Connected(now time.Time) {
	p.connected = now
	p.lastByte = now
}

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
	silent := earlier(p.lastByte.Add(p.limits.Silence), later(p.connected, p.lastEvent).Add(p.limits.KeepAlive))
	if !now.Before(silent) {
		return FaultSilent, time.Time{}
	}
	return "", earlier(silent, stalls)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
