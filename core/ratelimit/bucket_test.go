package ratelimit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// grants draws from a bucket at the given times and returns when a token was granted.
func grants(b *Bucket, times []time.Time, perSecond float64, rank int) []time.Time {
	var granted []time.Time
	for _, now := range times {
		if ok, _ := b.Take(now, perSecond, rank); ok {
			granted = append(granted, now)
		}
	}
	return granted
}

func mostIn(times []time.Time, window time.Duration) int {
	most := 0
	for i := range times {
		count := 0
		for _, other := range times[i:] {
			if other.Sub(times[i]) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Whatever the limit, the times and the ranks of the draws are, no window has more than the limit and one burst.
func TestBucketKeepsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perSecond := rapid.Float64Range(MinPerSecond, 40).Draw(t, "limit")
		var b Bucket
		now := start
		var granted []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "draws") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * time.Millisecond)
			if ok, wait := b.Take(now, perSecond, rapid.IntRange(0, 5).Draw(t, "rank")); ok {
				granted = append(granted, now)
			} else {
				must.Positive(t, wait)
			}
		}
		burst := max(tokensNeeded(maxReservedRank), perSecond*burstTime.Seconds())
		must.LessEq(t, 4*perSecond+burst+1, float64(mostIn(granted, 4*time.Second)))
	})
}

func TestBucketUsesItsLimit(t *testing.T) {
	for _, perSecond := range []float64{0.3, 2.9, 30} {
		var times []time.Time
		for now := start; now.Before(start.Add(30 * time.Second)); now = now.Add(10 * time.Millisecond) {
			times = append(times, now)
		}
		var b Bucket
		must.GreaterEq(t, 0.95*30*perSecond-1, float64(len(grants(&b, times, perSecond, 2))))
	}
}

// Requests that come less often than the limit allows are never refused.
func TestSparseRequestsAreGranted(t *testing.T) {
	for _, perSecond := range []float64{0.3, 3} {
		var b Bucket
		now := start
		for range 20 {
			now = now.Add(time.Duration(1.05 / perSecond * float64(time.Second)))
			granted, _ := b.Take(now, perSecond, 3)
			must.True(t, granted)
		}
	}
}

// While there is more than the limit allows, urgent requests get all that they ask for.
func TestUrgentRequestsGetTokensFirst(t *testing.T) {
	var b Bucket
	granted := map[int]int{}
	asked := map[int]int{}
	for i := range 4000 {
		rank := 2
		if i%50 == 0 {
			rank = 0
		}
		asked[rank]++
		if ok, _ := b.Take(start.Add(time.Duration(i)*10*time.Millisecond), 3, rank); ok {
			granted[rank]++
		}
	}
	must.Eq(t, asked[0], granted[0])
	must.GreaterEq(t, 30, granted[2])
}

// Two buckets that are in use at the same time give out little more than the limit once one is charged for the other.
func TestChargesMakeUpForASecondBucket(t *testing.T) {
	const perSecond = 10
	var first, second Bucket
	var all, pending []time.Time
	for i := range 800 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if i < 200 {
			if ok, _ := first.Take(now, perSecond, 0); ok {
				all, pending = append(all, now), append(pending, now)
			}
		}
		if i >= 50 {
			if i == 200 {
				for _, sentAt := range pending {
					second.Charge(sentAt, perSecond)
				}
			}
			if ok, _ := second.Take(now, perSecond, 0); ok {
				all = append(all, now)
			}
		}
	}
	must.LessEq(t, 1.5*4*perSecond+5, float64(mostIn(all, 4*time.Second)))
	must.GreaterEq(t, 0.9*8*perSecond, float64(len(all)))
}

// All routers that fall back on their own part together stay below the limit.
func TestFallbackPartsStayBelowTheLimit(t *testing.T) {
	for _, routers := range []int{1, 6, 88, 295} {
		buckets := make([]Bucket, routers)
		count := 0
		for i := range 1000 {
			for r := range buckets {
				if ok, _ := buckets[r].TakeFallback(start.Add(time.Duration(i)*10*time.Millisecond), 6, routers); ok {
					count++
				}
			}
		}
		must.LessEq(t, 60, count)
	}
}
