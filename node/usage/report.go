package usage

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/node/duty"
	"agateswitch/port"

	"github.com/juju/errors"
)

// KeyPrefix is the prefix of the entries that fix the content of reports, by window.
const KeyPrefix = "agateswitch/usage/"

const (
	// retryInterval is the time between two tries of a report.
	retryInterval = 300 * time.Millisecond
	// maxWait bounds the time between two looks at what is due.
	maxWait = time.Second
	// entryTTLFactor sets, as a multiple of Late, how long the content of a report is kept in the store.
	entryTTLFactor = 6
)

// Name implements duty.Duty.
func (s *Service) Name() string { return dutyName }

// Subjects implements duty.Duty.
func (s *Service) Subjects() []string { return []string{subject} }

// Work implements duty.Duty. It reports the windows that have ended and can still be reported in time.
func (s *Service) Work(ctx context.Context, _ string, grant duty.Grant) time.Duration {
	s.noteEra()
	collect := s.collectTime()
	now := s.Now()
	last := s.windows.Of(now.Add(-collect)) - 1
	failed := false
	for window := s.windows.Of(now.Add(-s.options.Late)); window <= last; window++ {
		if s.isDone(window) {
			continue
		}
		if err := s.report(ctx, grant, window); err != nil {
			s.counts.failed.Add(1)
			s.log.Warn("failed to report the usage", "window", window, "due_in", s.windows.End(window).Add(s.options.Late).Sub(s.Now()), "err", err)
			if failed = true; ctx.Err() != nil || errors.Is(err, duty.ErrNotHeld) {
				break
			}
		}
	}
	if failed {
		return retryInterval
	}
	return min(maxWait, max(0, s.windows.End(last+1).Add(collect).Sub(s.Now())))
}

// noteEra notes when the store was restored.
func (s *Service) noteEra() {
	eras, restorable := s.store.(port.Eras)
	if !restorable {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if era := eras.Era(); era != s.era {
		s.era, s.eraSince = era, s.Now()
	}
}

func (s *Service) isDone(window int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.done[window]
}

func (s *Service) finish(window int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done[window] = true
}

// errUnknownReport means that a window may have been reported with a content that was lost.
const errUnknownReport = errors.ConstError("the store was restored since the window ended; it may have been reported already")

// report reports a window with the content that is fixed for it.
func (s *Service) report(ctx context.Context, grant duty.Grant, window int64) error {
	counts, err := s.fix(ctx, window)
	if errors.Is(err, errUnknownReport) {
		s.counts.missed.Add(1)
		s.log.Warn("usage of a window is not reported", "window", window, "cause", err)
		s.finish(window)
		return nil
	}
	if err != nil {
		return err
	}
	err = grant.Send(ctx, func(ctx context.Context, call port.DutyCall) error {
		return s.duties.ReportUsage(ctx, call, port.UsageReport{Window: window, Counts: counts})
	})
	if errors.Is(err, port.ErrDutyRejected) {
		s.counts.missed.Add(1)
		s.log.Error("platform rejects the usage of a window", "window", window, "teams", len(counts), "err", err)
		s.finish(window)
		return nil
	}
	if err != nil {
		return errors.Annotate(err, "sending the report")
	}
	s.counts.reported.Add(1)
	s.log.Info("usage reported", "window", window, "teams", len(counts), "requests", sum(counts), "age", s.Now().Sub(s.windows.End(window)))
	s.finish(window)
	return nil
}

func sum(counts map[fleet.Team]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// fix returns the content of a window's report. It is in the store before this router sends it, so that every router sends the same.
func (s *Service) fix(ctx context.Context, window int64) (map[fleet.Team]int, error) {
	if counts, found := s.fixedContent(window); found {
		return counts, nil
	}
	key := fmt.Sprint(KeyPrefix, window)
	entry, err := s.store.Get(ctx, key)
	if err != nil {
		return nil, errors.Annotate(err, "reading the report")
	}
	s.noteEra()
	if !entry.Revision.IsAbsent() {
		return s.adopt(window, entry)
	}
	s.learn(ctx, window)
	if counts, found := s.fixedContent(window); found {
		return counts, nil
	}
	s.mu.Lock()
	counts, sources := s.counter.Sum(window)
	mayBeLost := s.era > 0 && s.windows.End(window).Before(s.eraSince)
	s.mu.Unlock()
	if mayBeLost {
		return nil, errors.Trace(errUnknownReport)
	}
	if err := s.write(ctx, window, key, counts); err != nil {
		return nil, err
	}
	s.log.Info("usage of a window fixed", "window", window, "requests", sum(counts), "routers", sources)
	fixed, _ := s.fixedContent(window)
	return fixed, nil
}

func (s *Service) fixedContent(window int64) (map[fleet.Team]int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, found := s.fixed[window]
	return counts, found
}

// write writes the content of a window's report unless there is one.
func (s *Service) write(ctx context.Context, window int64, key string, counts map[fleet.Team]int) error {
	value, err := json.Marshal(counts)
	if err != nil {
		return errors.Trace(err)
	}
	lease, err := s.store.GrantLease(ctx, entryTTLFactor*s.options.Late)
	if err != nil {
		return errors.Annotate(err, "getting a lease for the report")
	}
	result, err := s.store.Commit(ctx, port.Transaction{
		Conditions: []port.Condition{{Key: key}}, Writes: []port.Write{{Key: key, Value: value, Lease: lease}}, ReadConflicts: true,
	})
	if err != nil {
		return errors.Annotate(err, "fixing the report")
	}
	if !result.Applied {
		if len(result.Found) != 1 || result.Found[0].Revision.IsAbsent() {
			return errors.New("the report was fixed and is gone")
		}
		_, err := s.adopt(window, result.Found[0])
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fixed[window] = counts
	return nil
}

// adopt takes the content that an entry of the store fixes.
func (s *Service) adopt(window int64, entry port.Entry) (map[fleet.Team]int, error) {
	var counts map[fleet.Team]int
	if err := json.Unmarshal(entry.Value, &counts); err != nil {
		return nil, errors.Annotate(err, entry.Key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fixed[window] = counts
	return counts, nil
}
