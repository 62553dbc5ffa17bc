package enginemodel

import (
	"container/list"
	"time"
)

// engine is the state of one engine.
type engine struct {
	index    int
	figures  Engine
	running  []*request
	waiting  []*request
	stepping bool
	// down is true while the engine has crashed, and leaving while it only ends what it runs. epoch
	// rises with each crash, so that steps from before it are dropped.
	down, leaving bool
	epoch         int
	cache         cache
}

// cache keeps the parts that were used last.
type cache struct {
	limit, tokens int
	order         *list.List
	byID          map[string]*list.Element
}

func newCache(limit int) cache {
	return cache{limit: limit, order: list.New(), byID: map[string]*list.Element{}}
}

// cachedTokens returns how many tokens of the first parts are cached without a gap.
func (c *cache) cachedTokens(parts []part) int {
	tokens := 0
	for _, p := range parts {
		if _, found := c.byID[p.id]; !found {
			break
		}
		tokens += p.tokens
	}
	return tokens
}

// use records the use of parts, and evicts those that were not used for the longest time.
func (c *cache) use(parts []part) {
	for _, p := range parts {
		if known, found := c.byID[p.id]; found {
			c.order.MoveToFront(known)
			continue
		}
		c.byID[p.id] = c.order.PushFront(p)
		c.tokens += p.tokens
	}
	for c.tokens > c.limit && c.order.Len() > 0 {
		evicted := c.order.Remove(c.order.Back()).(part)
		delete(c.byID, evicted.id)
		c.tokens -= evicted.tokens
	}
}

// accept takes a request unless the engine is full. It returns how many tokens of its shared parts were
// cached.
func (e *engine) accept(r *request, ownTokens int) (cached int, accepted bool) {
	switch {
	case len(e.running) < e.figures.Slots:
		e.running = append(e.running, r)
	case len(e.waiting) < e.figures.Queue:
		e.waiting = append(e.waiting, r)
	default:
		return 0, false
	}
	cached = e.cache.cachedTokens(r.parts)
	r.prefillLeft = r.sharedTokens() - cached + ownTokens
	e.cache.use(r.parts)
	return cached, true
}

// load returns how many requests the engine has, and how many prompt tokens it still has to read.
func (e *engine) load() (requests, pending int) {
	for _, r := range e.running {
		pending += r.prefillLeft
	}
	for _, r := range e.waiting {
		pending += r.prefillLeft
	}
	return len(e.running) + len(e.waiting), pending
}

// nextStep returns the time of the next step, and which request's prompt it reads how far.
func (e *engine) nextStep() (took time.Duration, reads *request, tokens int) {
	took = e.figures.StepTime + time.Duration(len(e.running))*e.figures.StepTimePerRequest
	for _, r := range e.running {
		if r.prefillLeft > 0 && (reads == nil || e.figures.ReadsShortFirst && r.prefillLeft < reads.prefillLeft) {
			reads = r
		}
	}
	if reads == nil {
		return took, nil, 0
	}
	tokens = min(reads.prefillLeft, e.figures.ChunkTokens)
	return took + time.Duration(float64(tokens)/e.figures.PrefillTokensPerMs*float64(time.Millisecond)), reads, tokens
}

// endStep makes a token for each running request whose prompt is read. It calls event for a request with
// its first event, and removes those that are complete.
func (e *engine) endStep(reads *request, tokens int, event func(*request)) {
	left := e.running[:0]
	for _, r := range e.running {
		switch {
		case r == reads:
			r.prefillLeft -= tokens
		case r.prefillLeft == 0:
			r.made++
			if r.made == min(r.output, e.figures.EventTokens) {
				event(r)
			}
		}
		if r.made < r.output {
			left = append(left, r)
		}
	}
	e.running = left
	for len(e.waiting) > 0 && len(e.running) < e.figures.Slots {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
}

// crash empties the engine and returns what it had.
func (e *engine) crash() (lost []*request) {
	lost = append(e.running, e.waiting...)
	e.running, e.waiting, e.stepping = nil, nil, false
	e.epoch++
	e.cache = newCache(e.figures.CacheTokens)
	return lost
}
