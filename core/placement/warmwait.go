package placement

import "time"

// maxWarmWait is the longest wait for the upstream where a chat last ran.
const maxWarmWait = 300 * time.Millisecond

// isWorthWaiting tells whether the request should wait for the upstream where its chat last
// ran, as that is above its bound for a shorter time than the prompt takes elsewhere.
func (o *Owner) isWorthWaiting(now time.Time, request Request, warm candidate, sum balance) bool {
	if !warm.warm || now.After(request.warmUntil) {
		return false
	}
	return warm.engine.isFull(now) || !o.isWithinBound(warm, sum)
}

// planWarmWait sets how long a new request waits for a warm upstream: no longer than the
// prompt takes elsewhere, and not at all if the upstream is not expected below its bound by then.
func (o *Owner) planWarmWait(now time.Time, request *Request) {
	list := o.candidates(*request)
	if len(list) == 0 || !list[0].warm || o.progress.perToken == 0 {
		return
	}
	warm := list[0]
	saved := float64(request.Prefill + request.Decode - warm.work)
	elsewhere := min(time.Duration(saved*warm.engine.ramp.pace), maxWarmWait)
	excess := warm.engine.load() + warm.work - o.bound(warm, o.balance(now))
	generating := max(1, warm.engine.running)
	drained := time.Duration(max(0, excess)) * o.progress.perToken / time.Duration(generating)
	if drained < elsewhere {
		request.warmUntil = now.Add(elsewhere)
	}
}
