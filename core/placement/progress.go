package placement

import (
	"time"

	"agateswitch/core/fleet"
)

// progress estimates the progress of running requests: the prompt is prefilled first, then the
// answer is decoded token by token. Routers report only the end of a request to the owner.
type progress struct {
	// firstToken is the smoothed time to the first token, perToken that of each further token.
	firstToken time.Duration
	perToken   time.Duration
}

// record updates the estimates with the times of a complete answer.
func (p *progress) record(duration, firstToken time.Duration, decoded fleet.Work) {
	if firstToken > 0 {
		p.firstToken = smooth(p.firstToken, firstToken)
	}
	if decoded > 0 && duration > firstToken {
		p.perToken = smooth(p.perToken, (duration-firstToken)/time.Duration(decoded))
	}
}

// remainingWork estimates the work that a request still has to do some time after its grant. The
// minimum is one token, as the request still runs.
func (p *progress) remainingWork(grant *activeGrant, elapsed time.Duration) fleet.Work {
	if p.firstToken == 0 || p.perToken == 0 || elapsed < p.firstToken {
		return grant.prefill + grant.decode
	}
	generated := fleet.Work((elapsed - p.firstToken) / p.perToken)
	return max(1, grant.decode-generated)
}

// estimateDecoded estimates for each upstream the tokens that running requests have decoded since
// the last updateProgress, without iterating over the requests.
func (o *Owner) estimateDecoded(now time.Time) {
	var tokens fleet.Work
	if o.progress.perToken > 0 {
		tokens = fleet.Work(now.Sub(o.progressUpdated) / o.progress.perToken)
	}
	for _, e := range o.engines {
		e.decodedEstimate = max(0, min(tokens*fleet.Work(e.running), e.work-fleet.Work(e.running)))
	}
}

// updateProgress updates the load of the upstreams with the estimated progress of each request.
func (o *Owner) updateProgress(now time.Time) {
	o.progressUpdated = now
	for _, grant := range o.grants {
		remaining := o.progress.remainingWork(grant, now.Sub(grant.since))
		if remaining == grant.work {
			continue
		}
		if e, found := o.engine(grant.upstream); found {
			e.work += remaining - grant.work
		}
		grant.work = remaining
	}
}
