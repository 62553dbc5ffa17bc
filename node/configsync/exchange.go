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
	// exchangeTimeout bounds one exchange of digests.
	exchangeTimeout = time.Second
	// fetchTimeout bounds the fetch of one page.
	fetchTimeout = 3 * time.Second
	// maxInlineBytes is the largest delta that goes along with a digest; a larger one is fetched.
	maxInlineBytes = 16 << 10
	// pageBytes is the most bytes of values in one page, well below the largest frame.
	pageBytes = 1 << 20
	// startPeers is how many peers a starting router asks.
	startPeers = 3
)

// digest tells a peer what this router has in force.
type digest struct {
	Revision configuration.Revision `msgpack:"r"`
	// Loaded is false while the router has no configuration yet.
	Loaded bool `msgpack:"l,omitempty"`
	// AgeMillis is how long ago the key-value service last confirmed the head.
	AgeMillis int64 `msgpack:"a"`
	// Delta brings a peer up from its revision, when it is small.
	Delta *wireDelta `msgpack:"d,omitempty"`
}

type fetchRequest struct {
	From   configuration.Revision `msgpack:"f"`
	Cursor configuration.Revision `msgpack:"c"`
}

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

// digestFor adds what brings a peer up from its revision, when that is small.
func (s *Service) digestFor(from configuration.Revision) digest {
	own := s.digest()
	snapshot := s.Current()
	if snapshot.Revision() <= from {
		return own
	}
	delta, more := snapshot.Page(from, configuration.FirstPage, maxInlineBytes)
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

// exchange tells a peer a digest and takes the peer's. It returns true when this router
// then has what a loaded peer has.
func (s *Service) exchange(ctx context.Context, peer fleet.HostID, own digest) bool {
	callContext, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	var theirs digest
	if err := s.call(callContext, peer, methodExchange, own, &theirs); err != nil {
		s.telemetry.Log.Debug("configuration exchange failed", "peer", peer, "err", err)
		return false
	}
	s.hear(ctx, peer, theirs)
	return theirs.Loaded && s.Current().Revision() >= theirs.Revision
}

func (s *Service) call(ctx context.Context, peer fleet.HostID, method string, request, response any) error {
	err := s.peers.Call(ctx, peer, method, request, response)
	if err == nil {
		s.members.Confirm(peer)
	} else if errors.Is(err, port.ErrPeerUnreachable) {
		s.members.Suspect(peer)
	}
	return err
}

// hear takes a peer's digest and fetches what it lacks.
func (s *Service) hear(ctx context.Context, peer fleet.HostID, theirs digest) {
	if age := time.Duration(theirs.AgeMillis) * time.Millisecond; age < neverConfirmed {
		s.confirm(time.Now().Add(-age))
	}
	if theirs.Delta != nil {
		s.apply(theirs.Delta.delta(), "peer "+string(peer))
	}
	if theirs.Revision > s.Current().Revision() {
		s.fetch(ctx, peer, theirs.Revision)
	}
}

// handleExchange answers with the own digest, and with the changes that the peer lacks.
func (s *Service) handleExchange(ctx context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var theirs digest
	if err := decode(&theirs); err != nil {
		return nil, err
	}
	if theirs.Delta != nil {
		s.apply(theirs.Delta.delta(), "peer "+string(from))
	}
	if theirs.Revision > s.Current().Revision() {
		// The fetch outlives this call, whose caller waits for a short time only.
		go s.hear(context.WithoutCancel(ctx), from, theirs)
		return s.digest(), nil
	}
	s.hear(ctx, from, theirs)
	return s.digestFor(theirs.Revision), nil
}

// fetch takes the state above the own revision from a peer, page by page, unless another
// fetch has reached the revision meanwhile.
func (s *Service) fetch(ctx context.Context, peer fleet.HostID, revision configuration.Revision) {
	select {
	case s.fetching <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-s.fetching }()
	if s.Current().Revision() >= revision {
		return
	}
	whole := configuration.Delta{}
	from, cursor := s.Current().Revision(), configuration.FirstPage
	for {
		page, err := s.fetchPage(ctx, peer, fetchRequest{From: from, Cursor: cursor})
		if err != nil {
			s.telemetry.Log.Warn("configuration not fetched", "peer", peer, "err", err)
			return
		}
		delta := page.Delta.delta()
		if cursor != configuration.FirstPage && delta.Full != whole.Full {
			s.telemetry.Log.Info("configuration was compacted while it was fetched, fetching later", "peer", peer)
			return
		}
		items := append(whole.Items, delta.Items...)
		whole = delta
		whole.Items = items
		if !page.More || len(delta.Items) == 0 {
			break
		}
		cursor = delta.Items[len(delta.Items)-1].Revision
	}
	s.apply(whole, "peer "+string(peer))
}

func (s *Service) fetchPage(ctx context.Context, peer fleet.HostID, request fetchRequest) (fetchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var page fetchResponse
	err := s.call(ctx, peer, methodFetch, request, &page)
	return page, err
}

func (s *Service) handleFetch(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request fetchRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	delta, more := s.Current().Page(request.From, request.Cursor, pageBytes)
	return fetchResponse{Loaded: s.isLoaded(), Delta: toWire(delta), More: more}, nil
}

// askAtStart asks several peers, and ends up at the highest revision that any of them has.
func (s *Service) askAtStart(ctx context.Context) {
	neighbours := dissemination.NeighboursOf(s.members.Self().ID, s.members.Routers())
	for len(neighbours) > 0 && !s.isLoaded() && ctx.Err() == nil {
		asked := neighbours[:min(startPeers, len(neighbours))]
		neighbours = neighbours[len(asked):]
		if s.askAll(ctx, asked) {
			s.markLoaded()
		}
	}
}

// askAll exchanges digests with some peers at once, and tells whether any was loaded.
func (s *Service) askAll(ctx context.Context, peers []fleet.HostID) bool {
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

// runPush tells neighbours of each new revision, so that a change does not wait for the
// next exchange.
func (s *Service) runPush(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pushes:
			s.push(ctx)
		}
	}
}

func (s *Service) push(ctx context.Context) {
	own := s.digestFor(s.pushed)
	s.pushed = own.Revision
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
