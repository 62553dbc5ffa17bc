// Package duty decides who may do a duty that one router at a time does for the whole fleet: when a candidate may claim
// it, with which fencing token, and how long its holder may act. Times are readings of a clock that runs while the
// process is suspended.
package duty

import (
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/revision"
)

// Record is what the store keeps of a duty's subject in one era of the store.
type Record struct {
	Holder fleet.HostID `json:"holder"`
	// Incarnation differs between the processes of a host.
	Incarnation int64  `json:"incarnation"`
	Token       uint64 `json:"token"`
	// Renewals makes each renewal of the lease another record.
	Renewals uint64 `json:"renewals"`
	// Released is true once the holder has stopped for good and no lease has to be waited for.
	Released bool `json:"released,omitempty"`
}

// IsOf reports whether a process holds the subject according to the record.
func (r Record) IsOf(host fleet.HostID, incarnation int64) bool {
	return r.Holder == host && r.Incarnation == incarnation && !r.Released
}

// eraShift is the number of bits of a token below the era.
const eraShift = 40

// Token returns the fencing token of the holder whose claim replaces a record of the given revision; the revision's number is 0 for
// the first claim of an era. At most one claim replaces a record, and every later one replaces a later record. A restored store gives
// revisions out again, but is of a higher era.
func Token(era int64, replaced revision.Revision) uint64 {
	return uint64(era)<<eraShift | uint64(replaced.Number+1)&(1<<eraShift-1)
}

// Lease is for how long a holder may act.
type Lease struct {
	// Length is the least time between the last act of a holder and the first of the next one that can't know that it has stopped.
	Length time.Duration
	// Thaw is how long a call may be under way after its sender has stopped.
	Thaw time.Duration
}

const (
	// driftDivisor sets what is left unused of a lease for clocks that run at different rates.
	driftDivisor = 10
	// renewalsPerLease is the number of renewals per lease. One of them may fail, and retries follow.
	renewalsPerLease = 3
	// patientRank is the rank from which candidates look half as often: those before them look in time.
	patientRank = 2
	// retriesPerLease is the number of retries per lease after a failed call to the store.
	retriesPerLease = 12
	// rankDelayDivisor sets, as a part of the lease, how much later each candidate claims than the one before it.
	rankDelayDivisor = 10
)

// Usable is how long a holder may act after it has sent a claim or a renewal.
func (l Lease) Usable() time.Duration { return l.Length - l.Length/driftDivisor - l.Thaw }

// MinCall is the least time that has to be left to send a call.
func (l Lease) MinCall() time.Duration { return l.Length / driftDivisor }

// RenewInterval is the time between two renewals.
func (l Lease) RenewInterval() time.Duration { return l.Length / renewalsPerLease }

// LookInterval is the time between two looks of a candidate at a record that changes. A successor takes over within two leases of the
// holder's last renewal and the delay of its rank.
func (l Lease) LookInterval(rank int) time.Duration {
	if rank >= patientRank {
		return 2 * l.Length
	}
	return l.Length
}

// CallTimeout bounds a call to the store.
func (l Lease) CallTimeout() time.Duration { return l.Length / renewalsPerLease }

// RetryInterval is the time between two tries of a call to the store.
func (l Lease) RetryInterval() time.Duration { return l.Length / retriesPerLease }

// Candidate is what a router in line for a subject has observed of it.
type Candidate struct {
	known    bool
	era      int64
	revision revision.Revision
	released bool
	// since is when the present record was first observed.
	since time.Duration
}

// Observe applies what a read of the record, which ended at a time, has returned in an era. The revision is that of an absent key if
// there is no record.
func (c *Candidate) Observe(era int64, found revision.Revision, record Record, at time.Duration) {
	if c.known && c.era == era && c.revision == found {
		return
	}
	*c = Candidate{known: true, era: era, revision: found, released: record.Released, since: at}
}

// ClaimAt returns when the candidate with a rank, from 0, in line may claim the subject, and false if it has observed nothing. Unless
// the holder has released it, the record must not have changed for the whole lease: its holder has then stopped. An absent record may
// have been lost by a restore of the store, and is waited for, too.
func (c *Candidate) ClaimAt(lease Lease, rank int) (time.Duration, bool) {
	if !c.known {
		return 0, false
	}
	at := c.since + time.Duration(rank)*lease.Length/rankDelayDivisor
	if !c.released {
		at += lease.Length
	}
	return at, true
}

// Replaced returns the revision of the record that a claim replaces.
func (c *Candidate) Replaced() revision.Revision { return c.revision }

// Tenure is a holder's time in office.
type Tenure struct {
	Token uint64
	// Since is when the first claim or renewal was confirmed.
	Since     time.Duration
	until     time.Duration
	confirmed bool
}

// Confirm applies that the store has confirmed a claim or renewal, which was sent at a time. A later record of the same holder proves
// that nobody has held the subject meanwhile, however late the answer comes.
func (t *Tenure) Confirm(sentAt, now time.Duration, lease Lease) {
	if t.Since == 0 {
		t.Since = now
	}
	t.until, t.confirmed = sentAt+lease.Usable(), true
}

// Doubt applies that the holder was suspended or cut off. It may not act until the next Confirm.
func (t *Tenure) Doubt() { t.confirmed = false }

// Left returns for how much longer the holder may act; 0 if it may not.
func (t *Tenure) Left(now time.Duration) time.Duration {
	if !t.confirmed {
		return 0
	}
	return max(0, t.until-now)
}

// MayHandOverAtOnce reports whether a successor need not wait for the lease once this holder has stopped. It has to if the holder before
// this one has stopped less than a lease ago: that one may be the successor.
func (t *Tenure) MayHandOverAtOnce(now time.Duration, lease Lease) bool {
	return t.Since != 0 && now-t.Since >= lease.Length
}
