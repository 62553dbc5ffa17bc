// Package quarantine finds parts of prompts, and whole requests that come again, that crash the engines which work on
// them, and holds back requests with such a part. An engine that ends takes along everything that it works on, from callers
// who have nothing to do with its end. A part is suspected by the ends of several engines on which it was in work and not
// yet answered, with no answer to a request with the part since the first of them: a part that other requests get
// answers with is never held.
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"agateswitch/core/fleet"
)

// Limits of the evidence for a part.
const (
	// suspectEnds is how many ends make a part a suspect, of which the fleet works on one request at a time.
	suspectEnds = 2
	// holdEnds is how many ends hold a part back.
	holdEnds = 4
	// sameCauseWindow is the time within which ends of several engines count as one. Engines that end at the
	// same moment, as in a loss of power, have a cause in common that is not the part.
	sameCauseWindow = 50 * time.Millisecond
	// sameEndWindow is the time within which the connections of an engine end because of the same end, as routers tell it.
	sameEndWindow = 100 * time.Millisecond
	// maxEndAge is how long an end counts. Parts that are requested less often are not worth more memory.
	maxEndAge = 10 * time.Minute
	// maxParts bounds the parts with evidence, and maxEnds the ends kept of each.
	maxParts = 1024
	// maxEndings bounds the engines whose end is remembered.
	maxEndings = 4096
	maxEnds    = 16
)

// Part is the id of what may be guilty: a part of a prompt, or a whole request (WholeRequest).
type Part string

// Engine is one incarnation of an upstream.
type Engine struct {
	//lint:ignore U1000 The msgpack library reads this tag.
	_msgpack    struct{} `msgpack:",as_array"`
	ID          fleet.UpstreamID
	Incarnation int64
}

// End is the end of an engine on which a part was in work and not yet answered.
type End struct {
	Part   Part
	Engine Engine
	At     time.Time
	// Next is the part after this one in the prompt, if others share that, too.
	Next Part
	// Alone is true if no other request with the part was in work.
	Alone bool
	// Origin tells operators of the request.
	Origin Origin
	// Pool is the pool of the engine, Load how many requests the engine worked on, and Share the part's share of the pool's
	// requests. Routers of earlier builds don't tell them: empty and zero mean unknown.
	Pool  fleet.PoolID
	Load  int
	Share Share
	// Teller is the router that counted Share. Empty means unknown.
	Teller fleet.HostID
	// Manner is how the end showed.
	Manner Manner
}

// Origin is where a request came from.
type Origin struct {
	Route string     `json:"route,omitempty" msgpack:"r,omitempty"`
	Team  fleet.Team `json:"team,omitempty" msgpack:"t,omitempty"`
}

// Standing is what the evidence says of a part.
type Standing int

// Standings of parts.
const (
	// Clear parts have no evidence against them, or too little.
	Clear Standing = iota
	// Suspect parts may be in work in one request at a time.
	Suspect
	// Held parts get no work until an operator releases them, an answer clears them, or they are tried because the hold is in doubt.
	Held
)

// record is the evidence for one part.
type record struct {
	ends []engineEnd
	// clearedAt is the time of the last answer. Earlier ends don't count.
	clearedAt time.Time
	origin    Origin
	// weight is what the ends proved after weighedAt changes of the evidence.
	weight    Weight
	weighedAt int
}

// Evidence is what a router knows about the ends of engines. It is not safe for concurrent use.
type Evidence struct {
	parts map[Part]*record
	// ended holds the end of each engine with evidence, and refuted when a request was sent to which an
	// engine that seemed to have ended has answered.
	ended   map[Engine]ending
	refuted map[Engine]time.Time
	// suspectRequests holds the whole requests with suspectEnds ends or more.
	suspectRequests map[Part]bool
	// changes counts the ends that were added or refuted.
	changes int
}

// NewEvidence returns evidence of nothing.
func NewEvidence() *Evidence {
	return &Evidence{
		parts: map[Part]*record{}, ended: map[Engine]ending{}, refuted: map[Engine]time.Time{}, suspectRequests: map[Part]bool{}, changes: 1,
	}
}

