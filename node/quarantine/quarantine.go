// Package quarantine holds back requests with parts of prompts that crash engines, on all routers alike. Routers tell
// each other at once which engines ended on which parts, and which parts were answered (core/quarantine). A part that
// is held back is written to the platform's store, so that it stays so when all hosts have lost power.
package quarantine

import (
	"context"
	"slices"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/quarantine"
	"agateswitch/core/rendezvous"
	"agateswitch/core/revision"
	"agateswitch/node/replica"
	"agateswitch/port"

	"github.com/charmbracelet/log"
)

// Intervals, timeouts and limits.
const (
	// recentAnswerTime is how long after an answer to a request with a part, on this router, an engine's end says
	// nothing of the part.
	recentAnswerTime = 2 * time.Second
	// maxRecentAnswers bounds the parts whose last answer is remembered.
	maxRecentAnswers = 4096
	// permitTimeout bounds the wait for the permission to work on a suspect part.
	permitTimeout = 200 * time.Millisecond
	// messageTimeout bounds one message to a router.
	messageTimeout = 300 * time.Millisecond
	// learnInterval is the time between two attempts of a router that starts to learn from others, which it does not
	// know at first, and maxLearnAttempts their number.
	learnInterval    = 250 * time.Millisecond
	maxLearnAttempts = 12
	// batchDelay is the time over which news are batched into one message.
	batchDelay = 5 * time.Millisecond
	// storeInterval is the time between two checks which entries have to be written, and which parts are tried.
	storeInterval = 100 * time.Millisecond
	// takeoverDelay is how long a router waits, for each router ranked before it for a part, before it writes the
	// part's entry in their place.
	takeoverDelay = 300 * time.Millisecond
)

// KeyPrefix is the prefix of the keys in the store of parts that are held back.
const KeyPrefix = "agateswitch/quarantine/"

// Fleet provides the other routers, and this router's rank for a key.
type Fleet interface {
	Others() []fleet.HostID
	Rank(key string) int
}

// Service is the quarantine as one router knows it. It is safe for concurrent use.
type Service struct {
	self      fleet.HostID
	store     port.Store
	transport port.Peers
	fleet     Fleet
	log       *log.Logger
	// dirty is notified when there are news for other routers.
	dirty chan struct{}

	mu       sync.Mutex
	evidence *quarantine.Evidence
	// sent counts the requests that this router has sent, and wanted also those that it has refused because of a hold.
	sent, wanted *quarantine.Exposure
	schedule     quarantine.Schedule
	// decided counts the decisions of this router, by state.
	decided map[string]int64
	// answeredAt is when an answer to a request with a part last began on this router.
	answeredAt map[quarantine.Part]time.Time
	holds      map[quarantine.Part]*hold
	// permits holds until when some router may work on a suspect part for which this router is responsible.
	permits map[quarantine.Part]time.Time
	news    news
}

// hold is a part that is held back, or was released. Service.mu guards it.
type hold struct {
	quarantine.Hold
	// revision is that of the entry in the store; zero while there is none.
	revision revision.Revision
	// changedAt is when this router may write the content at the earliest, and written whether the store has it.
	changedAt time.Time
	written   bool
	// learnedAt is when this router learned of the content, and trialSince when it learned that the part is on trial.
	learnedAt, trialSince time.Time
}

// set sets the content. The store does not have it yet.
func (h *hold) set(content quarantine.Hold, now time.Time) {
	if content.OnTrial && !(h.OnTrial && h.Since.Equal(content.Since)) {
		h.trialSince = now
	}
	h.Hold, h.learnedAt, h.changedAt, h.written = content, now, now, false
}

// New returns the quarantine of a router and registers its peer methods.
func New(self fleet.HostID, store port.Store, transport port.Peers, others Fleet, logger *log.Logger) *Service {
	s := &Service{
		self: self, store: store, transport: transport, fleet: others, log: logger, dirty: make(chan struct{}, 1),
		evidence: quarantine.NewEvidence(), decided: map[string]int64{}, sent: quarantine.NewExposure(), wanted: quarantine.NewExposure(),
		schedule: quarantine.Schedule{TrialsPerHour: quarantine.DefaultTrials}, answeredAt: map[quarantine.Part]time.Time{},
		holds: map[quarantine.Part]*hold{}, permits: map[quarantine.Part]time.Time{},
	}
	transport.Handle(methodTell, s.handleTell)
	transport.Handle(methodPermit, s.handlePermit)
	transport.Handle(methodReturn, s.handleReturn)
	transport.Handle(methodKnown, s.handleKnown)
	return s
}

