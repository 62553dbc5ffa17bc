package gateway

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/core/departure"
	"agateswitch/core/fleet"
	"agateswitch/core/quarantine"
	"agateswitch/core/routing"
	"agateswitch/node/replica"
	"agateswitch/port"

	"github.com/charmbracelet/log"
)

// snapshot is the state in force at one point in time. It is immutable, apart from the engines in
// it.
type snapshot struct {
	table *routing.Table
	// engines holds the upstreams of each pool.
	engines map[fleet.PoolID][]*engine
	// dataCentresOut holds the data centres that are taken out of service.
	dataCentresOut map[fleet.DataCentre]bool
}

// acceptsWork reports whether an upstream of a pool may get requests: it has an entry, does not leave,
// its data centre is not taken out, and it has not asked for a pause.
func (s *snapshot) acceptsWork(pool fleet.PoolID, e *engine) bool {
	upstream := e.upstream()
	_, isPaused := e.pausedUntil(time.Now())
	return !isPaused && upstream.State == fleet.Live && !s.dataCentresOut[upstream.DataCentre] && slices.Contains(s.engines[pool], e)
}

// view builds a snapshot after each change of the replica.
type view struct {
	codec port.EntryCodec
	// onCacheReset is called for an upstream whose cache is assumed to be empty, because the upstream
	// was added, has restarted or was removed.
	onCacheReset func(fleet.UpstreamID)
	// leaves reports whether an incarnation of an upstream has said that it leaves.
	leaves func(fleet.UpstreamID, int64) bool
	// onLost is called for an upstream that has ended without having said that it leaves.
	onLost  func(quarantine.Engine, fleet.PoolID, quarantine.Manner)
	log     *log.Logger
	current atomic.Pointer[snapshot]
	// ready is closed once current is set for the first time.
	ready chan struct{}

	// mu guards the state from which the next snapshot is built. Keys of the maps are the keys of
	// the entries in the store.
	mu             sync.Mutex
	table          *routing.Table
	engines        map[string]*engine
	absent         absentEngines
	dataCentresOut map[string]fleet.DataCentre
	// problems holds why entries can't be decoded, as logged, of maxProblems entries at most.
	problems map[string]string
}

func newView(codec port.EntryCodec, onCacheReset func(fleet.UpstreamID), leaves func(fleet.UpstreamID, int64) bool, logger *log.Logger) *view {
	return &view{
		codec: codec, onCacheReset: onCacheReset, leaves: leaves, log: logger, ready: make(chan struct{}), engines: map[string]*engine{},
		dataCentresOut: map[string]fleet.DataCentre{}, problems: map[string]string{},
	}
}

// applyChanges applies a batch of changes and publishes the next snapshot.
func (v *view) applyChanges(changes []replica.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for _, change := range changes {
		switch {
		case change.Deleted:
			v.applyDeletion(change.Entry.Key, now)
		case !change.Replayed:
			v.applyEntry(change.Entry, now)
		}
	}
	v.publishSnapshot()
}

// applyEntry applies a written entry. The caller holds mu.
func (v *view) applyEntry(entry port.Entry, now time.Time) {
	decoded := v.codec.Decode(entry.Key, entry.Value)
	switch {
	case decoded.Problem != nil:
		v.logProblem(entry, decoded.Problem)
		// An upstream whose entry can't be decoded may not be fit for use.
		v.removeEngine(entry.Key)
	case decoded.Engine != nil:
		v.applyEngine(entry.Key, *decoded.Engine, now)
	case decoded.DataCentreOut != "":
		v.log.Info("data centre taken out of service", "datacentre", decoded.DataCentreOut, "revision", entry.Revision)
		v.dataCentresOut[entry.Key] = decoded.DataCentreOut
	}
}

// maxProblems is the number of entries that can't be decoded of which a router logs each one.
const maxProblems = 1000

// logProblem logs an entry that can't be decoded, once for each key and problem. The caller holds mu.
func (v *view) logProblem(entry port.Entry, problem error) {
	known, found := v.problems[entry.Key]
	if known == problem.Error() || !found && len(v.problems) >= maxProblems {
		return
	}
	v.problems[entry.Key] = problem.Error()
	if len(v.problems) == maxProblems {
		v.log.Warn("many store entries can't be decoded; further ones are not logged", "entries", maxProblems)
	}
	_, isRegistered := v.engines[entry.Key]
	v.log.Warn("failed to decode a store entry; ignoring it", "key", entry.Key, "revision", entry.Revision, "registered", isRegistered, "err", problem)
}

