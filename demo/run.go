package demo

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/standin/engine"
)

// sampleInterval is the time between two samples of the engines' load.
const sampleInterval = 50 * time.Millisecond

// Progress tells of a phase until ctx ends, which is with the phase.
type Progress func(ctx context.Context, phase string, tally *Tally)

// Run plays a scenario over a time and reports on it. It ends early when ctx does.
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
		figures := f.measure(ctx, phase, length, seed+uint64(index)<<32, tally)
		stopProgress()
		report.Phases = append(report.Phases, figures)
		report.Faults = append(report.Faults, tally.faults(phase.Name)...)
	}
	report.Faults = append(report.Faults, f.runFaults()...)
	return report, nil
}

// startProgress runs progress beside a phase. The returned function ends it and waits.
func startProgress(ctx context.Context, progress Progress, phase string, tally *Tally) func() {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() { progress(ctx, phase, tally) })
	return func() {
		cancel()
		running.Wait()
	}
}

// measure runs one phase and takes the figures of its time alone.
func (f *Fleet) measure(ctx context.Context, phase Phase, length time.Duration, seed uint64, tally *Tally) PhaseReport {
	before, bytesBefore := f.engineCounts(), f.peerBytes()
	started := time.Now()
	load, stop := context.WithTimeout(ctx, length)
	defer stop()
	skew := make(chan float64, 1)
	go func() { skew <- f.sampleSkew(load) }()
	f.runPhase(load, phase, seed, tally)
	took := time.Since(started)
	figures := tally.report(phase.Name)
	figures.Skew = <-skew
	figures.CacheReuse = reuse(before, f.engineCounts())
	figures.ControlBytes = float64(f.peerBytes()-bytesBefore) / took.Seconds() / float64(len(f.Routers))
	return figures
}

// sampleSkew returns the mean, over samples with a busy pool, of the busiest engine's
// requests over the mean of the engines that take work.
func (f *Fleet) sampleSkew(ctx context.Context) float64 {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	sum, samples := 0.0, 0
	for {
		select {
		case <-ctx.Done():
			return sum / float64(max(1, samples))
		case <-ticker.C:
			if skew, busy := f.skewNow(); busy {
				sum += skew
				samples++
			}
		}
	}
}

// skewNow returns the skew of running requests; busy is false when there are fewer than
// two for each engine, where whole requests leave no room for evenness.
func (f *Fleet) skewNow() (skew float64, busy bool) {
	var total, most int64
	for _, counts := range f.engineCounts() {
		total += counts.Running
		most = max(most, counts.Running)
	}
	mean := float64(total) / float64(len(f.Engines))
	if mean < 2 {
		return 0, false
	}
	return float64(most) / mean, true
}

func (f *Fleet) engineCounts() map[fleet.UpstreamID]engine.Counts {
	counts := make(map[fleet.UpstreamID]engine.Counts, len(f.Engines))
	for id, started := range f.Engines {
		counts[id] = started.Counts()
	}
	return counts
}

// reuse returns the share of requests between two counts that found their chat cached.
func reuse(before, after map[fleet.UpstreamID]engine.Counts) float64 {
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

func (f *Fleet) peerBytes() int64 {
	var bytes int64
	for _, started := range f.Routers {
		sent, received := started.Traffic()
		bytes += sent + received
	}
	return bytes
}