// Permit is the permission to work on a request.
type Permit struct {
	// Denied is the part because of which the request must not be sent; empty means that it may. Held is
	// true if the part is held back, and false if another request with it is in work. InDoubt is true if the part is held back and
	// will be tried once engines have stopped to end.
	Denied        quarantine.Part
	Held, InDoubt bool
	// NextTrial is how long a part that is held back waits for its next trial.
	NextTrial time.Duration
	// Ends is how many ends of engines count against the part.
	Ends int
	// Alone is true if no other request with a suspect part may be in work meanwhile.
	Alone bool
	// Manner is how the end of the engine showed, if it ended.
	Manner quarantine.Manner

	// taken are the suspect parts for which permission was given.
	taken []quarantine.Part
	// pool is the pool to which the request was sent, and load how many requests its engine worked on.
	pool fleet.PoolID
	load int
	// isRepeat is true for a request that was in work on an engine that ended.
	isRepeat bool
}

// Admit returns the permission for a request with the given shared parts. A repeat is a request that was in work
// on an engine that ended. Callers end the permit with Return.
func (s *Service) Admit(ctx context.Context, parts []quarantine.Part, isRepeat bool, deadline time.Time) *Permit {
	permit := &Permit{isRepeat: isRepeat}
	for _, part := range parts {
		standing, ends := s.standing(part, isRepeat)
		if standing == quarantine.Clear {
			continue
		}
		permit.Alone = true
		if standing == quarantine.Suspect && s.requestPermit(ctx, part, deadline) {
			permit.taken = append(permit.taken, part)
			continue
		}
		permit.Denied, permit.Held, permit.Ends = part, standing == quarantine.Held, ends
		if permit.Held {
			permit.InDoubt, permit.NextTrial = s.awaitTrial(part)
		}
		s.Return(permit)
		return permit
	}
	return permit
}

// SuspectsRequests reports whether any whole request is a suspect or held back. Only then the ids of whole requests are
// needed before an engine has ended.
func (s *Service) SuspectsRequests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evidence.SuspectsRequests() {
		return true
	}
	now := time.Now()
	for part, h := range s.holds {
		if part.IsWholeRequest() && (h.InForce(now) || h.IsOnTrial(now)) {
			return true
		}
	}
	return false
}

// Sent records that a request with the given parts is sent to an engine of a pool, which works on load requests of all routers. Repeats
// after an end are not counted: they have what is suspected more often than others.
func (s *Service) Sent(permit *Permit, pool fleet.PoolID, load int, parts []quarantine.Part) {
	permit.pool, permit.load = pool, load
	if permit.isRepeat {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sent.Add(pool, parts, now)
	s.wanted.Add(pool, parts, now)
}

// Ended records that an engine ended while it worked on a request with the given parts, to which no answer had begun. The
// request was sent with the given permit.
func (s *Service) Ended(engine quarantine.Engine, parts []quarantine.Part, permit *Permit, origin quarantine.Origin) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	ending := quarantine.End{Engine: engine, At: now, Pool: permit.pool, Load: permit.load, Manner: permit.Manner}
	if s.evidence.AddEnding(ending) {
		s.news.endings = append(s.news.endings, ending)
		s.notify()
	}
	// A part is judged after the next one, whose ends may explain its own.
	for i, part := range slices.Backward(parts) {
		if now.Sub(s.answeredAt[part]) < recentAnswerTime {
			continue
		}
		end := quarantine.End{
			Part: part, Engine: engine, At: now, Next: nextPart(parts, i), Alone: slices.Contains(permit.taken, part), Origin: origin,
			Pool: permit.pool, Load: permit.load, Share: s.shareWithout(permit, part, now), Teller: s.self, Manner: permit.Manner,
		}
		if s.addEnd(end) {
			s.news.ends = append(s.news.ends, end)
			s.notify()
		}
	}
}

// shareWithout returns a part's share of the requests that this router has sent, but for the one with the permit: an end is told only by
// a router that has sent a request with the part. The caller holds mu.
func (s *Service) shareWithout(permit *Permit, part quarantine.Part, now time.Time) quarantine.Share {
	share := s.sent.Share(permit.pool, part, now)
	if !permit.isRepeat && share.With > 0 {
		share.With--
		share.Of--
	}
	return share
}

// nextPart returns the part of a prompt after the one at an index, or nothing if that is the last one that others share.
func nextPart(parts []quarantine.Part, at int) quarantine.Part {
	if at+1 >= len(parts) || parts[at+1].IsWholeRequest() {
		return ""
	}
	return parts[at+1]
}

