// Package grants admits requests against team budgets and places them. It obtains a grant for each
// request from the owner of the request's shard, and acts as the owner of the shards that
// rendezvous hashing assigns to this router. Each team budget has an owner in the same way.
//
// If a router is lost, its grants count until the host list has lacked the router for
// holderGracePeriod without a message from it to the owner. While the list still contains the
// router, its grants count until they have not been renewed for grantTTL.
package grants

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/placement"
	"agateswitch/port"
)

// Timing and limits of the grant protocol.
const (
	// longPollTimeout is how long an owner delays its reply to a waiting request before it
	// replies that the request still waits. It is well below callTimeout, so that a call
	// that times out means an unresponsive owner.
	longPollTimeout = 200 * time.Millisecond
	callTimeout     = 400 * time.Millisecond
	// grantTTL is how long a grant counts without a renewal by the router that holds it.
	grantTTL = 2 * time.Minute
	// flushInterval is the maximum time that a completion waits to be batched with others.
	flushInterval = 200 * time.Millisecond
	tickInterval  = 100 * time.Millisecond
	// maxAttempts is the number of failed attempts to obtain a grant after which a request is
	// refused.
	maxAttempts = 4
)

// Service implements port.Placer. It is safe for concurrent use.
type Service struct {
	members   port.Members
	config    port.Configuration
	versions  port.Versions
	peers     port.Peers
	telemetry port.Telemetry
	reports   port.EngineReports

	routes  *routes
	shards  *shards
	held    *heldGrants
	outbox  *outbox
	holders *holders
	teams   *teams
	budgets *budgets
	metrics *metrics
	nonce   atomic.Uint64
}

// New returns a service and registers its peer methods. The epoch distinguishes successive
// processes on the same host.
func New(members port.Members, config port.Configuration, versions port.Versions, peers port.Peers,
	epoch int64, telemetry port.Telemetry) *Service {
	self := members.Self().ID
	table := &routes{members: members, config: config}
	s := &Service{
		members: members, config: config, versions: versions, peers: peers, telemetry: telemetry,
		routes: table, shards: newShards(self, epoch, config, table),
		held: newHeldGrants(), outbox: newOutbox(), holders: newHolders(), teams: newTeams(self), budgets: newBudgets(config),
	}
	s.metrics = newMetrics(telemetry, s.shards)
	// The start value depends on the epoch, because an owner would treat a nonce of an earlier
	// process on this host as a repeated request. Milliseconds limited to 32 bits keep nonces
	// short and still differ between successive processes on a host.
	s.nonce.Store(uint64(epoch/int64(time.Millisecond)) & math.MaxUint32)
	peers.Handle(methodAcquire, s.handleAcquire)
	peers.Handle(methodEnd, s.handleEnd)
	peers.Handle(methodAnnounce, s.handleAnnounce)
	peers.Handle(methodBudget, s.handleBudget)
	peers.Handle(methodExplain, s.handleExplain)
	return s
}

// UseReports sets the source of load reports, which owners poll. It must be called before Run.
func (s *Service) UseReports(reports port.EngineReports) { s.reports = reports }

// Run does the service's periodic work until ctx ends: it updates owned shards, announces and
// renews held grants and slots, sends completions, and polls load reports.
func (s *Service) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	poll := time.NewTicker(reportInterval)
	defer poll.Stop()
	check := time.NewTicker(holderCheckInterval)
	defer check.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			now := time.Now()
			s.shards.tick(now)
			s.announce(ctx, now)
			s.renewTeams(ctx, now)
		case <-flush.C:
			s.flush(ctx)
		case <-check.C:
			s.releaseLostGrants(time.Now())
		case <-poll.C:
			s.readReports(ctx, false)
		case <-s.shards.reportRequests:
			s.readReports(ctx, true)
		}
	}
}

// call calls a router's method and reports the result to the view of the fleet.
func (s *Service) call(ctx context.Context, to fleet.HostID, method string, request, response any) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.peers.Call(limited, to, method, request, response)
	if err != nil {
		// An error after the end of the caller's context does not show a fault of the router.
		if ctx.Err() == nil {
			s.members.Suspect(to)
			s.routes.invalidate()
		}
		return err
	}
	s.members.Confirm(to)
	return nil
}

// Explain implements port.Placer.
func (s *Service) Explain(ctx context.Context, request fleet.Request) ([]string, error) {
	now := time.Now()
	version := s.versions.Choose(request.Pool, request.Chat)
	table := s.routes.pool(now, request.Pool)
	chat := placement.ChatHash(request.Chat)
	home, found := table.home(chat, version, request.Exclude)
	if !found {
		return s.explainNoUpstream(table, version), nil
	}
	owner := table.owner(home.ID)
	var reply explainReply
	message := s.acquireMessage(now, request, version, home, 0)
	if err := s.call(ctx, owner, methodExplain, message, &reply); err != nil {
		return nil, err
	}
	return append(s.explainTeam(now, request.Team), reply.Lines...), nil
}

// explainNoUpstream describes why each upstream of a pool is rejected when none accepts a request.
func (s *Service) explainNoUpstream(table *poolRoutes, version fleet.Version) []string {
	lines := []string{"refused: no upstream of the pool takes new work with version \"" + string(version) + "\" (empty means any)"}
	for _, upstream := range table.listed {
		usable := containsUpstream(table.usable, upstream.ID)
		switch {
		case !usable:
			lines = append(lines, string(upstream.ID)+": rejected: it is leaving or its data centre is out")
		case version != "" && upstream.Version != version:
			lines = append(lines, string(upstream.ID)+": rejected: it runs version "+string(upstream.Version))
		}
	}
	return lines
}

func containsUpstream(upstreams []fleet.Upstream, id fleet.UpstreamID) bool {
	for _, upstream := range upstreams {
		if upstream.ID == id {
			return true
		}
	}
	return false
}
