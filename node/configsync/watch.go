package configsync

import (
	"context"
	"slices"
	"strings"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/dissemination"
	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/juju/errors"
)

const (
	// retryInterval is the time between attempts to reach the key-value service.
	retryInterval = time.Second
	// roleCheckInterval is how often a router checks whether it is one of the watchers.
	roleCheckInterval = time.Second
)

// runWatch watches the key-value service while this router is one of the watchers.
func (s *Service) runWatch(ctx context.Context) {
	ticker := time.NewTicker(roleCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if s.isWatcher() {
			s.watch(ctx)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// isWatcher reports whether this router is one of the watchers. A router without a configuration
// counts as one whatever its rank, so it reads the service once.
func (s *Service) isWatcher() bool {
	if s.members == nil || !s.isLoaded() {
		return true
	}
	count := dissemination.WatcherCount(s.staleness())
	ranking := dissemination.WatcherRanking(s.members.Routers(), count)
	return slices.Contains(ranking, s.members.Self().ID)
}

// watch watches the key-value service until the watch fails, ctx ends or this router is no longer
// one of the watchers.
func (s *Service) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setWatching(true)
	defer s.setWatching(false)
	err := s.follow(ctx)
	if err != nil && ctx.Err() == nil {
		s.telemetry.Log.Warn("failed to watch the configuration in the key-value service; reading it again", "err", err, "after", retryInterval)
	}
}

func (s *Service) setWatching(watching bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching = watching
	s.metrics.watching.Record(context.Background(), boolValue(watching))
	s.telemetry.Log.Debug("configuration watch started or stopped", "watching", watching)
}

// errRevisionGap is returned when the watch delivers a head without all items up to its revision.
var errRevisionGap = errors.New("the watch skipped a configuration revision")

// errWatchStalled is returned when the head has changed and the watch has not delivered it.
var errWatchStalled = errors.New("the watch has stalled: it did not deliver the current configuration head")

// follow reads the complete configuration and then applies the changes that a watch delivers. It
// returns nil when this router is no longer one of the watchers.
func (s *Service) follow(ctx context.Context) error {
	listed, err := s.readAll(ctx)
	if err != nil {
		return err
	}
	s.markLoaded()
	if !s.isWatcher() {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := s.store.Watch(ctx, configPrefix, listed, 0)
	ticker := time.NewTicker(dissemination.HeadReadInterval)
	defer ticker.Stop()
	var pending []configuration.Item
	for {
		select {
		case event, open := <-events:
			if !open || event.Err != nil {
				return event.Err
			}
			if pending, err = s.handleEvent(pending, event); err != nil {
				return err
			}
		case <-ticker.C:
			if !s.isWatcher() {
				return nil
			}
			if err := s.checkHead(ctx); err != nil {
				return err
			}
		}
	}
}

// handleEvent adds an item to the pending ones, or applies them all when their head arrives. It
// returns the items that are then pending.
func (s *Service) handleEvent(pending []configuration.Item, event port.WatchEvent) ([]configuration.Item, error) {
	// Only compacted tombstones are deleted from the service, and the head's floor covers them.
	if event.Deleted {
		return pending, nil
	}
	if strings.HasPrefix(event.Entry.Key, itemPrefix) {
		item, err := decodeItem(event.Entry.Value)
		return append(pending, item.Item), err
	}
	if event.Entry.Key != headKey {
		return pending, nil
	}
	h, err := decodeHead(event.Entry.Value)
	if err != nil {
		return pending, err
	}
	if s.refuseLowerHead(h) {
		return nil, errors.New("the watch delivered a lower configuration head than the revision in force")
	}
	current := s.Current().Revision()
	if !covers(pending, current, h.Revision) {
		return nil, errRevisionGap
	}
	s.apply(configuration.Delta{From: current, To: h.Revision, Floor: h.Floor, Items: pending}, "watch")
	s.confirm(time.Now())
	return nil, nil
}

// covers reports whether the items include every revision above from and up to to.
func covers(items []configuration.Item, from, to configuration.Revision) bool {
	seen := map[configuration.Revision]bool{}
	for _, item := range items {
		if item.Revision > from && item.Revision <= to {
			seen[item.Revision] = true
		}
	}
	return to <= from || len(seen) == int(to-from)
}

// checkHead compares the head with the configuration in force. It reads the head with a call of
// its own, since the watch's connection can stall while new ones work.
func (s *Service) checkHead(ctx context.Context) error {
	before := s.Current().Revision()
	entry, err := s.store.Get(ctx, headKey)
	if err != nil {
		s.telemetry.Log.Warn("failed to read the configuration head from the key-value service", "err", err)
		return nil
	}
	h, err := decodeHead(entry.Value)
	if err != nil {
		return err
	}
	if s.refuseLowerHead(h) {
		return nil
	}
	s.confirm(time.Now())
	// If the watch delivered a change during the read, it works and has until the next check to
	// deliver the rest.
	if h.Revision > s.Current().Revision() && before == s.Current().Revision() {
		return errWatchStalled
	}
	return nil
}

// refuseLowerHead reports whether the key-value service holds a lower revision than is in force,
// and logs when that state begins and ends.
func (s *Service) refuseLowerHead(h head) bool {
	behind := h.Revision < s.Current().Revision()
	s.mu.Lock()
	changed := behind != s.storeBehind
	s.storeBehind = behind
	s.mu.Unlock()
	s.metrics.storeBehind.Record(context.Background(), boolValue(behind))
	if changed && behind {
		s.telemetry.Log.Error("the key-value service holds a lower configuration revision than the one in force; refusing to roll back",
			"stored", h.Revision, "in_force", s.Current().Revision())
	}
	if changed && !behind {
		s.telemetry.Log.Info("the key-value service no longer holds a lower configuration revision than the one in force", "stored", h.Revision)
	}
	return behind
}

// readAll reads and applies the complete configuration. It returns the key-value service's
// revision, from which a watch continues.
func (s *Service) readAll(ctx context.Context) (revision.Revision, error) {
	var entries []port.Entry
	listed, err := s.store.List(ctx, configPrefix, func(entry port.Entry) { entries = append(entries, entry) })
	if err != nil {
		return revision.Revision{}, err
	}
	state, err := decodeState(entries)
	if err != nil {
		return revision.Revision{}, err
	}
	if s.refuseLowerHead(head{Revision: state.To}) {
		return listed, nil
	}
	s.apply(state, "read")
	s.confirm(time.Now())
	return listed, nil
}
