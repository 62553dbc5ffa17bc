package detour

import (
	"time"

	"agateswitch/core/fleet"
)

// Terms of the leases under which a router has an upstream work for another router.
const (
	// RenewInterval is the time between two renewals of a lease.
	RenewInterval = 200 * time.Millisecond
	// LeaseTime is how long a lease lasts after its last stamp. Three renewals in a row may be late or lost, as on hosts with a
	// share of a core that stand still for some tenths of a second.
	LeaseTime = 4 * RenewInterval
	// endTime is how long a router may take to end its work after the end of the lease: a host with a share of a core may stand
	// still for a tenth of a second.
	endTime = 100 * time.Millisecond
	// WaitTime is how long after the arrival of the last stamp that it has returned a router goes on elsewhere without word.
	WaitTime = LeaseTime + endTime
)

// Stamp is a moment of the clock of the router that has issued it. It is returned with a renewal, so that a lease ends by the
// clock of one router, whatever the message that renews it took.
type Stamp struct {
	// Issuer is the process that has issued the stamp.
	Issuer uint64 `msgpack:"i" json:"issuer"`
	// At is the time since the start of that process.
	At time.Duration `msgpack:"a" json:"at_ns"`
}

// LeaseID identifies a lease at the router that works under it.
type LeaseID struct {
	From   fleet.HostID
	Number uint64
}

// Leases holds the leases under which a router works for others. It is not safe for concurrent use. Times are since the start of
// the process.
type Leases struct {
	issuer uint64
	until  map[LeaseID]time.Duration
	// stopped holds leases that were given up, until no stamp from before can begin them.
	stopped map[LeaseID]time.Duration
}

// NewLeases returns the leases of a process.
func NewLeases(issuer uint64) *Leases {
	return &Leases{issuer: issuer, until: map[LeaseID]time.Duration{}, stopped: map[LeaseID]time.Duration{}}
}

// Issue returns a stamp.
func (l *Leases) Issue(now time.Duration) Stamp { return Stamp{Issuer: l.issuer, At: now} }

// Begin begins a lease. It reports false if the stamp is no longer good, or the lease was given up before it came.
func (l *Leases) Begin(id LeaseID, stamp Stamp, now time.Duration) bool {
	for old, until := range l.stopped {
		if now >= until {
			delete(l.stopped, old)
		}
	}
	_, isStopped := l.stopped[id]
	_, isDouble := l.until[id]
	if isStopped || isDouble || stamp.Issuer != l.issuer || now >= stamp.At+LeaseTime {
		return false
	}
	l.until[id] = stamp.At + LeaseTime
	return true
}

// Renew extends a lease that has not run out, and reports whether it did.
func (l *Leases) Renew(id LeaseID, stamp Stamp, now time.Duration) bool {
	if !l.Valid(id, now) || stamp.Issuer != l.issuer {
		return false
	}
	l.until[id] = max(l.until[id], stamp.At+LeaseTime)
	return true
}

// Valid reports whether a lease holds.
func (l *Leases) Valid(id LeaseID, now time.Duration) bool { return l.Remaining(id, now) > 0 }

// Remaining returns how much longer a lease holds.
func (l *Leases) Remaining(id LeaseID, now time.Duration) time.Duration {
	until, found := l.until[id]
	if !found {
		return 0
	}
	return max(0, until-now)
}

// Stop ends a lease for good, also one that has not begun yet.
func (l *Leases) Stop(id LeaseID, now time.Duration) {
	delete(l.until, id)
	l.stopped[id] = now + LeaseTime
}

// End forgets a lease whose work has ended.
func (l *Leases) End(id LeaseID) { delete(l.until, id) }
