package placement

import (
	"time"

	"agateswitch/core/fleet"
)

// progress estimates how far running requests are: first the prompt is computed, then the
// answer is generated token by token. Owners are told of the end of a request only.
type progress struct {
	// firstToken is the smoothed time to the first token, perToken that of one more.
	firstToken time.Duration
	perToken   time.Duration
}

// learn takes the times of a complete answer.
func (p *progress) learn(took, firstToken time.Duration, decoded fleet.Work) {
	if firstToken > 0 {
		p.firstToken = smooth(p.firstToken, firstToken)
	}
	if decoded > 0 && took > firstToken {
		p.perToken = smooth(p.perToken, (took-firstToken)/time.Duration(decoded))
	}
}

// left estimates the work that a request has left some time after its grant. It is never
// less than one token, as the request still runs.
func (p *progress) left(grant *held, elapsed time.Duration) fleet.Work {
	if p.firstToken == 0 || p.perToken == 0 || elapsed < p.firstToken {
		return grant.prefill + grant.decode
	}
	generated := fleet.Work((elapsed - p.firstToken) / p.perToken)
	return max(1, grant.decode-generated)
}

// drift estimates for all upstreams what running requests have generated since the last
// advance, without going through the requests.
func (o *Owner) drift(now time.Time) {
	var tokens fleet.Work
	if o.progress.perToken > 0 {
		tokens = fleet.Work(now.Sub(o.advanced) / o.progress.perToken)
	}
	for _, e := range o.engines {
		e.drift = max(0, min(tokens*fleet.Work(e.running), e.work-fleet.Work(e.running)))
	}
}

// advance brings the load of the upstreams up to date with the progress of the requests.
func (o *Owner) advance(now time.Time) {
	o.advanced = now
	for _, grant := range o.grants {
		left := o.progress.left(grant, now.Sub(grant.since))
		if left == grant.work {
			continue
		}
		if e, found := o.engine(grant.upstream); found {
			e.work += left - grant.work
		}
		grant.work = left
	}
}
