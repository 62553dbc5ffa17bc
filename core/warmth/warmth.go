// Package warmth remembers which engines have read which parts of prompts, so that a prompt that
// returns meets an engine that need not read it again. What it holds is a belief: an engine may
// have dropped a part since, which costs time and nothing else.
package warmth

import (
	"time"

	"agateswitch/core/fleet"
)

const (
	// lifetime is how long a part is taken to be cached after its last use. Engines drop the
	// least recently used parts first; at the users' rates a part in use stays for minutes.
	lifetime = 60 * time.Second
	// RenewAfter is how long other routers may be taken to know of a use without being told of
	// later ones: what they know lasts for lifetime.
	RenewAfter = lifetime / 3
	// maxParts bounds the memory of the map. At about 100 bytes a part it stays below 4 MB.
	maxParts = 32768
)

// Part is one part of a prompt.
type Part struct {
	ID     string
	Tokens int
}

// Map remembers the engines of parts. It is not safe for concurrent use.
type Map struct {
	parts map[string]map[fleet.UpstreamID]use
}

// use is when an engine used a part last, and the last use that all routers have heard of.
type use struct{ last, told time.Time }

// NewMap makes an empty map.
func NewMap() *Map { return &Map{parts: map[string]map[fleet.UpstreamID]use{}} }

// Use takes down that an engine reads a part, and tells whether other routers are to hear of it:
// they have not for as long as renewAfter.
func (m *Map) Use(part string, engine fleet.UpstreamID, now time.Time, renewAfter time.Duration) (news bool) {
	known := m.parts[part][engine]
	if now.Sub(known.told) >= renewAfter {
		known.told, news = now, true
	}
	known.last = now
	m.set(part, engine, known, now)
	return news
}

func (m *Map) set(part string, engine fleet.UpstreamID, known use, now time.Time) {
	engines, found := m.parts[part]
	if !found {
		if len(m.parts) >= maxParts {
			m.prune(now)
		}
		engines = map[fleet.UpstreamID]use{}
		m.parts[part] = engines
	}
	engines[engine] = known
}

// prune drops what has lapsed, and arbitrary parts until a quarter of the map is free, so that it
// runs seldom.
func (m *Map) prune(now time.Time) {
	for part, engines := range m.parts {
		for engine, used := range engines {
			if now.Sub(used.last) > lifetime {
				delete(engines, engine)
			}
		}
		if len(engines) == 0 {
			delete(m.parts, part)
		}
	}
	for part := range m.parts {
		if len(m.parts) < maxParts*3/4 {
			return
		}
		delete(m.parts, part)
	}
}

// Forget drops an engine that has restarted or is gone.
func (m *Map) Forget(engine fleet.UpstreamID) {
	for part, engines := range m.parts {
		delete(engines, engine)
		if len(engines) == 0 {
			delete(m.parts, part)
		}
	}
}

// Known tells whether any engine is believed to have a part.
func (m *Map) Known(part string, now time.Time) bool {
	for _, used := range m.parts[part] {
		if now.Sub(used.last) <= lifetime {
			return true
		}
	}
	return false
}

// Cached returns for each engine that has the first part of a prompt how many tokens it need
// not read: those of the parts that it has without a gap from the start.
func (m *Map) Cached(prompt []Part, now time.Time) map[fleet.UpstreamID]int {
	if len(prompt) == 0 {
		return nil
	}
	cached := map[fleet.UpstreamID]int{}
	for engine, used := range m.parts[prompt[0].ID] {
		if now.Sub(used.last) > lifetime {
			continue
		}
		tokens := prompt[0].Tokens
		for _, part := range prompt[1:] {
			used, found := m.parts[part.ID][engine]
			if !found || now.Sub(used.last) > lifetime {
				break
			}
			tokens += part.Tokens
		}
		cached[engine] = tokens
	}
	return cached
}

// Placement is one part on one engine.
type Placement struct {
	//lint:ignore U1000 The msgpack library reads this tag.
	_msgpack struct{} `msgpack:",as_array"`
	Part     string
	Engine   fleet.UpstreamID
	// Age is how long ago the part was last used there.
	Age time.Duration
}

// All returns everything that has not lapsed.
func (m *Map) All(now time.Time) []Placement {
	var all []Placement
	for part, engines := range m.parts {
		for engine, used := range engines {
			if age := now.Sub(used.last); age <= lifetime {
				all = append(all, Placement{Part: part, Engine: engine, Age: age})
			}
		}
	}
	return all
}

// Add takes placements that another router knows. Newer ones stay.
func (m *Map) Add(placements []Placement, now time.Time) {
	for _, p := range placements {
		used := now.Add(-p.Age)
		if used.After(m.parts[p.Part][p.Engine].last) {
			m.set(p.Part, p.Engine, use{last: used, told: used}, now)
		}
	}
}
