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
	// Begun is when the request reached the router.
	Begun time.Time
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
}

// MaxRecordedBody is the largest answer that is recorded for resends, in bytes.
const MaxRecordedBody = 16 << 10
