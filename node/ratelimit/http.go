package ratelimit

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/ratelimit"
)

// Path is the path at which routers list the rate limits that upstreams state.
const Path = "/rate-limits"

// Limit is a limit in force as operators see it.
type Limit struct {
	Upstream    fleet.UpstreamID `json:"upstream"`
	Incarnation int64            `json:"incarnation"`
	PerSecond   float64          `json:"per_second"`
	// StatedAgoMs is the time since the last answer with the limit that this router knows of.
	StatedAgoMs int64 `json:"stated_ago_ms"`
	// Keeper is the router that keeps the bucket, as this router sees it; empty if none answers.
	Keeper fleet.HostID `json:"keeper"`
}

// List returns the limits in force, ordered by upstream.
func (s *Service) List() []Limit {
	limits := []Limit{}
	for _, mark := range s.limits.RateLimits() {
		limits = append(limits, s.describe(mark))
	}
	slices.SortFunc(limits, func(a, b Limit) int { return strings.Compare(string(a.Upstream), string(b.Upstream)) })
	return limits
}

func (s *Service) describe(mark ratelimit.Mark) Limit {
	limit := Limit{Upstream: mark.Upstream, Incarnation: mark.Incarnation, PerSecond: mark.PerSecond, StatedAgoMs: mark.AgeMs}
	if keepers := s.keepers.Of(mark.Upstream); len(keepers) > 0 {
		limit.Keeper = keepers[0]
	}
	return limit
}

// ServeHTTP answers GET requests with the list as JSON.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		http.Error(w, "only GET is supported", http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.List()); err != nil {
		s.log.Debug("failed to send the list of rate limits", "err", err)
	}
}

// StatedAgo returns Limit.StatedAgoMs as a duration.
func (l Limit) StatedAgo() time.Duration { return time.Duration(l.StatedAgoMs) * time.Millisecond }
