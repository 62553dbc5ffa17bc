// Package grants places requests: it asks the owner of a request's shard for a grant, and is
// that owner for the shards that fall to this router. The same holds for the budgets of teams.
//
// A grant of a router that is lost counts until the host list has not named the router for
// holderGrace and the router has sent nothing to the owner meanwhile; while the list still
// names it, until the grant has not been renewed for grantLife.
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

// Times of the grant protocol.
const (
	// longPoll is how long an owner keeps a waiting request's question before it answers that
	// the request still waits. It is well under callTimeout, so that a silent owner is noticed.
	longPoll    = 200 * time.Millisecond
	callTimeout = 400 * time.Millisecond
	// grantLife is how long a grant counts without a renewal by the router that holds it.
	grantLife = 2 * time.Minute
	// flushInterval is the longest time that a completion waits to be sent with others.
	flushInterval = 200 * time.Millisecond
	tickInterval  = 100 * time.Millisecond
	// maxAttempts is how many owners are asked before a request is refused.
	maxAttempts = 4
)

// Service is a port.Placer. It is safe for concurrent use.
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

// New makes the service and registers its methods with the peers. Epoch distinguishes
// lives of the same host.
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
	// Nonces of an earlier life of the host must not be taken for repeated questions.
	// Milliseconds of 32 bits keep them short, and count slower than lives of a host follow.
	s.nonce.Store(uint64(epoch/int64(time.Millisecond)) & math.MaxUint32)
	peers.Handle(methodAcquire, s.handleAcquire)
	peers.Handle(methodEnd, s.handleEnd)
	peers.Handle(methodAnnounce, s.handleAnnounce)
	peers.Handle(methodBudget, s.handleBudget)
	peers.Handle(methodExplain, s.handleExplain)
	return s
}

// UseReports makes owners ask upstreams for their load. It is called before Run.
func (s *Service) UseReports(reports port.EngineReports) { s.reports = reports }

// Run keeps the state of owned shards up to date until ctx ends.
func (s *Service) Run(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	flush := time.NewTicker(flushInterval)
	defer flush.Stop()
	poll := time.NewTicker(reportInterval)
	defer poll.Stop()
	check := time.NewTicker(holderCheck)
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
			s.freeLost(time.Now())
		case <-poll.C:
			s.readReports(ctx, false)
		case <-s.shards.wake:
			s.readReports(ctx, true)
		}
	}
}

// call reaches a router and keeps the view of the fleet up to date with the result.
func (s *Service) call(ctx context.Context, to fleet.HostID, method string, request, response any) error {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.peers.Call(limited, to, method, request, response)
	if err != nil {
		// A caller whose own time ran out says nothing about the router.
		if ctx.Err() == nil {
			s.members.Suspect(to)
			s.routes.refresh()
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
		return s.explainNone(table, version), nil
	}
	owner := table.owner(home.ID)
	var reply explainReply
	message := s.acquireMessage(now, request, version, home, 0)
	if err := s.call(ctx, owner, methodExplain, message, &reply); err != nil {
		return nil, err
	}
	return append(s.explainTeam(now, request.Team), reply.Lines...), nil
}

func (s *Service) explainNone(table *poolRoutes, version fleet.Version) []string {
	lines := []string{"refused: no upstream of the pool takes new work with version \"" + string(version) + "\" (empty means any)"}
	for _, upstream := range table.listed {
		usable := isAllowedIn(table.usable, upstream.ID)
		switch {
		case !usable:
			lines = append(lines, string(upstream.ID)+": rejected: it is leaving or its data centre is out")
		case version != "" && upstream.Version != version:
			lines = append(lines, string(upstream.ID)+": rejected: it runs version "+string(upstream.Version))
		}
	}
	return lines
}

func isAllowedIn(usable []fleet.Upstream, id fleet.UpstreamID) bool {
	for _, upstream := range usable {
		if upstream.ID == id {
			return true
		}
	}
	return false
}
