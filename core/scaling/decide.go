package scaling

import (
	"math"
	"time"

	"agateswitch/core/fleet"
)

// Parameters of the default policy.
const (
	// upShare is the part of the boot time for which many more engines must have been needed.
	upShare = 0.25
	// manyMore is the part of the engines that makes a need for more urgent. A smaller one fits into the free slots meanwhile, and must have
	// lasted patience times as long: caches that are cold at the start of a load, for one, are soon warm.
	manyMore = 0.25
	patience = 2
	// downMargin is the part of the need by which a smaller order exceeds it.
	downMargin = 0.1
	// maxDrop is the part of the engines that one order takes away at most. The prompts in their caches are read again elsewhere.
	maxDrop = 0.25
	// minDrop is the part of the engines that one order takes away at least.
	minDrop = 0.05
	// minWindow bounds the windows from below, for engines that start at once.
	minWindow = time.Second
	// maxGap is the longest time between two decisions after which the seconds before still count.
	maxGap = 2 * time.Second
)

// Policy says how long a need must have lasted before it is answered.
type Policy struct {
	// Up is how long many more engines must have been needed, and Down how long fewer must have been enough.
	Up, Down time.Duration
	// Ahead is how far the trend of the need is extrapolated; zero for not at all.
	Ahead time.Duration
	// Fade is how far a need that falls is extrapolated before it is answered by more engines: prompts that wait to be read into cold
	// caches are done before new engines are there. Zero for not at all.
	Fade time.Duration
	// Margin is the part of the need by which a smaller order exceeds it.
	Margin float64
	// MaxDrop is the part of the engines that one order takes away at most.
	MaxDrop float64
}

// NewPolicy returns the policy for engines that take the given times to start and to become warm.
func NewPolicy(boot, coldStart time.Duration) Policy {
	return Policy{
		Up: max(minWindow, time.Duration(upShare*float64(boot))), Down: max(minWindow, boot+coldStart), Fade: boot, Margin: downMargin, MaxDrop: maxDrop,
	}
}

// Reason says why a number of engines is ordered or kept.
type Reason string

// Reasons of decisions.
const (
	// ReasonSteady means that the order in force fits.
	ReasonSteady Reason = "steady"
	// ReasonMore means that more engines were needed throughout the up window, or one twice as long.
	ReasonMore Reason = "more demand"
	// ReasonLess means that fewer were enough throughout the down window.
	ReasonLess Reason = "less demand"
	// ReasonLimits means that the order in force, or the number of engines, is outside the limits.
	ReasonLimits Reason = "limits"
	// ReasonWatching means that the need was not known for long enough.
	ReasonWatching Reason = "watching"
	// ReasonUnknown means that the need is not known.
	ReasonUnknown Reason = "unknown"
)

// Decision is the number of engines to order.
type Decision struct {
	Engines int
	// InForce is the number that was ordered last, or adopted.
	InForce int
	// Order is true if Engines has to be ordered.
	Order  bool
	Reason Reason
	// Wanted is the number of engines that the need of this moment asks for, without regard to the limits.
	Wanted float64
}

// sample is what was known at a time.
type sample struct {
	at time.Time
	// wanted is the number of engines that were wanted, listed the number that were registered, and ordered the number in force.
	wanted          float64
	listed, ordered int
	// lost is how many of the engines that have had the time to start were not able to work.
	lost float64
}

// Decider decides for one data centre. It is not safe for concurrent use.
type Decider struct {
	samples []sample
	// seenAt is when it was last asked.
	seenAt time.Time
	// ordered is the number of engines in force. Until it has ordered, isAdopted is true and it is the most that were registered.
	ordered   int
	isAdopted bool
	// isUnsure is true if an order may not have taken effect.
	isUnsure bool
	// downAt is when fewer may be ordered.
	downAt time.Time
}

// Unknown records that the need is not known now. What was needed before says nothing of the time after.
func (d *Decider) Unknown(now time.Time) Decision {
	d.see(now)
	d.samples = nil
	return Decision{Engines: d.ordered, InForce: d.ordered, Reason: ReasonUnknown}
}

// Decide returns the number of engines to order in a data centre now. After a gap it begins anew, because another router may have
// ordered meanwhile.
func (d *Decider) Decide(now time.Time, policy Policy, limits Limits, pool Pool, here fleet.DataCentre) Decision {
	d.see(now)
	if listed := pool.Supply[here].Listed; d.isAdopted && listed > d.ordered {
		d.ordered = listed
	}
	d.add(sample{at: now, listed: pool.Supply[here].Listed, ordered: d.ordered}, policy)
	wanted := d.wanted(now, policy, limits, pool, here)
	decision := Decision{Engines: d.ordered, InForce: d.ordered, Reason: ReasonSteady, Wanted: wanted}
	watched := now.Sub(d.samples[0].at)
	more, less := d.more(now, policy, limits), d.fewer(policy, limits)
	switch {
	case more > d.ordered:
		decision.Engines, decision.Reason = more, ReasonMore
	case watched < policy.Down:
		decision.Reason = ReasonWatching
	case limits.Clamp(d.ordered) != d.ordered:
		decision.Engines, decision.Reason = limits.Clamp(d.ordered), ReasonLimits
	case less < d.ordered && !now.Before(d.downAt):
		decision.Engines, decision.Reason = less, ReasonLess
	}
	decision.Order = decision.Engines != d.ordered || d.isUnsure
	return decision
}

