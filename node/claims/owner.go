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

// Intervals and timeouts of an owner's periodic work.
const (
	// tickInterval is the time between two updates of the ranks.
	tickInterval = time.Second
	// noticeTimeout bounds the sending of one notice to another router.
	noticeTimeout = time.Second
	// removalInterval is the time between two removals of a shard's expired claims.
	removalInterval = 10 * time.Minute
)

// Run updates the ranks, sends notices and removes expired claims until ctx ends.
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
		w.updateRank(time.Now(), ids)
		go w.sendNotices(ctx)
		if !removing && w.startRemoval(time.Now()) {
			// At most one shard per tick, to spread the removals over time.
			removing = true
			go s.remove(ctx, w.number)
		}
	}
}

// updateRank records which routers rank above this one in the shard's rendezvous order. A suspect
// router remains in rankedAbove while it is listed as live, because it may still accept claims.
func (w *worker) updateRank(now time.Time, ids []string) {
	members := w.service.members
	self := string(members.Self().ID)
	name := coreclaim.ShardName(w.number)
	own := rendezvous.Score(name, self)
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.rankedAbove {
		if host, found := members.Router(id); !found || host.State != fleet.Live {
			delete(w.rankedAbove, id)
			delete(w.pendingNotices, id)
		}
	}
	for _, id := range ids {
		if score := rendezvous.Score(name, id); score > own || (score == own && id < self) {
			w.rankedAbove[fleet.HostID(id)] = true
		}
	}
	w.resetAfterPause(now)
	w.lastTick = now
	w.shard.SetRankedFirst(now, slices.Contains(ids, self) && len(w.rankedAbove) == 0)
}

// resetAfterPause resets the shard's history after this process was paused, because other routers may
// have accepted the shard's claims in the meantime. The caller holds mu.
func (w *worker) resetAfterPause(now time.Time) {
	if now.Sub(w.lastTick) > pauseThreshold {
		w.shard.RecordForeignClaims(now)
		w.lastTick = now
	}
}

// sendNotices notifies the routers that rank above this one that it has accepted claims of the shard.
func (w *worker) sendNotices(ctx context.Context) {
	for _, id := range w.takePendingNotices() {
		ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
		var response foreignNotice
		err := w.service.peers.Call(ctx, id, methodForeign, foreignNotice{Shard: w.number}, &response)
		cancel()
		if err != nil {
			// The next tick tries again while the router is listed as live.
			w.mu.Lock()
			w.pendingNotices[id] = true
			w.mu.Unlock()
		}
	}
}

// takePendingNotices returns the routers to notify and clears the set.
func (w *worker) takePendingNotices() []fleet.HostID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []fleet.HostID
	for id := range w.pendingNotices {
		ids = append(ids, id)
	}
	clear(w.pendingNotices)
	return ids
}

// startRemoval reports whether a removal of the shard's expired claims is due on this router, and if
// so records its start. Only the router that ranks first removes claims.
func (w *worker) startRemoval(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.rankedAbove) > 0 || now.Sub(w.lastRemoval) < removalInterval {
		return false
	}
	w.lastRemoval = now
	return true
}

// remove deletes the expired claims of a shard, which no call can request any more.
func (s *Service) remove(ctx context.Context, shard int) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	from, to := coreclaim.RemovalRange(time.Now(), shard)
	_, err := s.store.Commit(ctx, port.Transaction{Writes: []port.Write{{Key: from, Delete: true, DeleteTo: to}}})
	if err != nil {
		// The next removal covers the same range again.
		s.telemetry.Log.Warn("failed to remove expired claims; the next removal covers them", "shard", shard, "err", err)
		return
	}
	s.telemetry.Log.Info("expired claims removed", "shard", shard, "before", to)
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
