// Package placement decides on which upstream of a shard a request runs. It is pure:
// it takes events with their time and returns decisions as values.
package placement

import (
	"fmt"
	"math"
	"sort"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
)

// Settings of a shard, from its pool.
type Settings struct {
	// BoundFactor is the most load of an upstream as a multiple of the mean.
	BoundFactor float64
	// ColdConcurrency is how many requests an upstream bears in a cold start.
	ColdConcurrency int
	// MaxConcurrency is how many requests an upstream bears when warm.
	MaxConcurrency int
	// GrantLife is how long a grant counts without a release.
	GrantLife time.Duration
}

// Decision is the owner's answer to a request.
type Decision struct {
	// Grant is set when Refusal is nil.
	Grant   fleet.Grant
	Refusal *fleet.Refusal
	// Reason explains the decision in a few words, for the log line.
	Reason string
}

// Owner places the requests of one shard. It is not safe for concurrent use.
type Owner struct {
	self      fleet.HostID
	epoch     int64
	settings  Settings
	upstreams map[fleet.UpstreamID]*upstream
	grants    map[fleet.GrantID]held
	sequence  uint64
}

type upstream struct {
	fleet.Upstream
	load    fleet.Work
	running int
	// allowed is how many requests the upstream bears now; it grows by whole answers.
	allowed int
}

type held struct {
	upstream fleet.UpstreamID
	work     fleet.Work
	expires  time.Time
}

// NewOwner makes the owner of a shard. Epoch distinguishes lives of the same host.
func NewOwner(self fleet.HostID, epoch int64, settings Settings) *Owner {
	return &Owner{
		self:      self,
		epoch:     epoch,
		settings:  settings,
		upstreams: map[fleet.UpstreamID]*upstream{},
		grants:    map[fleet.GrantID]held{},
	}
}

// SetUpstreams replaces the list of upstreams that take new work.
func (o *Owner) SetUpstreams(list []fleet.Upstream) {
	present := make(map[fleet.UpstreamID]bool, len(list))
	for _, entry := range list {
		present[entry.ID] = true
		known, found := o.upstreams[entry.ID]
		if !found {
			known = &upstream{allowed: o.settings.ColdConcurrency}
			o.upstreams[entry.ID] = known
		}
		known.Upstream = entry
	}
	for id := range o.upstreams {
		if !present[id] {
			delete(o.upstreams, id)
		}
	}
}

// Grant decides on one request.
func (o *Owner) Grant(now time.Time, request fleet.Request, version fleet.Version) Decision {
	o.expire(now)
	candidates := o.candidates(request, version)
	if len(candidates) == 0 {
		return refuse(fleet.CodeNoUpstream, "no upstream of the pool takes new work", time.Second)
	}
	bound := o.bound(request.Work())
	for rank, candidate := range candidates {
		if candidate.running >= candidate.allowed {
			continue
		}
		if candidate.running > 0 && candidate.load+request.Work() > bound {
			continue
		}
		return o.grant(now, request, candidate, bound, rank)
	}
	return refuse(fleet.CodeOverloaded, "every upstream of the pool is at its bound", time.Second)
}

func refuse(code fleet.Code, message string, retryAfter time.Duration) Decision {
	return Decision{Refusal: fleet.Refuse(code, message, retryAfter), Reason: message}
}

// candidates returns the usable upstreams in the chat's own order.
func (o *Owner) candidates(request fleet.Request, version fleet.Version) []*upstream {
	excluded := make(map[fleet.UpstreamID]bool, len(request.Exclude))
	for _, id := range request.Exclude {
		excluded[id] = true
	}
	var usable []*upstream
	for _, candidate := range o.upstreams {
		wrongVersion := version != "" && candidate.Version != version
		if candidate.State == fleet.Live && !excluded[candidate.ID] && !wrongVersion {
			usable = append(usable, candidate)
		}
	}
	sort.Slice(usable, func(i, j int) bool {
		left := rendezvous.Score(string(request.Chat), string(usable[i].ID))
		right := rendezvous.Score(string(request.Chat), string(usable[j].ID))
		return left > right
	})
	return usable
}

// bound returns the most load that an upstream may have after taking work.
func (o *Owner) bound(work fleet.Work) fleet.Work {
	total := work
	for _, candidate := range o.upstreams {
		total += candidate.load
	}
	mean := float64(total) / float64(len(o.upstreams))
	return fleet.Work(math.Ceil(o.settings.BoundFactor * mean))
}

func (o *Owner) grant(now time.Time, request fleet.Request, chosen *upstream, bound fleet.Work, rank int) Decision {
	o.sequence++
	id := fleet.GrantID(fmt.Sprintf("%s-%d-%d", o.self, o.epoch, o.sequence))
	work := request.Work()
	expires := now.Add(o.settings.GrantLife)
	chosen.load += work
	chosen.running++
	o.grants[id] = held{upstream: chosen.ID, work: work, expires: expires}
	reason := fleet.ReasonHome
	if rank > 0 {
		reason = fleet.ReasonOverflow
	}
	grant := fleet.Grant{
		ID: id, Owner: o.self, Upstream: chosen.Upstream, Work: work, Expires: expires,
		Reason: reason, Load: chosen.load, Bound: bound, Warm: rank == 0,
	}
	return Decision{Grant: grant, Reason: string(reason)}
}

// Complete ends a grant.
func (o *Owner) Complete(completion fleet.Completion) {
	grant, found := o.grants[completion.Grant]
	if !found {
		return
	}
	o.drop(completion.Grant, grant)
	known, found := o.upstreams[grant.upstream]
	if !found {
		return
	}
	switch completion.Outcome {
	case fleet.OutcomeWhole:
		known.allowed = min(known.allowed+1, o.settings.MaxConcurrency)
	case fleet.OutcomeFailed:
		known.allowed = o.settings.ColdConcurrency
	}
}

func (o *Owner) expire(now time.Time) {
	for id, grant := range o.grants {
		if now.After(grant.expires) {
			o.drop(id, grant)
		}
	}
}

func (o *Owner) drop(id fleet.GrantID, grant held) {
	delete(o.grants, id)
	if known, found := o.upstreams[grant.upstream]; found {
		known.load -= grant.work
		known.running--
	}
}

// Explain tells where a request would run now and why, without placing it.
func (o *Owner) Explain(request fleet.Request, version fleet.Version) []string {
	bound := o.bound(request.Work())
	var lines []string
	for rank, candidate := range o.candidates(request, version) {
		verdict := "fits"
		if candidate.running >= candidate.allowed {
			verdict = "rejected: at its concurrency"
		} else if candidate.running > 0 && candidate.load+request.Work() > bound {
			verdict = "rejected: at its bound"
		}
		lines = append(lines, fmt.Sprintf("%d. %s load %d of bound %d, running %d of %d: %s",
			rank+1, candidate.ID, candidate.load, bound, candidate.running, candidate.allowed, verdict))
	}
	return lines
}
