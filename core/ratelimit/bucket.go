package ratelimit

import "time"

const (
	// burstTime is how long the unused part of a limit is kept.
	burstTime = time.Second
	// rankReserve is how many tokens are kept for requests of the next more urgent rank, and maxReservedRank
	// the last rank that leaves some.
	rankReserve     = 0.5
	maxReservedRank = 3
	// minIdleTime is the shortest time without a draw after which a bucket starts anew. Another router may
	// have given out the limit meanwhile.
	minIdleTime = time.Second
	// maxDebtTime bounds the time that charges make a bucket wait.
	maxDebtTime = 2 * time.Second
	// fallbackShare is the part of a limit that all routers together use which reach no bucket.
	fallbackShare = 0.5
)

// Bucket is the token bucket of one upstream. It is not safe for concurrent use. The zero value is a bucket
// that has not been used.
type Bucket struct {
	tokens               float64
	startedAt, updatedAt time.Time
}

// Take takes a token for a request of the given rank; 0 is the most urgent. Without one it returns how long it
// takes until there is one, if no other request is faster.
func (b *Bucket) Take(now time.Time, perSecond float64, rank int) (granted bool, wait time.Duration) {
	needed := tokensNeeded(rank)
	if now.Sub(b.updatedAt) > idleTime(perSecond) {
		*b = Bucket{tokens: needed, startedAt: now, updatedAt: now}
	}
	b.refill(now, perSecond, max(tokensNeeded(maxReservedRank), perSecond*burstTime.Seconds()))
	return b.take(needed, perSecond)
}

// Charge subtracts a request that was sent at a time without a token of this bucket, since another one was
// in use beside it. Requests from before the bucket was in use don't count.
func (b *Bucket) Charge(at time.Time, perSecond float64) {
	if at.After(b.startedAt) {
		b.tokens = max(b.tokens-1, -perSecond*maxDebtTime.Seconds())
	}
}

// TakeFallback takes a token from this router's equal part of a limit, while no router that has the upstream's
// bucket answers.
func (b *Bucket) TakeFallback(now time.Time, perSecond float64, routers int) (granted bool, wait time.Duration) {
	rate := perSecond * fallbackShare / float64(max(1, routers))
	// Unused parts of many routers would add up to a burst.
	if now.Sub(b.updatedAt) > maxDebtTime {
		*b = Bucket{updatedAt: now}
	}
	b.refill(now, rate, 1)
	return b.take(1, rate)
}

func (b *Bucket) refill(now time.Time, rate, capacity float64) {
	b.tokens = min(capacity, b.tokens+rate*max(0, now.Sub(b.updatedAt).Seconds()))
	b.updatedAt = now
}

func (b *Bucket) take(needed, rate float64) (granted bool, wait time.Duration) {
	if b.tokens < needed {
		return false, time.Duration((needed - b.tokens) / rate * float64(time.Second))
	}
	b.tokens--
	return true, 0
}

// idleTime returns the time without a draw after which a bucket starts anew, with a token. Draws at longer intervals
// stay within the limit without a bucket.
func idleTime(perSecond float64) time.Duration {
	return max(minIdleTime, time.Duration(float64(time.Second)/perSecond))
}

// tokensNeeded returns how many tokens there must be for a request of the given rank.
func tokensNeeded(rank int) float64 {
	return 1 + rankReserve*float64(min(max(rank, 0), maxReservedRank))
}