// AddEnd adds an end and reports whether it is new and counts.
func (e *Evidence) AddEnd(end End, now time.Time) bool {
	r, found := e.parts[end.Part]
	if !found {
		e.prune(now)
		if len(e.parts) >= maxParts && !e.makeRoom() {
			return false
		}
		r = &record{}
		e.parts[end.Part] = r
	}
	if r.has(end.Engine) || e.endedBefore(end) || !end.At.After(r.clearedAt) || end.At.Before(e.refuted[end.Engine]) || len(r.ends) >= maxEnds {
		return false
	}
	r.ends = append(r.ends, engineEnd{
		engine: end.Engine, at: end.At, next: end.Next, alone: end.Alone, pool: end.Pool, load: end.Load, share: end.Share, teller: end.Teller, manner: end.Manner,
	})
	if r.origin == (Origin{}) {
		r.origin = end.Origin
	}
	slices.SortFunc(r.ends, func(a, b engineEnd) int { return a.at.Compare(b.at) })
	e.AddEnding(end)
	e.updateSuspect(end.Part)
	e.changes++
	return true
}

// Changes returns a number that differs after an end was added or refuted.
func (e *Evidence) Changes() int { return e.changes }

// endedBefore reports whether the engine had ended before, and has answered no request since. Its end was that of another part,
// and it breaks off whatever reaches it.
func (e *Evidence) endedBefore(end End) bool {
	ended, found := e.ended[end.Engine]
	return found && ended.manner.IsInWork() && end.At.Sub(ended.at) > sameEndWindow
}

// HasEnded reports whether an engine has ended and answered no request since.
func (e *Evidence) HasEnded(engine Engine) bool {
	_, found := e.ended[engine]
	return found
}

// makeRoom forgets the older half of the parts with a single end, such as requests that did not come again. It reports
// false if there are none.
func (e *Evidence) makeRoom() bool {
	var single []Part
	for part, r := range e.parts {
		if len(r.ends) <= 1 {
			single = append(single, part)
		}
	}
	lastHeard := func(part Part) time.Time {
		if r := e.parts[part]; len(r.ends) > 0 {
			return r.ends[0].at
		}
		return e.parts[part].clearedAt
	}
	slices.SortFunc(single, func(a, b Part) int { return lastHeard(a).Compare(lastHeard(b)) })
	for _, part := range single[:(len(single)+1)/2] {
		delete(e.parts, part)
	}
	return len(single) > 0
}

// updateSuspect updates suspectRequests after a change of the evidence for a part.
func (e *Evidence) updateSuspect(part Part) {
	if !part.IsWholeRequest() {
		return
	}
	if e.Ends(part) >= suspectEnds {
		e.suspectRequests[part] = true
	} else {
		delete(e.suspectRequests, part)
	}
}

// SuspectsRequests reports whether any whole request is a suspect or held.
func (e *Evidence) SuspectsRequests() bool { return len(e.suspectRequests) > 0 }

// Origin returns where the first request with a part came from.
func (e *Evidence) Origin(part Part) Origin {
	if r, found := e.parts[part]; found {
		return r.origin
	}
	return Origin{}
}

// Concerns reports whether an answer by an engine to a request with a part would change the evidence.
func (e *Evidence) Concerns(engine Engine, parts []Part) bool {
	if _, found := e.ended[engine]; found {
		return true
	}
	return slices.ContainsFunc(parts, func(part Part) bool { return e.parts[part] != nil })
}

// AddAnswer adds that an answer to a request with the parts began at a time. It clears the parts of all ends
// before.
func (e *Evidence) AddAnswer(parts []Part, at time.Time) {
	for _, part := range parts {
		if r, found := e.parts[part]; found && at.After(r.clearedAt) {
			r.clearedAt = at
			r.ends = slices.DeleteFunc(r.ends, func(end engineEnd) bool { return !end.at.After(at) })
			r.weighedAt = 0
			e.updateSuspect(part)
		}
	}
}

// Refute removes the end of an engine that has answered a request which was sent to it later: only connections to it
// had ended. It reports whether there was one that others know, too. An end from before that is told later doesn't count either.
func (e *Evidence) Refute(engine Engine, sentAt time.Time) bool {
	if len(e.refuted) < maxParts {
		e.refuted[engine] = sentAt
	}
	ended, found := e.ended[engine]
	if !found || !sentAt.After(ended.at) {
		return false
	}
	delete(e.ended, engine)
	e.changes++
	if !ended.manner.IsInWork() {
		return false
	}
	for part, r := range e.parts {
		r.ends = slices.DeleteFunc(r.ends, func(end engineEnd) bool { return end.engine == engine })
		e.updateSuspect(part)
	}
	return true
}