// applyDesired puts a desired state in force unless it is older than the current one. The entry is
// decoded before the lock is taken, so that other changes do not wait for that.
func (v *view) applyDesired(entry port.Entry) {
	decoded := v.codec.Decode(entry.Key, entry.Value)
	if decoded.Desired == nil {
		v.log.Warn("failed to decode a desired state; ignoring it", "key", entry.Key, "revision", entry.Revision, "err", decoded.Problem)
		return
	}
	table := routing.Compile(*decoded.Desired)
	v.mu.Lock()
	defer v.mu.Unlock()
	version := table.State.Version
	if v.table != nil && version < v.table.State.Version {
		v.log.Warn("ignored a desired state older than the one in force", "version", version, "in_force", v.table.State.Version)
		return
	}
	v.table = table
	v.log.Info("desired state in force", "version", version, "revision", entry.Revision,
		"routes", len(table.State.Routes), "teams", len(table.State.Teams))
	v.publishSnapshot()
}

// applyEngine applies an upstream's entry. An upstream with a new incarnation or address replaces
// the earlier one. The caller holds mu.
func (v *view) applyEngine(key string, entry port.EngineEntry, now time.Time) {
	e, found := v.engines[key]
	if !found || e.incarnation != entry.Incarnation || e.upstream().Address != entry.Upstream.Address {
		v.onCacheReset(entry.Upstream.ID)
		if !found {
			e, found = v.absent.take(entry, now)
		}
		if !found || e.incarnation != entry.Incarnation || e.upstream().Address != entry.Upstream.Address {
			if found && e.incarnation != entry.Incarnation {
				v.reportLost(e, quarantine.Replaced)
			}
			e = newEngine(entry)
		}
		if v.leaves(entry.Upstream.ID, entry.Incarnation) {
			e.markLeaving()
		}
		v.engines[key] = e
		v.log.Info("upstream registered", "upstream", entry.Upstream.ID, "pool", entry.Upstream.Pool,
			"datacentre", entry.Upstream.DataCentre, "version", entry.Upstream.Version, "cold", entry.Cold)
	} else if previous := e.upstream().State; previous != entry.Upstream.State {
		v.log.Info("upstream changed state", "upstream", entry.Upstream.ID, "state", entry.Upstream.State)
	}
	e.applyEntry(entry, now)
}

// markLeaving marks the upstream that another router has said to leave, if it is registered here.
func (v *view) markLeaving(mark departure.Mark) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, e := range v.engines {
		if e.id == mark.Upstream && e.incarnation <= mark.Incarnation {
			e.markLeaving()
			v.log.Info("upstream leaves according to another router", "upstream", e.id, "incarnation", mark.Incarnation, "age_ms", mark.AgeMs)
		}
	}
}

// applyDeletion applies the deletion of an entry. The caller holds mu.
func (v *view) applyDeletion(key string, now time.Time) {
	delete(v.problems, key)
	if dataCentre, found := v.dataCentresOut[key]; found {
		delete(v.dataCentresOut, key)
		v.returnDataCentre(dataCentre, now)
		return
	}
	v.removeEngine(key)
}

// returnDataCentre returns a data centre to service. Its upstreams are assumed to be cold, because
// they may have become cold while it was taken out and their entries lag. The caller holds mu.
func (v *view) returnDataCentre(dataCentre fleet.DataCentre, now time.Time) {
	v.log.Info("data centre returned to service", "datacentre", dataCentre)
	for _, e := range v.engines {
		upstream := e.upstream()
		if upstream.DataCentre != dataCentre || v.table == nil {
			continue
		}
		if pool, found := v.table.Pool(upstream.Pool); found && pool.ColdRate > 0 {
			e.assumeCold(now.Add(pool.ColdStart))
		}
	}
}

// removeEngine removes an upstream, if there is one with the key. The caller holds mu.
func (v *view) removeEngine(key string) {
	if e, found := v.engines[key]; found {
		v.log.Info("upstream removed because it has no valid store entry", "upstream", e.id)
		v.onCacheReset(e.id)
		v.absent.put(e, time.Now())
		v.reportLost(e, quarantine.EntryGone)
		delete(v.engines, key)
	}
}

// reportLost reports the end of an upstream that has not said that it leaves.
func (v *view) reportLost(e *engine, manner quarantine.Manner) {
	if upstream := e.upstream(); v.onLost != nil && upstream.State == fleet.Live {
		v.onLost(quarantine.Engine{ID: e.id, Incarnation: e.incarnation}, upstream.Pool, manner)
	}
}

// publishSnapshot builds a snapshot of the current state and puts it in force. The caller holds mu.
func (v *view) publishSnapshot() {
	if v.table == nil {
		return
	}
	next := &snapshot{
		table: v.table, engines: map[fleet.PoolID][]*engine{}, dataCentresOut: map[fleet.DataCentre]bool{},
	}
	for _, e := range v.engines {
		pool := e.upstream().Pool
		next.engines[pool] = append(next.engines[pool], e)
	}
	for _, dataCentre := range v.dataCentresOut {
		next.dataCentresOut[dataCentre] = true
	}
	v.current.Store(next)
	select {
	case <-v.ready:
	default:
		close(v.ready)
	}
}
