package placement

import (
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"
)

// Request is the input to the placement of one request.
type Request struct {
	// Ticket identifies the request. The router repeats it when it polls for a decision.
	Ticket admission.Ticket
	// Chat is the ChatHash of the request's chat.
	Chat uint64
	Team fleet.Team
	// Version restricts the request to upstreams of one version; empty means any.
	Version  fleet.Version
	Prefill  fleet.Work
	Decode   fleet.Work
	Priority fleet.Priority
	// Share is the team's weight in fair queueing; zero counts as 1.
	Share float64
	// Deadline is the latest time for the first token; zero means none.
	Deadline time.Time
	// Exclude lists upstreams that already failed this request.
	Exclude []fleet.UpstreamID
	// warmWaitUntil is when the request stops waiting for the upstream where its chat last ran and
	// may run elsewhere. The owner sets it once.
	warmWaitUntil time.Time
}

// allows reports whether the request may run on an upstream.
func (r Request) allows(upstream fleet.Upstream) bool {
	if r.Version != "" && r.Version != upstream.Version {
		return false
	}
	for _, id := range r.Exclude {
		if id == upstream.ID {
			return false
		}
	}
	return true
}

// latestStart returns the time after which the request is not worth starting.
func (r Request) latestStart(since time.Time) time.Time {
	if r.Deadline.IsZero() {
		return since.Add(defaultMaxWait)
	}
	return r.Deadline
}

// Decision is the owner's answer to a request: a grant, a refusal, or neither while the
// request waits.
type Decision struct {
	Ticket  admission.Ticket
	Waiting bool
	// Grant is set when the request neither waits nor is refused.
	Grant   fleet.Grant
	Refusal *fleet.Refusal
	// Reason explains the decision in a few words, for the log line.
	Reason string
}

// Announcement registers a grant of an earlier owner with the shard's new owner.
type Announcement struct {
	Grant    fleet.GrantID
	Upstream fleet.UpstreamID
	Work     fleet.Work
	// Holder is the router whose request runs on the grant.
	Holder fleet.HostID
}

// activeGrant is one grant in force.
type activeGrant struct {
	ticket   admission.Ticket
	holder   fleet.HostID
	upstream fleet.UpstreamID
	chat     uint64
	// prompt is the length of the whole prompt. prefill, its uncached part, and decode are the
	// granted work. work is the part that remains.
	prompt, prefill, decode fleet.Work
	work                    fleet.Work
	since                   time.Time
	expires                 time.Time
	adopted                 bool
	grant                   fleet.Grant
}
