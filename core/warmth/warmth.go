// Package warmth tracks which engines have which parts of prompts cached, so that a later prompt with
// the same parts can be sent to an engine that doesn't have to read them again. Its data is an
// estimate: an engine may have evicted a part, which only costs the time to read it again.
package warmth

import (
	"slices"
	"time"

	"agateswitch/core/fleet"
)

const (
	// cacheTTL is how long after its last use a part is assumed to remain in an engine's cache.
	// Engines evict the least recently used parts first. At the users' rates, a part in use remains
	// cached for minutes.
	cacheTTL = 60 * time.Second
	// RepublishAfter is how long a published use of a part is sufficient: within this time, later
	// uses need not be published. It is shorter than cacheTTL, after which the entry expires on
	// other routers.
	RepublishAfter = cacheTTL / 3
	// maxParts bounds the memory of the map. At about 100 bytes per part, and with ids of bounded size, it is below 4 MB.
	maxParts = 32768
)

// Part is one part of a prompt, with its number of tokens.
type Part struct {
	ID     string
	Tokens int
}

// Map records which engines have used which parts. It is not safe for concurrent use.
type Map struct {
	parts map[string]map[fleet.UpstreamID]usage
}

// usage is when an engine last used a part, and when such a use was last published to all routers.
type usage struct{ lastUsed, lastPublished time.Time }

// NewMap returns an empty map.
func NewMap() *Map { return &Map{parts: map[string]map[fleet.UpstreamID]usage{}} }

// RecordUse records that an engine uses a part, and reports whether the use has to be published to the
// other routers. This is the case if no use of it was published within the last republishAfter.
func (m *Map) RecordUse(part string, engine fleet.UpstreamID, now time.Time, republishAfter time.Duration) (publish bool) {
	used := m.parts[part][engine]
	if now.Sub(used.lastPublished) >= republishAfter {
		used.lastPublished, publish = now, true
	}
	used.lastUsed = now
	m.set(part, engine, used, now)
	return publish
}

// set stores a usage. It makes room first if the part is new and the map is full.
func (m *Map) set(part string, engine fleet.UpstreamID, used usage, now time.Time) {
	engines, found := m.parts[part]
	if !found {
		if len(m.parts) >= maxParts {
			m.prune(now)
		}
		engines = map[fleet.UpstreamID]usage{}
		m.parts[part] = engines
	}
	engines[engine] = used
}

// prune removes expired entries, and arbitrary parts until a quarter of the map is free, so that it
// runs rarely.
func (m *Map) prune(now time.Time) {
	for part, engines := range m.parts {
		for engine, used := range engines {
			if now.Sub(used.lastUsed) > cacheTTL {
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

// RemoveEngine removes the entries of an engine that has restarted or departed.
func (m *Map) RemoveEngine(engine fleet.UpstreamID) {
	for part, engines := range m.parts {
		delete(engines, engine)
		if len(engines) == 0 {
			delete(m.parts, part)
		}
	}
}

// HasPart reports whether any engine is assumed to have a part cached.
func (m *Map) HasPart(part string, now time.Time) bool {
	for _, used := range m.parts[part] {
		if now.Sub(used.lastUsed) <= cacheTTL {
			return true
		}
	}
	return false
}

// CachedTokens returns how many of the prompt's tokens each engine has cached. Only parts before the
// first one that is missing count. Engines without the first part are not in the result.
func (m *Map) CachedTokens(prompt []Part, now time.Time) map[fleet.UpstreamID]int {
	if len(prompt) == 0 {
		return nil
	}
	cached := map[fleet.UpstreamID]int{}
	for engine, used := range m.parts[prompt[0].ID] {
		if now.Sub(used.lastUsed) > cacheTTL {
			continue
		}
		tokens := prompt[0].Tokens
		for _, part := range prompt[1:] {
			used, found := m.parts[part.ID][engine]
			if !found || now.Sub(used.lastUsed) > cacheTTL {
				break
			}
			tokens += part.Tokens
		}
		cached[engine] = tokens
	}
	return cached
}

// CachedPart is a part that is assumed to be cached on an engine.
type CachedPart struct {
	//lint:ignore U1000 The msgpack library reads this tag.
	_msgpack struct{} `msgpack:",as_array"`
	Part     string
	Engine   fleet.UpstreamID
	// Age is how long ago the part was last used there.
	Age time.Duration
}

// All returns all entries that have not expired.
func (m *Map) All(now time.Time) []CachedPart {
	var all []CachedPart
	for part, engines := range m.parts {
		for engine, used := range engines {
			if age := now.Sub(used.lastUsed); age <= cacheTTL {
				all = append(all, CachedPart{Part: part, Engine: engine, Age: age})
			}
		}
	}
	return all
}

// maxPartBytes is the size of the longest id of a part that is learned from other routers.
const maxPartBytes = 128

// WithoutLongIDs returns the entries whose parts have ids of a bounded size. Routers of earlier builds tell ids as callers have chosen
// them.
func WithoutLongIDs(cached []CachedPart) []CachedPart {
	return slices.DeleteFunc(slices.Clone(cached), func(p CachedPart) bool { return len(p.Part) > maxPartBytes })
}

// Merge adds entries of another router. It keeps entries of the map that are newer.
func (m *Map) Merge(cached []CachedPart, now time.Time) {
	for _, p := range WithoutLongIDs(cached) {
		used := now.Add(-p.Age)
		if used.After(m.parts[p.Part][p.Engine].lastUsed) {
			m.set(p.Part, p.Engine, usage{lastUsed: used, lastPublished: used}, now)
		}
	}
}
