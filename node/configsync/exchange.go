package configsync

import (
	"context"
	"sync/atomic"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/dissemination"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// Methods of the peer protocol.
const (
	methodExchange = "config.exchange"
	methodFetch    = "config.fetch"
	methodReport   = "config.report"
)

const (
	// exchangeTimeout limits one exchange of digests.
	exchangeTimeout = time.Second
	// fetchTimeout limits the fetch of one page.
	fetchTimeout = 3 * time.Second
	// maxInlineDeltaBytes is the largest delta sent inside a digest; a larger one is fetched.
	maxInlineDeltaBytes = 16 << 10
	// maxPageBytes limits the values in one page. It is well below the largest frame.
	maxPageBytes = 1 << 20
	// bootstrapBatchSize is how many peers a starting router queries at once.
	bootstrapBatchSize = 3
)

// digest describes the configuration that a router has in force.
type digest struct {
	Revision configuration.Revision `msgpack:"r"`
	// Loaded is false while the router has no configuration yet.
	Loaded bool `msgpack:"l,omitempty"`
	// AgeMillis is how long ago the key-value service last confirmed the head.
	AgeMillis int64 `msgpack:"a"`
	// Delta updates the receiver to Revision. It is set only if it is small.
	Delta *wireDelta `msgpack:"d,omitempty"`
}

// fetchRequest requests a page of the delta from a revision.
type fetchRequest struct {
	From   configuration.Revision `msgpack:"f"`
	Cursor configuration.Revision `msgpack:"c"`
}

// fetchResponse is a page of a delta. More is true when further pages follow.
type fetchResponse struct {
	Loaded bool      `msgpack:"l,omitempty"`
	Delta  wireDelta `msgpack:"d"`
	More   bool      `msgpack:"m,omitempty"`
}

func (s *Service) digest() digest {
	return digest{
		Revision: s.Current().Revision(), Loaded: s.isLoaded(), AgeMillis: s.staleness().Milliseconds(),
	}
}

// digestFor returns the digest with the delta from a peer's revision, if the delta is small.
func (s *Service) digestFor(from configuration.Revision) digest {
	own := s.digest()
	snapshot := s.Current()
	if snapshot.Revision() <= from {
		return own
	}
	delta, more := snapshot.Page(from, configuration.FirstPage, maxInlineDeltaBytes)
	if !more {
		wire := toWire(delta)
		own.Revision, own.Delta = delta.To, &wire
	}
	return own
}

// runExchange exchanges digests with one peer in each interval.
func (s *Service) runExchange(ctx context.Context) {
	ticker := time.NewTicker(dissemination.ExchangeInterval)
	defer ticker.Stop()
	for round := 0; ctx.Err() == nil; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		partner, found := dissemination.ExchangePartner(s.members.Self().ID, s.members.Routers(), round)
		if found && s.exchange(ctx, partner, s.digest()) {
			s.markLoaded()
		}
	}
}

// exchange sends a digest to a peer and handles the peer's digest. It reports whether the peer
// is loaded and this router has caught up with it.
func (s *Service) exchange(ctx context.Context, peer fleet.HostID, own digest) bool {
	callContext, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var theirs digest
	if err := s.call(callContext, peer, methodExchange, own, &theirs); err != nil {
		s.telemetry.Log.Debug("failed to exchange configuration digests with a peer", "peer", peer, "err", err)
		return false
	}
	s.handleDigest(ctx, peer, theirs)
	return theirs.Loaded && s.Current().Revision() >= theirs.Revision
}

// call calls a peer, and records whether the peer was reachable.
func (s *Service) call(ctx context.Context, peer fleet.HostID, method string, request, response any) error {
	err := s.peers.Call(ctx, peer, method, request, response)
	if err == nil {
		s.members.Confirm(peer)
	} else if errors.Is(err, port.ErrPeerUnreachable) {
		s.members.Suspect(peer)
	}
	return err
}

// handleDigest applies a peer's digest, and fetches what this router still lacks.
func (s *Service) handleDigest(ctx context.Context, peer fleet.HostID, theirs digest) {
	if age := time.Duration(theirs.AgeMillis) * time.Millisecond; age < neverConfirmedStaleness {
		s.confirm(time.Now().Add(-age))
	}
	if theirs.Delta != nil {
		s.apply(theirs.Delta.delta(), "peer "+string(peer))
	}
	if theirs.Revision > s.Current().Revision() {
		s.fetch(ctx, peer, theirs.Revision)
	}
}

