package placement

import (
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"
)

// Request is what an owner needs to know about one request.
type Request struct {
	// Ticket is repeated when the router asks again for the same request.
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
	// Deadline is when the first token is due; zero means none.
	Deadline time.Time
	// Exclude lists upstreams that already failed this request.
	Exclude []fleet.UpstreamID
	// warmUntil is how long the request waits for the upstream where its chat last ran, rather
	// than running elsewhere. The owner sets it once.
	warmUntil time.Time
}

// allows tells whether the request may run on an upstream.
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

// due is the latest time at which the request is worth starting.
func (r Request) due(since time.Time) time.Time {
	if r.Deadline.IsZero() {
		return since.Add(defaultPatience)
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

// Announcement tells a new owner of a grant that an earlier owner gave.
type Announcement struct {
	Grant    fleet.GrantID
	Upstream fleet.UpstreamID
	Work     fleet.Work
	// Holder is the router whose request runs on the grant.
	Holder fleet.HostID
}

// held is one grant in force.
type held struct {
	ticket   admission.Ticket
	holder   fleet.HostID
	upstream fleet.UpstreamID
	chat     uint64
	// prompt is the whole prompt; prefill, its uncached part, and decode are the work granted,
	// work is what is left of it.
	prompt, prefill, decode fleet.Work
	work                    fleet.Work
	since                   time.Time
	expires                 time.Time
	adopted                 bool
	grant                   fleet.Grant
}
