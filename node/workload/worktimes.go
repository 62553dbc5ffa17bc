package workload

import (
	"time"

	"agateswitch/core/balance"
	"agateswitch/core/fleet"
)

// StateWorkTime records how long work takes at an upstream, in percent of the usual time, as an answer states it. The other routers are
// told with the next load.
func (w *Workload) StateWorkTime(upstream fleet.UpstreamID, percent float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.workTimes.State(upstream, percent, time.Now())
}

// JudgeWorkTime compares what an upstream stated with the time until the first token of a request of so many expected tokens. It
// logs when the upstream loses its say, or has it again.
func (w *Workload) JudgeWorkTime(upstream fleet.UpstreamID, percent, expectedTokens float64, took time.Duration) {
	w.mu.Lock()
	changed, isLost := w.workTimes.Judge(upstream, percent, expectedTokens, took)
	w.mu.Unlock()
	if changed {
		w.log.Info("trust in the stated work time of an upstream has changed", "upstream", upstream, "ignored", isLost, "percent", percent,
			"expected_tokens", int(expectedTokens), "took", took)
	}
}

// WorkTime returns how long work is expected to take at an upstream, relative to the usual time; 0 if it has never been stated.
func (w *Workload) WorkTime(upstream fleet.UpstreamID, now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.workTimes.WorkTime(upstream, now)
}

// learnWorkTimes records what another router told, and passes it on if this router is its relay. Callers hold mu.
func (w *Workload) learnWorkTimes(marks []balance.WorkTimeMark, isRelay bool) {
	now := time.Now()
	for _, mark := range marks[:min(len(marks), balance.MaxWorkTimesPerMessage)] {
		w.workTimes.Merge(mark, now, isRelay)
	}
}