// handleExchange responds with this router's digest and the changes that the peer lacks.
func (s *Service) handleExchange(ctx context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var theirs digest
	if err := decode(&theirs); err != nil {
		return nil, err
	}
	if theirs.Delta != nil {
		s.apply(theirs.Delta.delta(), "peer "+string(from))
	}
	if theirs.Revision > s.Current().Revision() {
		// The fetch may take longer than exchangeTimeout, which limits this call.
		go s.handleDigest(context.WithoutCancel(ctx), from, theirs)
		return s.digest(), nil
	}
	s.handleDigest(ctx, from, theirs)
	return s.digestFor(theirs.Revision), nil
}

// fetch fetches everything above this router's revision from a peer, page by page, and applies
// it. It does nothing if another fetch has reached the revision meanwhile.
func (s *Service) fetch(ctx context.Context, peer fleet.HostID, revision configuration.Revision) {
	select {
	case s.fetchLock <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-s.fetchLock }()
	if s.Current().Revision() >= revision {
		return
	}
	fetched := configuration.Delta{}
	from, cursor := s.Current().Revision(), configuration.FirstPage
	for {
		page, err := s.fetchPage(ctx, peer, fetchRequest{From: from, Cursor: cursor})
		if err != nil {
			s.telemetry.Log.Warn("failed to fetch the configuration from a peer", "peer", peer, "err", err)
			return
		}
		delta := page.Delta.delta()
		if cursor != configuration.FirstPage && delta.Full != fetched.Full {
			s.telemetry.Log.Info("peer compacted its configuration during a fetch; discarding the fetched pages, which the next exchange fetches again", "peer", peer)
			return
		}
		items := append(fetched.Items, delta.Items...)
		fetched = delta
		fetched.Items = items
		if !page.More || len(delta.Items) == 0 {
			break
		}
		cursor = delta.Items[len(delta.Items)-1].Revision
	}
	s.apply(fetched, "peer "+string(peer))
}

func (s *Service) fetchPage(ctx context.Context, peer fleet.HostID, request fetchRequest) (fetchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var page fetchResponse
	err := s.call(ctx, peer, methodFetch, request, &page)
	return page, err
}

// handleFetch responds with one page of the delta from the peer's revision.
func (s *Service) handleFetch(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request fetchRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	delta, more := s.Current().Page(request.From, request.Cursor, maxPageBytes)
	return fetchResponse{Loaded: s.isLoaded(), Delta: toWire(delta), More: more}, nil
}

// bootstrap queries peers, a batch at a time, until one of them has a configuration. The router
// then has the highest revision in that batch.
func (s *Service) bootstrap(ctx context.Context) {
	neighbours := dissemination.NeighboursOf(s.members.Self().ID, s.members.Routers())
	for len(neighbours) > 0 && !s.isLoaded() && ctx.Err() == nil {
		batch := neighbours[:min(bootstrapBatchSize, len(neighbours))]
		neighbours = neighbours[len(batch):]
		if s.exchangeAll(ctx, batch) {
			s.markLoaded()
		}
	}
}

// exchangeAll exchanges digests with several peers at once. It reports whether this router has
// caught up with at least one loaded peer.
func (s *Service) exchangeAll(ctx context.Context, peers []fleet.HostID) bool {
	var loaded atomic.Bool
	var calls errgroup.Group
	for _, peer := range peers {
		calls.Go(func() error {
			if s.exchange(ctx, peer, s.digest()) {
				loaded.Store(true)
			}
			return nil
		})
	}
	calls.Wait()
	return loaded.Load()
}

// runPush pushes each new revision to the neighbours, so a change does not wait for the next
// exchange.
func (s *Service) runPush(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pushPending:
			s.push(ctx)
		}
	}
}

// push sends a digest, with everything since the last push if it is small, to PushFanOut
// neighbours.
func (s *Service) push(ctx context.Context) {
	own := s.digestFor(s.lastPushed)
	s.lastPushed = own.Revision
	neighbours := dissemination.NeighboursOf(s.members.Self().ID, s.members.Routers())
	var calls errgroup.Group
	for _, peer := range neighbours[:min(dissemination.PushFanOut, len(neighbours))] {
		calls.Go(func() error {
			s.exchange(ctx, peer, own)
			return nil
		})
	}
	calls.Wait()
}
