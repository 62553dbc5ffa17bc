package pace

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// No request is sent within any pause that was asked for, up to MaxPause, and none is held back after
// the last of them.
func TestEveryPauseIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pause Pause
		now, latest := start, start
		for range rapid.IntRange(1, 20).Draw(t, "answers") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "gap")) * time.Millisecond)
			length := time.Duration(rapid.IntRange(1, 600_000).Draw(t, "length")) * time.Millisecond
			reason := pause.Ask(now, length)
			if end := now.Add(min(length, MaxPause)); end.After(latest) {
				latest = end
			}
			must.Eq(t, latest, pause.Until())
			must.True(t, pause.Active(latest.Add(-time.Nanosecond)))
			must.False(t, pause.Active(latest))
			if reason == PauseLimited {
				must.Greater(t, MaxPause, length)
			}
		}
	})
}

func TestCallersReturnAfterThePause(t *testing.T) {
	until := start.Add(3 * time.Second)
	must.Eq(t, 3*time.Second, RetryAfterPause(start, until, 0))
	must.Eq(t, 3500*time.Millisecond, RetryAfterPause(start, until, 0.5))
	must.Eq(t, 0, RetryAfterPause(until.Add(time.Hour), until, 0))
}
