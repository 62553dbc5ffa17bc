package presence

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/revision"
	"agateswitch/node/replica"
	"agateswitch/port"
)

// Parameters of roll calls (docs/design/roll-call.md).
const (
	// rollCallKey is the key that a router writes to call the roll. It is no router's.
	rollCallKey = RouterKeyPrefix + "?roll-call"
	// rollCallTimeout is the time within which a router that reaches the store answers. The roll call takes up to 0.75 s to it,
	// and twice that while the store has just come back.
	rollCallTimeout = 2 * time.Second
	// rollCallInterval is the time between two roll calls of a router.
	rollCallInterval = 4 * time.Second
	// storeTimeout bounds a call to the store, and rollCallRetryDelay is the time until the next try. They are short, since
	// a router that is alone waits for a store that has been away.
	storeTimeout       = 500 * time.Millisecond
	rollCallRetryDelay = 250 * time.Millisecond
	// answerInterval is the time between two answers of a router. One answers all roll calls before it.
	answerInterval = 400 * time.Millisecond
	// answerSpacing is the mean time between the answers of two routers, which share the store's limit of writes.
	answerSpacing = 1250 * time.Microsecond
	// maxRemovals is the number of entries that are removed at once. The store accepts 32 writes in a transaction.
	maxRemovals = 32
)

// rollCall is the state of roll calls on a router.
type rollCall struct {
	// revision is that of this router's last roll call.
	revision revision.Revision
	// seen is the last roll call of any router, and answered the revision of this router's own entry when it last wrote it.
	seen, answered revision.Revision
}

// rollCallMessage is the value of rollCallKey. It only serves logs.
type rollCallMessage struct {
	By fleet.HostID `json:"by"`
}

// checkRoll calls the roll while no neighbour answers, and removes the entries of routers that do not answer the call.
// Either the neighbours have ended, and entries of a large fleet then outlive all who would remove them, or this router is
// cut off from the others. The store tells which: routers that reach it answer there, and stay.
func (p *Presence) checkRoll(ctx context.Context) {
	isIsolated := p.isIsolated()
	if p.isolated.Swap(isIsolated) != isIsolated {
		p.log.Info("reachability of the neighbours has changed", "isolated", isIsolated)
	}
	if isIsolated && p.callingRoll.CompareAndSwap(false, true) {
		go func() {
			defer p.callingRoll.Store(false)
			p.runRollCall(ctx)
		}()
	}
}

// runRollCall calls the roll, and removes the entries of routers that do not answer until the next roll call may begin.
func (p *Presence) runRollCall(ctx context.Context) {
	for !p.callRoll(ctx) {
		pause(ctx, rollCallRetryDelay)
		if ctx.Err() != nil || !p.isolated.Load() {
			return
		}
	}
	calledAt := time.Now()
	pause(ctx, rollCallTimeout)
	for ctx.Err() == nil && time.Since(calledAt) < rollCallInterval {
		p.removeAbsent(ctx)
		pause(ctx, heartbeatInterval)
	}
}

// pause waits for a duration or until ctx ends.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

// isIsolated reports whether this router has neighbours that it monitors, none of which answers.
func (p *Presence) isIsolated() bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaving.Load() || !p.isMonitoring() {
		return false
	}
	for id, since := range p.monitored {
		if now.Sub(since) <= unresponsiveTimeout || now.Sub(p.heartbeats[id].receivedAt) <= unresponsiveTimeout {
			return false
		}
	}
	return len(p.monitored) > 0
}

// callRoll asks all routers to write their entries again. It reports false if the store has not answered.
func (p *Presence) callRoll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(rollCallMessage{By: p.self.ID})
	if err != nil {
		panic("encode roll call: " + err.Error())
	}
	result, err := p.store.Commit(ctx, port.Transaction{Writes: []port.Write{{Key: rollCallKey, Value: value}}})
	if err != nil {
		p.log.Info("failed to call the roll of the routers", "err", err)
		return false
	}
	p.mu.Lock()
	p.roll.revision = result.Revision
	p.mu.Unlock()
	p.log.Warn("no neighbour answers; called the roll of the routers", "revision", result.Revision)
	return true
}