// see makes it forget everything after a gap.
func (d *Decider) see(now time.Time) {
	if now.Sub(d.seenAt) > maxGap {
		*d = Decider{isAdopted: true}
	}
	d.seenAt = now
}

// Ordered records that an order is in force.
func (d *Decider) Ordered(now time.Time, policy Policy, engines int) {
	d.ordered, d.isAdopted, d.isUnsure, d.downAt = engines, false, false, now.Add(policy.Down)
}

// Unsure records that an order may be in force or not. The next decision is an order in any case.
func (d *Decider) Unsure(now time.Time, policy Policy, engines int) {
	d.Ordered(now, policy, engines)
	d.isUnsure = true
}

// fewer returns how many engines are enough after the down window, within the step that one order may take; the number in force if the step is too
// small. The step begins at what there is: engines that others have added go with an order that doesn't count them. Engines of two versions may
// be registered side by side for a while, so the fewest registered count.
func (d *Decider) fewer(policy Policy, limits Limits) int {
	most, listed := 0.0, math.MaxInt
	for _, s := range d.samples {
		most, listed = max(most, s.wanted), min(listed, s.listed)
	}
	base := listed
	if !d.isAdopted {
		base = max(listed, d.ordered)
	}
	fewer := limits.Clamp(max(ceil(most*(1+policy.Margin)), ceil(float64(base)*(1-policy.MaxDrop))))
	if float64(base-fewer) < minDrop*float64(base) {
		return d.ordered
	}
	return fewer
}

// wanted completes the newest sample. It returns how many engines the need asks for, and in place of those that are lost: at once if the
// others are crowded, and otherwise once they have been lost for as long as it takes to replace them.
func (d *Decider) wanted(now time.Time, policy Policy, limits Limits, pool Pool, here fleet.DataCentre) float64 {
	newest := &d.samples[len(d.samples)-1]
	newest.wanted = pool.PartOf(here, limits)
	if pool.Supply[here].Out {
		return newest.wanted
	}
	established, lasting := d.ordered, math.Inf(1)
	for _, s := range d.samples {
		established = min(established, s.ordered)
	}
	newest.lost = max(0, float64(established)-pool.Supply[here].Able)
	for _, s := range d.samples {
		lasting = min(lasting, s.lost)
	}
	switch {
	case pool.IsCrowded():
		newest.wanted += newest.lost
	case now.Sub(d.samples[0].at) >= policy.Down:
		newest.wanted += lasting
	}
	return newest.wanted
}

// add adds a sample and removes those that no window needs.
func (d *Decider) add(s sample, policy Policy) {
	d.samples = append(d.samples, s)
	for len(d.samples) > 1 && s.at.Sub(d.samples[1].at) >= policy.Down {
		d.samples = d.samples[1:]
	}
}

// more returns the number of engines that were needed for long enough; zero if none was.
func (d *Decider) more(now time.Time, policy Policy, limits Limits) int {
	more := 0
	if lasting := ceil(d.least(now, policy.Up, policy)); float64(lasting) >= (1+manyMore)*float64(d.ordered) {
		more = lasting
	} else if lasting = ceil(d.least(now, patience*policy.Up, policy)); lasting > d.ordered {
		more = lasting
	}
	if more <= d.ordered {
		return 0
	}
	return limits.Clamp(more)
}

// least returns what was wanted throughout a time, and will be if the trend goes on as far as the policy extrapolates it; zero if that is not
// known.
func (d *Decider) least(now time.Time, span time.Duration, policy Policy) float64 {
	if now.Sub(d.samples[0].at) < span {
		return 0
	}
	least, first := math.Inf(1), sample{}
	for i := len(d.samples) - 1; i >= 0; i-- {
		first = d.samples[i]
		least = min(least, first.wanted)
		if now.Sub(first.at) >= span {
			break
		}
	}
	if !now.After(first.at) {
		return least
	}
	last := d.samples[len(d.samples)-1].wanted
	slope := (last - first.wanted) / now.Sub(first.at).Seconds()
	if policy.Ahead > 0 {
		least = max(least, last+slope*policy.Ahead.Seconds())
	}
	if slope < 0 {
		least = min(least, max(0, last+slope*policy.Fade.Seconds()))
	}
	return least
}

// ceil rounds up, with room for the error of a sum.
func ceil(engines float64) int { return int(math.Ceil(min(engines, math.MaxInt32) - 1e-9)) }
