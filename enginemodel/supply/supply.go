// Package supply models how orders change the number of engines of one pool, in virtual time, to compare policies of core/scaling on one
// load. Requests are a fluid that spreads evenly over the engines; it has no queues and no caches, the prompts to be read are given, and
// what the engines have no slot for is lost. The limits and times are those of the users' installations with ordered engines.
package supply

import (
	"fmt"
	"math"
	"slices"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/scaling"
)

// The pool of the model.
const (
	boot      = 8 * time.Second
	coldStart = 3 * time.Second
	// drain is how long an engine that is taken away is still billed.
	drain     = 3 * time.Second
	slots     = 32
	atStart   = 47
	interval  = 100 * time.Millisecond
	decisions = 500 * time.Millisecond
	// coldShare is the part of its slots that a cold engine can use.
	coldShare = 0.3
	// worstWindow is the length of the window whose worst one is reported.
	worstWindow = 3 * time.Second
)

var (
	limits = scaling.Limits{Min: 39, Max: 94, Boot: boot}
	places = []fleet.DataCentre{"arima", "santa-rosa", "tunapuna"}
)

// Load is what happens to the pool.
type Load struct {
	Name   string
	Length time.Duration
	// Running returns how many requests callers have in work at a time, if engines have room for them.
	Running func(at time.Duration) float64
	// Pending returns how many prompt tokens engines have to read at a time; nil for none.
	Pending func(at time.Duration) float64
	// OutFrom and OutUntil bound the time in which the first data centre is taken out.
	OutFrom, OutUntil time.Duration
	// CrashAt is when CrashShare of the engines crash. They are back, cold, CrashFor later.
	CrashAt, CrashFor time.Duration
	CrashShare        float64
	// UnknownFrom and UnknownUntil bound the time in which loads are not known.
	UnknownFrom, UnknownUntil time.Duration
	// NewHolders are the times at which another router becomes the holder.
	NewHolders []time.Duration
}

// Order is an order for a data centre.
type Order struct {
	At         time.Duration
	DataCentre fleet.DataCentre
	Engines    int
	Reason     scaling.Reason
}

// Result is what came of one policy on a load.
type Result struct {
	// EngineSeconds is the time that is billed.
	EngineSeconds float64
	// Served is the share of requests that engines had slots for, and Worst that of the worst three seconds.
	Served, Worst float64
	// Crowded is the share of the time in which more than three quarters of the slots were in use.
	Crowded float64
	Orders  []Order
	// Reversals is the number of orders that go in the other direction than the one before them.
	Reversals int
	// Engines holds the number of engines that can work, one value for each second.
	Engines []float64
	// servedAt and offeredAt hold the requests in work and those that callers would have there, one value for each interval.
	servedAt, offeredAt []float64
}

// served and offered return the values from a time on.
func (r Result) served(from time.Duration) []float64  { return r.servedAt[from/interval:] }
func (r Result) offered(from time.Duration) []float64 { return r.offeredAt[from/interval:] }

// engine is one engine of the model.
type engine struct {
	place fleet.DataCentre
	// readyAt is when it begins to serve, warmAt when it is warm, and goneAt when it is billed no more; zero if it stays.
	readyAt, warmAt, leavesAt, goneAt time.Duration
	downUntil                         time.Duration
}

type model struct {
	load     Load
	policy   *scaling.Policy
	engines  []*engine
	deciders map[fleet.DataCentre]*scaling.Decider
	result   Result
	// lastChange is the last change of each data centre's engines.
	lastChange map[fleet.DataCentre]int
}

// epoch is the start of the model's time.
var epoch = time.Unix(0, 0)

// Run plays a policy on a load. Without a policy nothing is ordered.
func Run(load Load, policy *scaling.Policy) Result {
	m := &model{load: load, policy: policy, deciders: map[fleet.DataCentre]*scaling.Decider{}, lastChange: map[fleet.DataCentre]int{}}
	for _, place := range places {
		m.deciders[place] = &scaling.Decider{}
		for range atStart {
			m.engines = append(m.engines, &engine{place: place})
		}
	}
	for at := time.Duration(0); at < load.Length; at += interval {
		m.step(at)
	}
	m.summarize()
	return m.result
}

func (m *model) step(at time.Duration) {
	if m.load.CrashShare > 0 && at == m.load.CrashAt {
		for i, e := range m.engines {
			if float64(i*37%100) < m.load.CrashShare*100 {
				e.downUntil, e.warmAt = at+m.load.CrashFor, at+m.load.CrashFor+coldStart
			}
		}
	}
	if slices.Contains(m.load.NewHolders, at) {
		for _, place := range places {
			m.deciders[place] = &scaling.Decider{}
		}
	}
	m.engines = slices.DeleteFunc(m.engines, func(e *engine) bool { return e.goneAt > 0 && at >= e.goneAt })
	m.result.EngineSeconds += float64(len(m.engines)) * interval.Seconds()
	running := m.load.Running(at)
	room := m.room(at)
	m.result.offeredAt, m.result.servedAt = append(m.result.offeredAt, running), append(m.result.servedAt, min(running, room))
	if running > 0.75*room {
		m.result.Crowded += interval.Seconds() / m.load.Length.Seconds()
	}
	if at%time.Second == 0 {
		m.result.Engines = append(m.result.Engines, room/slots)
	}
	if m.policy != nil && at%decisions == 0 {
		m.decide(at, min(running, room))
	}
}

