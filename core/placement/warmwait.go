package placement

import "time"

// maxWarmWait is the longest wait for the upstream where a chat last ran.
const maxWarmWait = 300 * time.Millisecond

// shouldWaitForWarm reports whether the request should wait for the upstream where its chat last
// ran: planWarmWait has allowed the wait, and the upstream is still full or above its bound.
func (o *Owner) shouldWaitForWarm(now time.Time, request Request, warm candidate, sum shardLoad) bool {
	if !warm.warm || now.After(request.warmWaitUntil) {
		return false
	}
	return warm.engine.isFull(now) || !o.isWithinBound(warm, sum)
}

// planWarmWait sets how long a new request waits for a warm upstream: at most the time that another
// upstream needs to compute the cached prefix, and not at all if the warm upstream is not expected
// to be below its bound by then.
func (o *Owner) planWarmWait(now time.Time, request *Request) {
	list := o.candidates(*request)
	if len(list) == 0 || !list[0].warm || o.progress.perToken == 0 {
		return
	}
	warm := list[0]
	cachedTokens := float64(request.Prefill + request.Decode - warm.work)
	prefillElsewhere := min(time.Duration(cachedTokens*warm.engine.ramp.nanosPerPromptToken), maxWarmWait)
	excess := warm.engine.load() + warm.work - o.bound(warm, o.shardLoad(now))
	generating := max(1, warm.engine.running)
	drainTime := time.Duration(max(0, excess)) * o.progress.perToken / time.Duration(generating)
	if drainTime < prefillElsewhere {
		request.warmWaitUntil = now.Add(prefillElsewhere)
	}
}
