package gateway

import (
	"slices"
	"time"

	"agateswitch/core/fleet"
)

// minCopyTokens is how many more tokens another engine must have cached before they are copied.
// Setting up the transfer takes as long as reading about 300 tokens.
const minCopyTokens = 512

// source is an engine from which other engines may copy a cached prompt.
type source struct {
	engine  *engine
	address string
	// tokens is the number of prompt tokens that it has cached.
	tokens int
}

// sourceList is ordered by tokens, largest first.
type sourceList []source

// bestExcluding returns the source with the most tokens other than the excluded engine.
func (l sourceList) bestExcluding(excluded *engine) (source, bool) {
	for _, s := range l {
		if s.engine != excluded {
			return s, true
		}
	}
	return source{}, false
}

// findFetchSources returns the engines that have a part of a prompt cached. Leaving engines still
// serve copies; engines in a data centre that is taken out get no work of any kind.
func findFetchSources(current *snapshot, pool fleet.PoolID, cached map[fleet.UpstreamID]int, now time.Time) sourceList {
	if len(cached) == 0 {
		return nil
	}
	var list sourceList
	for _, e := range current.engines[pool] {
		s := e.status(now)
		if cached[e.id] > 0 && !s.ejected && !s.rateLimited && !current.dataCentresOut[s.upstream.DataCentre] {
			list = append(list, source{engine: e, address: s.upstream.Address, tokens: cached[e.id]})
		}
	}
	slices.SortFunc(list, func(a, b source) int { return b.tokens - a.tokens })
	return list
}
