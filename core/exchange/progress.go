package exchange

import "time"

// Multiples of a contract's silence limit.
const (
	// KeepAliveFactor is how many silence limits a connection may deliver only keep-alive
	// comments before a new connection is tried.
	KeepAliveFactor = 5
	// StallFactor is how many silence limits a request may deliver no event, over all its
	// connections, before it is given up.
	StallFactor = 15
)

// Limits bound how long an exchange continues without progress.
type Limits struct {
	// Silence is how long a connection may deliver no byte before a new connection is tried.
	Silence time.Duration
	// KeepAlive is how long a connection may deliver no event, even if it delivers other bytes,
	// before a new connection is tried.
	KeepAlive time.Duration
	// Stall is how long a request may deliver no event, over all its connections.
	Stall time.Duration
}

// NewLimits derives the limits from a contract's silence limit.
func NewLimits(silence time.Duration) Limits {
	return Limits{Silence: silence, KeepAlive: KeepAliveFactor * silence, Stall: StallFactor * silence}
}

// Progress tracks when an exchange last delivered bytes and events. Any byte shows that a
// connection is alive; only an event shows that the request makes progress.
type Progress struct {
	limits      Limits
	connectedAt time.Time
	lastByte    time.Time
	lastEvent   time.Time
}

// NewProgress returns a Progress whose limits all start at now.
func NewProgress(limits Limits, now time.Time) *Progress {
	return &Progress{limits: limits, connectedAt: now, lastByte: now, lastEvent: now}
}

// RecordConnect restarts the silence and keep-alive limits for a new connection. The stall limit
// continues.
func (p *Progress) RecordConnect(now time.Time) {
	p.connectedAt = now
	p.lastByte = now
}

// RecordBytes records that bytes arrived, such as a keep-alive comment.
func (p *Progress) RecordBytes(now time.Time) { p.lastByte = now }

// RecordEvent records that an event arrived.
func (p *Progress) RecordEvent(now time.Time) {
	p.lastByte = now
	p.lastEvent = now
}

// Evaluate returns the fault of an exceeded limit, if any, and otherwise when to evaluate again.
func (p *Progress) Evaluate(now time.Time) (Fault, time.Time) {
	stallAt := p.lastEvent.Add(p.limits.Stall)
	if !now.Before(stallAt) {
		return FaultStalled, time.Time{}
	}
	silentAt := earlier(p.lastByte.Add(p.limits.Silence), later(p.connectedAt, p.lastEvent).Add(p.limits.KeepAlive))
	if !now.Before(silentAt) {
		return FaultSilent, time.Time{}
	}
	return "", earlier(silentAt, stallAt)
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