// Ends returns how many ends count against a part. Those at the same moment count once.
func (e *Evidence) Ends(part Part) int {
	r, found := e.parts[part]
	if !found {
		return 0
	}
	count := 0
	var last time.Time
	for _, end := range r.ends {
		if count == 0 || end.at.Sub(last) >= sameCauseWindow {
			count++
			last = end.at
		}
	}
	return count
}

// Engines returns the engines whose ends count against a part, first to last.
func (e *Evidence) Engines(part Part) []Engine {
	var engines []Engine
	if r, found := e.parts[part]; found {
		for _, end := range r.ends {
			engines = append(engines, end.engine)
		}
	}
	return engines
}

// Standing returns what the evidence says of a part. The standard is stricter for a request that has already been
// in work on an engine that ended. A part that most requests have is in work wherever engines end: it is never held, and a suspect only if
// the ends convict it.
func (e *Evidence) Standing(part Part, isRepeat bool) Standing {
	ends := e.Ends(part)
	switch {
	case ends == 0:
		return Clear
	case e.TakesMost(part):
		if e.Weigh(part).Convicts() {
			return Suspect
		}
		return Clear
	case ends >= holdEnds && !e.isExplained(part) && (!part.IsWholeRequest() || e.endedAlone(part)):
		return Held
	case ends >= suspectEnds, isRepeat && ends > 0:
		return Suspect
	}
	return Clear
}

// isExplained reports whether all ends that count against a part came of requests with one and the same next part, which is
// held for them. That the part crashes engines without the next one, nothing shows.
func (e *Evidence) isExplained(part Part) bool {
	ends := e.parts[part].ends
	next := ends[0].next
	if next == "" || e.Ends(next) < holdEnds {
		return false
	}
	return !slices.ContainsFunc(ends, func(end engineEnd) bool { return end.next != next })
}

// endedAlone reports whether an engine ended while no other request with the part was in work. A whole request needs such an
// end to be held: answers to it are not remembered before it is a suspect, so that a popular one may have been in work on
// several engines that end one after the other.
func (e *Evidence) endedAlone(part Part) bool {
	return slices.ContainsFunc(e.parts[part].ends, func(end engineEnd) bool { return end.alone })
}

// Known returns all ends that count, for a router that starts. Those of a part follow those of its next one.
func (e *Evidence) Known(now time.Time) []End {
	var all []End
	for part, r := range e.parts {
		for _, end := range r.ends {
			if now.Sub(end.at) <= maxEndAge {
				all = append(all, end.told(part, r.origin))
			}
		}
	}
	slices.SortStableFunc(all, func(a, b End) int { return cmp.Compare(e.depth(a.Part), e.depth(b.Part)) })
	return all
}

func (end engineEnd) told(part Part, origin Origin) End {
	return End{
		Part: part, Engine: end.engine, At: end.at, Next: end.next, Alone: end.alone, Origin: origin, Pool: end.pool, Load: end.load, Share: end.share,
		Teller: end.teller, Manner: end.manner,
	}
}

// Following returns a part and those that followed it in the prompts that ended engines.
func (e *Evidence) Following(part Part) []Part {
	following := []Part{part}
	for i := 0; i < len(following) && len(following) < maxEnds; i++ {
		if r, found := e.parts[following[i]]; found {
			for _, end := range r.ends {
				if end.next != "" && !slices.Contains(following, end.next) {
					following = append(following, end.next)
				}
			}
		}
	}
	return following
}

// depth returns how many parts follow a part in the prompts that ended engines.
func (e *Evidence) depth(part Part) int {
	depth := 0
	for depth < maxEnds {
		r, found := e.parts[part]
		if !found || len(r.ends) == 0 || r.ends[0].next == "" {
			break
		}
		part = r.ends[0].next
		depth++
	}
	return depth
}

// prune removes evidence that is too old, and parts without any.
func (e *Evidence) prune(now time.Time) {
	for part, r := range e.parts {
		r.ends = slices.DeleteFunc(r.ends, func(end engineEnd) bool { return now.Sub(end.at) > maxEndAge })
		r.weighedAt = 0
		e.updateSuspect(part)
		// Ends from before an answer may still be told.
		if len(r.ends) == 0 && now.Sub(r.clearedAt) > maxEndAge {
			delete(e.parts, part)
		}
	}
	maps.DeleteFunc(e.ended, func(_ Engine, ended ending) bool { return now.Sub(ended.at) > maxEndAge })
	maps.DeleteFunc(e.refuted, func(_ Engine, at time.Time) bool { return now.Sub(at) > maxEndAge })
}
