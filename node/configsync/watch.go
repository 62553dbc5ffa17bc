package configsync

import (
	"context"
	"slices"
	"strings"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/dissemination"
	"agateswitch/port"

	"github.com/juju/errors"
)

const (
	// retryInterval is the time between attempts to reach the key-value service.
	retryInterval = time.Second
	// roleInterval is how often a router looks whether it is to watch.
	roleInterval = time.Second
)

// runWatch watches the key-value service while this router is one of the watchers.
func (s *Service) runWatch(ctx context.Context) {
	ticker := time.NewTicker(roleInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if s.isWatcher() {
			s.watchWhileChosen(ctx)
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// isWatcher tells whether this router is to watch now. A router without a configuration
// always reads the service once, whatever its rank.
func (s *Service) isWatcher() bool {
	if s.members == nil || !s.isLoaded() {
		return true
	}
	count := dissemination.WatcherCount(s.staleness())
	ranking := dissemination.WatcherRanking(s.members.Routers(), count)
	return slices.Contains(ranking, s.members.Self().ID)
}

func (s *Service) watchWhileChosen(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.setWatching(true)
	defer s.setWatching(false)
	err := s.follow(ctx)
	if err != nil && ctx.Err() == nil {
		s.telemetry.Log.Warn("configuration watch ended, reading again", "err", err, "after", retryInterval)
	}
}

func (s *Service) setWatching(watching bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watching = watching
	s.metrics.watching.Record(context.Background(), boolValue(watching))
	s.telemetry.Log.Debug("configuration watch", "watching", watching)
}

// errGap means that the watch left out a change.
var errGap = errors.New("the watch left out a change")

// errSilent means that the head has moved and the watch has not told.
var errSilent = errors.New("the watch has gone silent")

// follow reads the whole configuration and then its changes. It returns nil when this
// router is no longer to watch.
func (s *Service) follow(ctx context.Context) error {
	revision, err := s.read(ctx)
	if err != nil {
		return err
	}
	s.markLoaded()
	if !s.isWatcher() {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	events := s.store.Watch(ctx, prefix, revision)
	ticker := time.NewTicker(dissemination.HeadReadInterval)
	defer ticker.Stop()
	var pending []configuration.Item
	for {
		select {
		case event, open := <-events:
			if !open || event.Err != nil {
				return event.Err
			}
			if pending, err = s.take(pending, event); err != nil {
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

// take collects items until their head comes, and then applies them.
func (s *Service) take(pending []configuration.Item, event port.WatchEvent) ([]configuration.Item, error) {
	// Only tombstones are deleted from the service; the head's floor tells of them.
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
		return nil, errors.New("the head went back")
	}
	current := s.Current().Revision()
	if !covers(pending, current, h.Revision) {
		return nil, errGap
	}
	s.apply(configuration.Delta{From: current, To: h.Revision, Floor: h.Floor, Items: pending}, "watch")
	s.confirm(time.Now())
	return nil, nil
}

// covers tells whether the items hold every revision above from, up to to.
func covers(items []configuration.Item, from, to configuration.Revision) bool {
	seen := map[configuration.Revision]bool{}
	for _, item := range items {
		if item.Revision > from && item.Revision <= to {
			seen[item.Revision] = true
		}
	}
	return to <= from || len(seen) == int(to-from)
}

// checkHead compares the head with the configuration in force. It uses a new call, since
// the watch's connection can go silent while new ones work.
func (s *Service) checkHead(ctx context.Context) error {
	before := s.Current().Revision()
	entry, err := s.store.Get(ctx, headKey)
	if err != nil {
		s.telemetry.Log.Warn("configuration head unreadable", "err", err)
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
	// The head may have moved while it was read; the watch gets one interval to tell.
	if h.Revision > s.Current().Revision() && before == s.Current().Revision() {
		return errSilent
	}
	return nil
}

// refuseLowerHead tells whether the service holds a lower revision than is in force, and
// tells operators when that begins and ends.
func (s *Service) refuseLowerHead(h head) bool {
	behind := h.Revision < s.Current().Revision()
	s.mu.Lock()
	changed := behind != s.storeBehind
	s.storeBehind = behind
	s.mu.Unlock()
	s.metrics.storeBehind.Record(context.Background(), boolValue(behind))
	if changed && behind {
		s.telemetry.Log.Error("the key-value service holds a lower configuration revision than is in force, refusing to go back",
			"stored", h.Revision, "in_force", s.Current().Revision())
	}
	if changed && !behind {
		s.telemetry.Log.Info("the key-value service holds the configuration in force again", "stored", h.Revision)
	}
	return behind
}

// read applies the whole configuration and returns the service's revision.
func (s *Service) read(ctx context.Context) (int64, error) {
	entries, revision, err := s.store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	state, err := decodeAll(entries)
	if err != nil {
		return 0, err
	}
	if s.refuseLowerHead(head{Revision: state.To}) {
		return revision, nil
	}
	s.apply(state, "read")
	s.confirm(time.Now())
	return revision, nil
}
