package fleet

import "time"

// Claim identifies a call that may not be repeated.
type Claim struct {
	Team Team
	Pool PoolID
	// Key is the caller's idempotency key, a UUIDv7 whose time tells old keys apart.
	Key string
	// BodyDigest is the hex SHA-256 digest of method, path and body.
	BodyDigest string
	// Holder is the request that holds the claim.
	Holder RequestID
	// Host is the entry host of the request.
	Host HostID
	// Begun is when the request reached the router.
	Begun time.Time
	// Revision is the store's revision of a granted claim; 0 while it is not granted.
	Revision int64
}

// ClaimState tells what the caller of a claim may do.
type ClaimState string

// States of claims.
const (
	// ClaimGranted lets this request, and no other, send the call.
	ClaimGranted ClaimState = "granted"
	// ClaimRecorded carries the answer of the earlier run.
	ClaimRecorded ClaimState = "recorded"
	// ClaimRefused carries a refusal.
	ClaimRefused ClaimState = "refused"
)

// ClaimResult is the answer to Begin.
type ClaimResult struct {
	State   ClaimState
	Answer  ClaimAnswer
	Refusal *Refusal
	// Revision is the store's revision of a granted claim.
	Revision int64
	// SendBy is when the permission to send a granted claim's call ends.
	SendBy Deadline
}

// ClaimAnswer is the recorded end of a call.
type ClaimAnswer struct {
	// Unsent is true when nothing reached the upstream: the claim is removed.
	Unsent bool
	// Unknown is true when the call may have run and its answer is lost.
	Unknown bool
	Status  int
	// ContentType of Body. Body is at most MaxRecordedBody bytes.
	ContentType string
	Body        []byte
	// BodyOmitted is true when the body was larger and only the status is recorded.
	BodyOmitted bool
}

// MaxRecordedBody is the largest answer that is recorded for resends, in bytes.
const MaxRecordedBody = 16 << 10

// Deadline is a moment on two clocks. The monotonic clock is right when the wall clock is
// set; the wall clock is right when the machine was suspended, which stops the other.
type Deadline struct {
	monotonic time.Time
	wall      time.Time
}

// DeadlineAt makes the deadline of a moment that was derived from time.Now().
func DeadlineAt(moment time.Time) Deadline {
	return Deadline{monotonic: moment, wall: moment.Round(0)}
}

// HasPassed tells whether either clock has reached the deadline at now, which is time.Now().
func (d Deadline) HasPassed(now time.Time) bool {
	return !now.Before(d.monotonic) || !now.Round(0).Before(d.wall)
}

// Until returns the time that is left on the monotonic clock.
func (d Deadline) Until(now time.Time) time.Duration { return d.monotonic.Sub(now) }
