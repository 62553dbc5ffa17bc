package demo

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/standin/engine"
)

// sampleInterval is the interval between samples of the engines' running requests.
const sampleInterval = 50 * time.Millisecond

// Progress reports on a running phase until ctx is done, at the end of the phase.
type Progress func(ctx context.Context, phase string, tally *Tally)

// Run runs a scenario for a duration and returns a report on it. It stops early when ctx is done.
func (f *Fleet) Run(ctx context.Context, scenario Scenario, runFor time.Duration, seed uint64, progress Progress) (Report, error) {
	report := Report{Example: f.Example.Name, Scenario: scenario.Name, Faults: []string{}}
	for index, phase := range scenario.Phases {
		if ctx.Err() != nil {
			break
		}
		if phase.Begin != nil {
			if err := phase.Begin(ctx, f); err != nil {
				return report, err
			}
		}
		tally := NewTally()
		length := time.Duration(float64(runFor) * phase.Share)
		stopProgress := startProgress(ctx, progress, phase.Name, tally)
		summary := f.measure(ctx, phase, length, seed+uint64(index)<<32, tally)
		stopProgress()
		report.Phases = append(report.Phases, summary)
		report.Faults = append(report.Faults, tally.faults(phase.Name)...)
	}
	report.Faults = append(report.Faults, f.repeatedRuns()...)
	return report, nil
}

// startProgress runs progress in the background. The returned function stops it and waits for it.
func startProgress(ctx context.Context, progress Progress, phase string, tally *Tally) func() {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { progress(ctx, phase, tally) })
	return func() {
		cancel()
		running.Wait()
	}
}

// measure runs one phase and returns its report. Counters enter with their change during the phase.
func (f *Fleet) measure(ctx context.Context, phase Phase, length time.Duration, seed uint64, tally *Tally) PhaseReport {
	before, bytesBefore := f.engineCounts(), f.peerBytes()
	started := time.Now()
	load, stop := context.WithTimeout(ctx, length)
	defer stop()
	skew := make(chan float64, 1)
	go func() { skew <- f.sampleSkew(load) }()
	f.runPhase(load, phase, seed, tally)
	elapsed := time.Since(started)
	summary := tally.report(phase.Name)
	summary.Skew = <-skew
	summary.CacheReuse = cacheReuse(before, f.engineCounts())
	summary.ControlBytes = float64(f.peerBytes()-bytesBefore) / elapsed.Seconds() / float64(len(f.Routers))
	return summary
}

// sampleSkew samples the skew until ctx is done and returns its mean over the samples in which the
// engines are busy, 0 if there are none.
func (f *Fleet) sampleSkew(ctx context.Context) float64 {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	sum, samples := 0.0, 0
	for {
		select {
		case <-ctx.Done():
			return sum / float64(max(1, samples))
		case <-ticker.C:
			if skew, busy := f.currentSkew(); busy {
				sum += skew
				samples++
			}
		}
	}
}

// currentSkew returns the ratio of the running requests of the busiest engine to the mean. busy is
// false below two requests per engine, where the granularity of single requests prevents an even
// load.
func (f *Fleet) currentSkew() (skew float64, busy bool) {
	var total, highest int64
	for _, counts := range f.engineCounts() {
		total += counts.Running
		highest = max(highest, counts.Running)
	}
	mean := float64(total) / float64(len(f.Engines))
	if mean < 2 {
		return 0, false
	}
	return float64(highest) / mean, true
}

func (f *Fleet) engineCounts() map[fleet.UpstreamID]engine.Counts {
	counts := make(map[fleet.UpstreamID]engine.Counts, len(f.Engines))
	for id, started := range f.Engines {
		counts[id] = started.Counts()
	}
	return counts
}

// cacheReuse returns the share of the requests between two readings whose chat was cached.
func cacheReuse(before, after map[fleet.UpstreamID]engine.Counts) float64 {
	var hits, requests int64
	for id, counts := range after {
		hits += counts.CacheHits - before[id].CacheHits
		requests += counts.Requests - before[id].Requests
	}
	if requests == 0 {
		return 0
	}
	return float64(hits) / float64(requests)
}

// peerBytes returns the bytes that all routers have sent to and received from each other.
func (f *Fleet) peerBytes() int64 {
	var bytes int64
	for _, started := range f.Routers {
		sent, received := started.Traffic()
		bytes += sent + received
	}
	return bytes
}
