package supply

import (
	"math"
	"slices"
	"time"

	"agateswitch/core/scaling"
)

// Loads in requests in work. The engines at the start have 4,512 slots.
const (
	calm   = 600
	busy   = 2000
	length = 120 * time.Second
	wave   = 0.27
	period = 11 * time.Second
)

// swing returns a load that swings like the users' traffic.
func swing(mean float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		return mean * (1 + wave*math.Sin(2*math.Pi*at.Seconds()/period.Seconds()))
	}
}

// between returns a load that is multiplied by factor from one time to another.
func between(load func(time.Duration) float64, from, until time.Duration, factor float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < until {
			return factor * load(at)
		}
		return load(at)
	}
}

// backlog returns prompt tokens to be read that appear at a time and are halved again and again.
func backlog(from time.Duration, tokens float64, half time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < from {
			return 0
		}
		return tokens * math.Exp2(-float64(at-from)/float64(half))
	}
}

// Loads returns the loads that experiments can play.
func Loads() []Load {
	steady := func(time.Duration) float64 { return busy }
	return []Load{
		{Name: "calm-wave", Length: length, Running: swing(calm)},
		{Name: "busy-wave", Length: length, Running: swing(busy)},
		{Name: "cold-caches", Length: length, Running: swing(busy), Pending: backlog(40*time.Second, 1_500_000, 2*time.Second)},
		{Name: "burst", Length: length, Running: between(swing(busy), 40*time.Second, 43*time.Second, 1.7)},
		{Name: "step-up", Length: length, Running: between(steady, 40*time.Second, length, 2)},
		{Name: "step-down", Length: length, Running: between(steady, 40*time.Second, length, 0.3)},
		{Name: "zone-out", Length: length, Running: swing(busy), OutFrom: 40 * time.Second, OutUntil: 80 * time.Second},
		{Name: "crash", Length: length, Running: swing(busy), CrashAt: 40 * time.Second, CrashFor: 4500 * time.Millisecond, CrashShare: 0.17},
		{Name: "crowded-crash", Length: length, Running: swing(busy), CrashAt: 40 * time.Second, CrashFor: 4500 * time.Millisecond, CrashShare: 0.6},
		{Name: "lost", Length: length, Running: swing(busy), CrashAt: 40 * time.Second, CrashFor: length, CrashShare: 0.6},
		{Name: "unknown", Length: length, Running: between(steady, 40*time.Second, length, 2), UnknownFrom: 38 * time.Second, UnknownUntil: 60 * time.Second},
		{Name: "new-holder", Length: length, Running: between(steady, 40*time.Second, length, 2), NewHolders: []time.Duration{41 * time.Second, 45 * time.Second, 80 * time.Second}},
	}
}

// Policies holds the policies that experiments can compare, by name.
func Policies() map[string]*scaling.Policy {
	lasting := scaling.NewPolicy(boot, coldStart)
	unfaded := lasting
	unfaded.Fade = 0
	trend := lasting
	trend.Ahead = boot
	return map[string]*scaling.Policy{
		"fixed":   nil,
		"instant": {MaxDrop: 1},
		"lasting": &lasting,
		"unfaded": &unfaded,
		"trend":   &trend,
	}
}

// PolicyNames returns the names of the policies in order.
func PolicyNames() []string {
	var names []string
	for name := range Policies() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
