package rollout_test

import (
	"testing"
	"time"

	"agateswitch/core/rollout"

	"github.com/shoenig/test/must"
)

// Sizes of the seeded moves: Hoofline's model pool, and one of 15 models at the target size.
var (
	hooflineMove = scenario{rate: 5, routers: 6, timeLimit: 20 * time.Minute}
	targetMove   = scenario{rate: 2600.0 / 15, routers: 380, timeLimit: 10 * time.Minute}
)

func (s scenario) with(seed uint64, fault faultModel) scenario {
	s.seed, s.fault, s.isFaulty = seed, fault, fault != nil
	if fault == nil {
		s.fault = noFault
	}
	return s
}

// The move to a good version under noise is done by its deadline, and rolled back in at most 1 of
// 100 cases.
func TestGoodVersionsMoveInTime(t *testing.T) {
	t.Parallel()
	for name, size := range map[string]struct {
		scenario
		moves int
	}{"hoofline": {hooflineMove, 100}, "target": {targetMove, 2}} {
		var longest time.Duration
		rolledBack := 0
		for seed := range size.moves {
			result := size.with(uint64(seed), nil).run()
			must.LessEq(t, 1, result.changes)
			if result.status == rollout.StatusRolledBack {
				rolledBack++
				t.Logf("%s: seed %d rolled back: %s", name, seed, result.reason)
				continue
			}
			longest = max(longest, result.duration)
		}
		must.LessEq(t, size.timeLimit, longest)
		must.LessEq(t, size.moves/100, rolledBack)
		t.Logf("%s: %d of %d rolled back, the longest took %s", name, rolledBack, size.moves, longest)
	}
}

// faults are the fault models of bad versions.
var faults = map[string]faultModel{
	"fails at once": func(time.Duration, float64, string) (float64, float64, float64) { return 0.3, 1, 1 },
	"fails always":  func(time.Duration, float64, string) (float64, float64, float64) { return 1, 1, 1 },
	"slow first token": func(time.Duration, float64, string) (float64, float64, float64) {
		return 0, 2.5, 1
	},
	"slow tokens": func(time.Duration, float64, string) (float64, float64, float64) { return 0, 1, 2 },
	"fails later": func(age time.Duration, _ float64, _ string) (float64, float64, float64) {
		if age > 90*time.Second {
			return 0.3, 1, 1
		}
		return 0, 1, 1
	},
	"fails under load": func(_ time.Duration, share float64, _ string) (float64, float64, float64) {
		if share >= 0.5 {
			return 0.3, 1, 1
		}
		return 0, 1, 1
	},
	"fails alone": func(_ time.Duration, share float64, _ string) (float64, float64, float64) {
		if share >= 1 {
			return 0.3, 1, 1
		}
		return 0, 1, 1
	},
	"fails on one route": func(_ time.Duration, _ float64, route string) (float64, float64, float64) {
		if route == "POST /v1/embeddings" {
			return 0.5, 1, 1
		}
		return 0, 1, 1
	},
}

// faultyFromStart names the faults that affect a version from its first request.
var faultyFromStart = map[string]bool{
	"fails at once": true, "fails always": true, "slow first token": true, "slow tokens": true, "fails on one route": true,
}

// A bad version is rolled back, gets at most 5% of the chats before its evidence allows a step, and
// gets no request later than 2 s after its fault is detectable.
func TestBadVersionsAreRolledBack(t *testing.T) {
	t.Parallel()
	for name, fault := range faults {
		for sizeName, size := range map[string]struct {
			scenario
			moves int
		}{"hoofline": {hooflineMove, 5}, "target": {targetMove, 1}} {
			slowestRollback, lateRequests, maxRequests := time.Duration(0), 0, 0
			for seed := range size.moves {
				move := size.with(uint64(seed), fault)
				move.margin = maxEventStrength
				result := move.run()
				must.Eq(t, rollout.StatusRolledBack, result.status, must.Sprintf("%s, %s, seed %d", name, sizeName, seed))
				must.True(t, result.isDetectable, must.Sprintf("%s, %s, seed %d: %s", name, sizeName, seed, result.reason))
				if faultyFromStart[name] {
					must.LessEq(t, rollout.FirstShare, result.maxShare, must.Sprintf("%s, %s, seed %d: %s", name, sizeName, seed, result.reason))
				}
				must.LessEq(t, 2, result.changes)
				slowestRollback = max(slowestRollback, result.duration-result.detectableAt)
				lateRequests += result.lateRequests
				maxRequests = max(maxRequests, result.newVersionRequests)
			}
			t.Logf("%s, %s: at most %d requests on the bad version, rolled back within %s of detectability, %d requests later than 2 s",
				name, sizeName, maxRequests, slowestRollback, lateRequests)
			must.Zero(t, lateRequests, must.Sprintf("%s, %s", name, sizeName))
		}
	}
}

// A bad version gets no request later than 2 s after its fault is detectable, here without a margin:
// the fault counts as detectable once undelayed evidence passes the threshold for the first time, even
// if a later cell lowers it below the threshold again.
func TestNothingLaterThanTheFirstSign(t *testing.T) {
	t.Parallel()
	sum := 0
	for name, fault := range faults {
		lateRequests := 0
		for seed := range 10 {
			lateRequests += hooflineMove.with(uint64(seed), fault).run().lateRequests
		}
		t.Logf("%s: %d requests later than 2 s", name, lateRequests)
		sum += lateRequests
	}
	must.Zero(t, sum)
}