// addEnd adds an end to the evidence, and holds the part back if that is enough. The caller holds mu.
func (s *Service) addEnd(end quarantine.End) bool {
	now := time.Now()
	if !s.evidence.AddEnd(end, now) {
		return false
	}
	s.log.Info("engine ended while it worked on a part of a prompt or a request", "part", end.Part, "route", end.Origin.Route, "team", end.Origin.Team,
		"alone", end.Alone, "manner", end.Manner, "pool", end.Pool, "load", end.Load, "upstream", end.Engine.ID,
		"incarnation", end.Engine.Incarnation, "age", now.Sub(end.At).Round(time.Millisecond), "ends", s.evidence.Ends(end.Part))
	switch {
	case s.isOnTrial(end.Part):
		s.endTrial(end, now)
	case s.evidence.Standing(end.Part, false) == quarantine.Held && !s.isHeld(end.Part) && !s.isTooCostly(end.Part):
		s.hold(end.Part, now)
	}
	return true
}

// Answered records that an engine began to answer a request with the given shared parts, which was sent to it at
// sentAt.
func (s *Service) Answered(engine quarantine.Engine, parts []quarantine.Part, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.remember(parts, now)
	if !s.evidence.Concerns(engine, parts) && !s.concernsHold(parts) {
		return
	}
	if s.evidence.Refute(engine, sentAt) {
		if s.news.refuted == nil {
			s.news.refuted = map[quarantine.Engine]time.Time{}
		}
		s.news.refuted[engine] = sentAt
		s.notify()
	}
	for _, part := range parts {
		if s.evidence.Standing(part, false) != quarantine.Clear {
			s.news.answered = append(s.news.answered, part)
			s.notify()
		}
		if s.isHeld(part) || s.isOnTrial(part) {
			s.release(part, "a request with it was answered")
		}
	}
	s.evidence.AddAnswer(parts, now)
}

// concernsHold reports whether one of the parts is held back or on trial. The caller holds mu.
func (s *Service) concernsHold(parts []quarantine.Part) bool {
	for _, part := range parts {
		if s.isHeld(part) || s.isOnTrial(part) {
			return true
		}
	}
	return false
}

// remember records the time of an answer. The caller holds mu.
func (s *Service) remember(parts []quarantine.Part, now time.Time) {
	if len(s.answeredAt) >= maxRecentAnswers {
		for part, at := range s.answeredAt {
			if now.Sub(at) >= recentAnswerTime {
				delete(s.answeredAt, part)
			}
		}
	}
	for _, part := range parts {
		if _, found := s.answeredAt[part]; found || len(s.answeredAt) < maxRecentAnswers {
			s.answeredAt[part] = now
		}
	}
}

// release ends the hold or the trial of a part. The caller holds mu.
func (s *Service) release(part quarantine.Part, reason string) {
	content := s.holds[part].Release(reason)
	s.evidence.AddAnswer([]quarantine.Part{part}, time.Now())
	s.log.Warn("part of a prompt released", "part", part, "reason", reason)
	s.change(content)
}

// Release ends the hold or the trial of a part, as an operator asks. It reports false if there is none.
func (s *Service) Release(part quarantine.Part) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isHeld(part) && !s.isOnTrial(part) {
		return false
	}
	s.release(part, "an operator released it")
	return true
}

// Holds returns the parts that are held back or on trial.
func (s *Service) Holds() []quarantine.Hold {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []quarantine.Hold
	now := time.Now()
	for _, h := range s.holds {
		if h.InForce(now) || h.IsOnTrial(now) {
			all = append(all, h.Hold)
		}
	}
	return all
}

// Observe applies changes of the store.
func (s *Service) Observe(changes []replica.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, change := range changes {
		s.observe(change)
	}
}

// Run tells the other routers the news and writes entries until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var learning sync.WaitGroup
	defer learning.Wait()
	learning.Go(func() { s.learn(ctx) })
	ticker := time.NewTicker(storeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.dirty:
			time.Sleep(batchDelay)
			s.tell(ctx)
		case <-ticker.C:
			s.beginTrials()
			s.writeEntries(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// notify makes Run tell the news. The caller holds mu.
func (s *Service) notify() {
	select {
	case s.dirty <- struct{}{}:
	default:
	}
}

// responsible returns the router that gives the permissions for a part.
func (s *Service) responsible(part quarantine.Part) fleet.HostID {
	names := []string{string(s.self)}
	for _, other := range s.fleet.Others() {
		names = append(names, string(other))
	}
	first, _ := rendezvous.First(KeyPrefix+string(part), names)
	return fleet.HostID(first)
}
