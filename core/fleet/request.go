package fleet

import "time"

// Work is an amount of work in tokens: uncached prefill plus expected decode.
// A call to a plain service counts as 1.
type Work int64

// Priority orders waiting requests. Higher values are served first.
type Priority int

// Request holds the properties of one call on which its placement depends.
type Request struct {
	ID   RequestID
	Team Team
	Pool PoolID
	// Chat is the key of cache reuse. For requests without a chat it is the request's own id.
	Chat ChatID
	// Prefill is the number of prompt tokens.
	Prefill Work
	// Decode is the expected number of generated tokens.
	Decode   Work
	Priority Priority
	// Deadline is when the first token is due.
	Deadline time.Time
	// Exclude lists upstreams that already failed this request.
	Exclude []UpstreamID
}

// Work returns the total work of the request without any cache reuse.
func (r Request) Work() Work {
	return r.Prefill + r.Decode
}

// GrantID identifies one grant. It is unique within the fleet.
type GrantID string

// Grant permits one request to run on one upstream until Expires.
type Grant struct {
	ID       GrantID
	Owner    HostID
	Upstream Upstream
	Work     Work
	Expires  time.Time
	// Reason is the rule that chose the upstream.
	Reason Reason
	// Load is the upstream's load including this grant, and Bound its limit.
	Load  Work
	Bound Work
	// Warm is true when the chat's prefix is expected in the upstream's cache.
	Warm bool
}

// Reason names the rule behind a placement decision, for logs and metrics.
type Reason string

// Reasons of placement decisions.
const (
	ReasonHome      Reason = "home"
	ReasonDisplaced Reason = "displaced"
	ReasonOverflow  Reason = "overflow"
	ReasonRetry     Reason = "retry"
)

// Outcome states how an exchange with an upstream ended.
type Outcome string

// Outcomes of exchanges.
const (
	// OutcomeComplete means that the complete answer was delivered.
	OutcomeComplete Outcome = "complete"
	// OutcomeFailed means that the upstream failed the request.
	OutcomeFailed Outcome = "failed"
	// OutcomeCancelled means that the caller disconnected.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeUnsent means that no part of the request reached the upstream.
	OutcomeUnsent Outcome = "unsent"
)

// Completion reports the end of a granted request to the owner of its shard.
type Completion struct {
	Grant    GrantID
	Upstream UpstreamID
	Outcome  Outcome
	// FirstToken is the time from sending to the first byte of the answer.
	FirstToken time.Duration
	// Decoded is the number of tokens generated.
	Decoded Work
	// Age is how long ago the request ended. The owner needs it to compare its grants with
	// load reports.
	Age time.Duration
}
