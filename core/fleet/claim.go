package fleet

import "time"

// Claim identifies a call that may not be repeated.
type Claim struct {
	Team Team
	Pool PoolID
	// Key is the caller's idempotency key, a UUIDv7. Its timestamp identifies expired keys.
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

// ClaimState states what a request that begins a claim may do.
type ClaimState string

// States of claims.
const (
	// ClaimGranted lets this request, and no other, send the call.
	ClaimGranted ClaimState = "granted"
	// ClaimRecorded returns the recorded answer of the earlier run.
	ClaimRecorded ClaimState = "recorded"
	// ClaimRefused returns a refusal.
	ClaimRefused ClaimState = "refused"
)

// ClaimResult is the result of beginning a claim.
type ClaimResult struct {
	State   ClaimState
	Answer  ClaimAnswer
	Refusal *Refusal
	// Revision is the store's revision of a granted claim.
	Revision int64
	// SendBy is when the permission to send a granted claim's call expires.
	SendBy Deadline
}

// ClaimAnswer is the recorded outcome of a call.
type ClaimAnswer struct {
	// Unsent is true when nothing reached the upstream: the claim is released.
	Unsent bool
	// Unknown is true when the call may have run but its answer was lost.
	Unknown bool
	Status  int
	// ContentType is the media type of Body. Body has at most MaxRecordedBodyBytes.
	ContentType string
	Body        []byte
	// BodyOmitted is true when the body exceeded the limit and only the status is recorded.
	BodyOmitted bool
}

// MaxRecordedBodyBytes is the largest answer body that is recorded, to be replayed when the
// caller repeats the request.
const MaxRecordedBodyBytes = 16 << 10

// Deadline is a point in time on two clocks. The monotonic clock is correct when the wall clock
// is set; the wall clock is correct when the machine was suspended, which stops the monotonic one.
type Deadline struct {
	monotonic time.Time
	wall      time.Time
}

// DeadlineAt returns the deadline at moment, which must be derived from time.Now().
func DeadlineAt(moment time.Time) Deadline {
	return Deadline{monotonic: moment, wall: moment.Round(0)}
}

// HasPassed reports whether either clock has reached the deadline. now must be time.Now().
func (d Deadline) HasPassed(now time.Time) bool {
	return !now.Before(d.monotonic) || !now.Round(0).Before(d.wall)
}

// Until returns the time that remains on the monotonic clock.
func (d Deadline) Until(now time.Time) time.Duration { return d.monotonic.Sub(now) }