// removeAbsent removes the entries of the routers that have not answered the last roll call.
func (p *Presence) removeAbsent(ctx context.Context) {
	for absent := range slices.Chunk(p.absent(), maxRemovals) {
		p.removeEntries(ctx, absent)
	}
}

// removeEntries removes those of the entries that have not been written or removed meanwhile.
func (p *Presence) removeEntries(ctx context.Context, entries []port.Entry) {
	if len(entries) == 0 {
		return
	}
	removal := port.Transaction{ReadConflicts: true}
	for _, entry := range entries {
		removal.Conditions = append(removal.Conditions, port.Condition{Key: entry.Key, Revision: entry.Revision.Stored()})
		removal.Writes = append(removal.Writes, port.Write{Key: entry.Key, Delete: true})
	}
	result, err := p.store.Commit(ctx, removal)
	p.log.Warn("routers have not answered the roll call; removing their entries", "routers", len(entries), "first", entries[0].Key,
		"removed", result.Applied, "err", err)
	switch {
	case err != nil:
		// The next check tries again.
	case result.Applied:
		p.forget(entries)
	default:
		unchanged := withoutChanged(entries, result.Found)
		if len(unchanged) < len(entries) {
			p.removeEntries(ctx, unchanged)
		} else if half := len(entries) / 2; half > 0 {
			// The store does not say which ones have changed.
			p.removeEntries(ctx, entries[:half])
			p.removeEntries(ctx, entries[half:])
		}
	}
}

// withoutChanged returns the entries without those that have been found at another revision.
func withoutChanged(entries, found []port.Entry) []port.Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(entry port.Entry) bool {
		return slices.ContainsFunc(found, func(now port.Entry) bool { return now.Key == entry.Key && now.Revision != entry.Revision.Stored() })
	})
}

// absent returns the entries of routers that answer roll calls and have not answered the last one.
func (p *Presence) absent() []port.Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	var absent []port.Entry
	for id, at := range p.revisions {
		isHeard := time.Since(p.heartbeats[id].receivedAt) <= unresponsiveTimeout
		if id != p.self.ID && p.answering[id] && !isHeard && p.roll.revision.After(at) {
			absent = append(absent, port.Entry{Key: RouterKeyPrefix + string(id), Revision: at})
		}
	}
	return absent
}

// forget applies the removal of entries before the copy of the store has it.
func (p *Presence) forget(removed []port.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	defer p.entryChanges.Add(1)
	for _, entry := range removed {
		id := fleet.HostID(entry.Key[len(RouterKeyPrefix):])
		if p.revisions[id] == entry.Revision {
			p.dropEntry(id)
		}
	}
}

// observeRollCall makes this router answer a roll call. The caller holds mu.
func (p *Presence) observeRollCall(change replica.Change) {
	if change.Deleted || !change.Entry.Revision.After(p.roll.seen) {
		return
	}
	p.roll.seen = change.Entry.Revision
	select {
	case p.rollCalled <- struct{}{}:
	default:
	}
}

// hasSilentNeighbour reports whether a neighbour that this router monitors has not been heard lately.
func (p *Presence) hasSilentNeighbour() bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, since := range p.monitored {
		if p.isMonitoring() && now.Sub(since) > unresponsiveTimeout && now.Sub(p.heartbeats[id].receivedAt) > unresponsiveTimeout {
			return true
		}
	}
	return false
}

// readRollCall reads the last roll call from the store. While many routers have ended, the copy of the store may be late, as those from
// which it is pulled may be among them.
func (p *Presence) readRollCall(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := p.store.Get(ctx, rollCallKey)
	if err != nil {
		p.log.Debug("failed to read the roll call", "err", err)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roll.seen = revision.Latest(p.roll.seen, entry.Revision)
}

// isCalled reports whether a roll call is later than this router's entry.
func (p *Presence) isCalled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roll.seen.After(p.roll.answered)
}

// awaitAnswerTurn waits until this router may answer a roll call.
func (p *Presence) awaitAnswerTurn(ctx context.Context) {
	p.mu.Lock()
	spread := time.Duration(len(p.listed)+1) * answerSpacing
	wait := max(0, answerInterval-time.Since(p.registration.writtenAt)) + rand.N(spread)
	p.mu.Unlock()
	pause(ctx, wait)
}