// room returns how many requests the engines can hold.
func (m *model) room(at time.Duration) float64 {
	room := 0.0
	for _, e := range m.engines {
		switch {
		case !m.serves(e, at):
		case at < e.warmAt:
			room += coldShare * slots
		default:
			room += slots
		}
	}
	return room
}

func (m *model) serves(e *engine, at time.Duration) bool {
	return at >= e.readyAt && e.leavesAt == 0 && at >= e.downUntil && !m.isOut(e.place, at)
}

func (m *model) isOut(place fleet.DataCentre, at time.Duration) bool {
	return place == places[0] && at >= m.load.OutFrom && at < m.load.OutUntil
}

// decide lets the policy decide for each data centre, and executes its orders.
func (m *model) decide(at time.Duration, running float64) {
	now := epoch.Add(at)
	pool := m.measure(at, running)
	for _, place := range places {
		decider := m.deciders[place]
		if at >= m.load.UnknownFrom && at < m.load.UnknownUntil {
			decider.Unknown(now)
			continue
		}
		decision := decider.Decide(now, *m.policy, limits, pool, place)
		if decision.Order {
			decider.Ordered(now, *m.policy, decision.Engines)
			m.execute(at, place, decision)
		}
	}
}

// measure returns what a router knows of the pool.
func (m *model) measure(at time.Duration, running float64) scaling.Pool {
	var known []scaling.Engine
	serving := 0
	for _, e := range m.engines {
		if m.serves(e, at) {
			serving++
		}
	}
	for _, e := range m.engines {
		if at < e.readyAt || at < e.downUntil {
			continue
		}
		entry := scaling.Engine{DataCentre: e.place, Slots: slots, Leaving: e.leavesAt > 0, ColdFor: max(0, e.warmAt-at)}
		if m.serves(e, at) {
			entry.Running = int(math.Round(running / float64(serving)))
			if m.load.Pending != nil {
				entry.Pending = int(m.load.Pending(at) / float64(serving))
			}
		}
		known = append(known, entry)
	}
	out := map[fleet.DataCentre]bool{}
	for _, place := range places {
		out[place] = m.isOut(place, at)
	}
	return scaling.Measure(known, out, boot+coldStart)
}

// execute starts engines or takes some away, those that are not up yet first.
func (m *model) execute(at time.Duration, place fleet.DataCentre, decision scaling.Decision) {
	m.result.Orders = append(m.result.Orders, Order{At: at, DataCentre: place, Engines: decision.Engines, Reason: decision.Reason})
	present := 0
	for _, e := range m.engines {
		if e.place == place && e.leavesAt == 0 {
			present++
		}
	}
	m.countReversal(place, decision.Engines-present)
	for ; present < decision.Engines; present++ {
		m.engines = append(m.engines, &engine{place: place, readyAt: at + boot, warmAt: at + boot + coldStart})
	}
	for i := len(m.engines) - 1; i >= 0 && present > decision.Engines; i-- {
		if e := m.engines[i]; e.place == place && e.leavesAt == 0 {
			e.leavesAt, e.goneAt = at, at+drain
			present--
		}
	}
}

func (m *model) countReversal(place fleet.DataCentre, change int) {
	if m.lastChange[place]*change < 0 {
		m.result.Reversals++
	}
	m.lastChange[place] = change
}

// summarize derives the shares from the samples.
func (m *model) summarize() {
	m.result.Worst = 1
	m.result.Served = share(m.result.servedAt, m.result.offeredAt)
	width := int(worstWindow / interval)
	for i := 0; i+width <= len(m.result.servedAt); i++ {
		m.result.Worst = min(m.result.Worst, share(m.result.servedAt[i:i+width], m.result.offeredAt[i:i+width]))
	}
}

func share(served, offered []float64) float64 {
	sumServed, sumOffered := 0.0, 0.0
	for i := range served {
		sumServed, sumOffered = sumServed+served[i], sumOffered+offered[i]
	}
	if sumOffered == 0 {
		return 1
	}
	return sumServed / sumOffered
}

// String returns the order as a line of a log.
func (o Order) String() string {
	return fmt.Sprintf("%s %s %d (%s)", o.At, o.DataCentre, o.Engines, o.Reason)
}
