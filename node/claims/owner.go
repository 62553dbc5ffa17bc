package claims

import (
	"context"
	"slices"
	"time"

	coreclaim "agateswitch/core/claim"
	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
	"agateswitch/port"

	"github.com/juju/errors"
)

// Times of an owner's upkeep.
const (
	// tickInterval is the time between two looks at the ranks.
	tickInterval = time.Second
	// noticeTimeout bounds one notice to another router.
	noticeTimeout = time.Second
	// removalInterval is the time between two removals of a shard's old claims.
	removalInterval = 10 * time.Minute
)

// Run keeps the ranks up to date and removes old claims until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		s.tick(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) tick(ctx context.Context) {
	removing := false
	ids := s.routerIDs()
	for _, w := range s.workers {
		w.rank(time.Now(), ids)
		go w.tellOwed(ctx)
		if !removing && w.takeRemoval(time.Now()) {
			// One shard a tick, so that the removals of a fleet spread.
			removing = true
			go s.remove(ctx, w.number)
		}
	}
}

// rank notes which routers rank above this one. A suspect stays above while it is listed,
// since it may still take claims.
func (w *worker) rank(now time.Time, ids []string) {
	members := w.service.members
	self := string(members.Self().ID)
	name := coreclaim.ShardName(w.number)
	own := rendezvous.Score(name, self)
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.above {
		if host, found := members.Router(id); !found || host.State != fleet.Live {
			delete(w.above, id)
			delete(w.owed, id)
		}
	}
	for _, id := range ids {
		if score := rendezvous.Score(name, id); score > own || (score == own && id < self) {
			w.above[fleet.HostID(id)] = true
		}
	}
	w.notePause(now)
	w.ticked = now
	w.shard.SetRankedFirst(now, slices.Contains(ids, self) && len(w.above) == 0)
}

// notePause starts the shard's memory anew after a pause of this process, in which other
// routers took its claims.
func (w *worker) notePause(now time.Time) {
	if now.Sub(w.ticked) > pauseLimit {
		w.shard.RecordForeignClaims(now)
		w.ticked = now
	}
}

// tellOwed tells the routers that rank above that this one took claims of the shard.
func (w *worker) tellOwed(ctx context.Context) {
	for _, id := range w.takeOwed() {
		ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
		var response foreignNotice
		err := w.service.peers.Call(ctx, id, methodForeign, foreignNotice{Shard: w.number}, &response)
		cancel()
		if err != nil {
			// It is tried again with the next tick, for as long as the router is listed.
			w.mu.Lock()
			w.owed[id] = true
			w.mu.Unlock()
		}
	}
}

func (w *worker) takeOwed() []fleet.HostID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []fleet.HostID
	for id := range w.owed {
		ids = append(ids, id)
	}
	clear(w.owed)
	return ids
}

func (w *worker) takeRemoval(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.above) > 0 || now.Sub(w.removed) < removalInterval {
		return false
	}
	w.removed = now
	return true
}

// remove deletes the claims of a shard that no call can ask for any more.
func (s *Service) remove(ctx context.Context, shard int) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	from, to := coreclaim.RemovalRange(time.Now(), shard)
	_, err := s.store.Commit(ctx, port.Transaction{Writes: []port.Write{{Key: from, Delete: true, DeleteTo: to}}})
	if err != nil {
		// The next removal covers the same range.
		s.telemetry.Log.Warn("old claims not removed", "shard", shard, "err", err)
		return
	}
	s.telemetry.Log.Info("old claims removed", "shard", shard, "before", to)
}

func (s *Service) handleBegin(ctx context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var claim fleet.Claim
	if err := decode(&claim); err != nil {
		return nil, errors.Annotate(err, "decoding a claim")
	}
	return s.workers[coreclaim.ShardOf(claim.Team, claim.Key)].begin(ctx, claim), nil
}

func (s *Service) handleFinish(ctx context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request finishRequest
	if err := decode(&request); err != nil {
		return nil, errors.Annotate(err, "decoding the end of a claim")
	}
	if _, ok := coreclaim.KeyTime(request.Claim.Key); !ok {
		return nil, errors.NotValidf("idempotency key")
	}
	w := s.workers[coreclaim.ShardOf(request.Claim.Team, request.Claim.Key)]
	return finishResponse{Recorded: w.finish(ctx, request)}, nil
}

func (s *Service) handleForeign(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var notice foreignNotice
	if err := decode(&notice); err != nil {
		return nil, errors.Annotate(err, "decoding a notice")
	}
	if notice.Shard < 0 || notice.Shard >= coreclaim.ShardCount {
		return nil, errors.NotValidf("claim shard %d", notice.Shard)
	}
	w := s.workers[notice.Shard]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shard.RecordForeignClaims(time.Now())
	return notice, nil
}
