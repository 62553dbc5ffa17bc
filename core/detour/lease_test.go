package detour

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Whatever arrives late, twice or out of order, no lease holds longer than LeaseTime after the last stamp that its owner has sent,
// and none comes back once it has run out or was stopped.
func TestLeaseEndsWithTheLastStampOfItsOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLeases(7)
		id := LeaseID{From: "a", Number: 1}
		now, last := time.Duration(0), l.Issue(0)
		sent := []Stamp{last}
		hasBegun, isOver := false, false
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 500).Draw(t, "gap")) * time.Millisecond
			isOver = isOver || hasBegun && !l.Valid(id, now)
			stamp := rapid.SampledFrom(sent).Draw(t, "stamp")
			switch rapid.SampledFrom([]string{"issue", "begin", "renew", "stop", "foreign"}).Draw(t, "step") {
			case "issue":
				// The owner renews no lease that it has given up.
				if !isOver {
					last = l.Issue(now)
					sent = append(sent, last)
				}
			case "begin":
				began := l.Begin(id, sent[0], now)
				must.False(t, began && (isOver || hasBegun || now >= sent[0].At+LeaseTime))
				hasBegun = hasBegun || began
			case "renew":
				must.False(t, l.Renew(id, stamp, now) && isOver)
			case "stop":
				l.Stop(id, now)
				hasBegun, isOver = true, true
			case "foreign":
				must.False(t, l.Renew(id, Stamp{Issuer: 8, At: now}, now))
			}
			must.False(t, l.Valid(id, now) && (isOver || now >= last.At+LeaseTime))
		}
	})
}
