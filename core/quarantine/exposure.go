package quarantine

import (
	"time"

	"agateswitch/core/fleet"
)

// Limits of what is counted of requests.
const (
	// exposurePeriod is the shortest time over which requests are counted; the longest is twice that.
	exposurePeriod = 20 * time.Second
	// maxExposed bounds the parts that are counted for one pool in a period. Further ones are taken for rare.
	maxExposed = 2048
	// maxPools bounds the pools for which requests are counted.
	maxPools = 64
)

// Exposure counts the requests of a router by pool and by part. It is not safe for concurrent use.
type Exposure struct {
	pools map[fleet.PoolID]*poolExposure
}

type poolExposure struct {
	began             time.Time
	current, previous counts
}

// counts are requests of one period. Ids of whole requests are not always made, so that these have a total of their own.
type counts struct {
	parts                  map[Part]int
	requests, identifiable int
}

// NewExposure returns an exposure without any request.
func NewExposure() *Exposure { return &Exposure{pools: map[fleet.PoolID]*poolExposure{}} }

// Add counts a request of a pool with its parts.
func (x *Exposure) Add(pool fleet.PoolID, parts []Part, now time.Time) {
	p, found := x.pools[pool]
	if !found {
		if len(x.pools) >= maxPools {
			clear(x.pools)
		}
		p = &poolExposure{began: now, current: counts{parts: map[Part]int{}}}
		x.pools[pool] = p
	}
	p.rotate(now)
	p.current.requests++
	for _, part := range parts {
		if part.IsWholeRequest() {
			p.current.identifiable++
		}
		if _, found := p.current.parts[part]; found || len(p.current.parts) < maxExposed {
			p.current.parts[part]++
		}
	}
}

// rotate begins a new period if the current one is over.
func (p *poolExposure) rotate(now time.Time) {
	age := now.Sub(p.began)
	if age < exposurePeriod {
		return
	}
	p.previous = p.current
	if age >= 2*exposurePeriod {
		p.previous = counts{}
	}
	p.began, p.current = now, counts{parts: map[Part]int{}}
}

// Share returns a part's share of a pool's requests.
func (x *Exposure) Share(pool fleet.PoolID, part Part, now time.Time) Share {
	p, found := x.pools[pool]
	if !found {
		return Share{}
	}
	p.rotate(now)
	share := Share{With: p.current.parts[part] + p.previous.parts[part], Of: p.current.requests + p.previous.requests}
	if part.IsWholeRequest() {
		share.Of = p.current.identifiable + p.previous.identifiable
	}
	return share
}
