package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/routing"
	"agateswitch/node/replica"
	"agateswitch/port"

	"github.com/charmbracelet/log"
)

// snapshot is what is in force at one moment. It is immutable, but for the engines in it.
type snapshot struct {
	table *routing.Table
	// engines holds the upstreams of each pool.
	engines map[fleet.PoolID][]*engine
	out     map[fleet.DataCentre]bool
}

// view follows the replica and publishes snapshots.
type view struct {
	codec port.EntryCodec
	// lost is called for an upstream that has restarted or is gone.
	lost    func(fleet.UpstreamID)
	log     *log.Logger
	current atomic.Pointer[snapshot]
	ready   chan struct{}

	// mu guards what the next snapshot is made of.
	mu      sync.Mutex
	table   *routing.Table
	engines map[string]*engine
	outs    map[string]fleet.DataCentre
}

func newView(codec port.EntryCodec, lost func(fleet.UpstreamID), logger *log.Logger) *view {
	return &view{
		codec: codec, lost: lost, log: logger, ready: make(chan struct{}), engines: map[string]*engine{},
		outs: map[string]fleet.DataCentre{},
	}
}

// observe takes a batch of changes.
func (v *view) observe(changes []replica.Change) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for _, change := range changes {
		if change.Deleted {
			v.remove(change, now)
		} else {
			v.put(change.Entry, now)
		}
	}
	v.publish()
}

func (v *view) put(entry port.Entry, now time.Time) {
	fact := v.codec.Decode(entry.Key, entry.Value)
	switch {
	case fact.Problem != nil:
		v.log.Warn("entry of the store not used", "key", entry.Key, "revision", entry.Revision, "err", fact.Problem)
		// An upstream whose entry can't be read is not known to be one to use.
		v.forget(entry.Key)
	case fact.Desired != nil:
		v.takeDesired(fact.Desired, entry.Revision)
	case fact.Engine != nil:
		v.takeEngine(entry.Key, *fact.Engine, now)
	case fact.DataCentreOut != "":
		v.log.Info("data centre taken out", "datacentre", fact.DataCentreOut, "revision", entry.Revision)
		v.outs[entry.Key] = fact.DataCentreOut
	}
}

func (v *view) takeDesired(state *routing.State, revision int64) {
	if v.table != nil && state.Version < v.table.State.Version {
		v.log.Warn("older desired state not used", "version", state.Version, "in_force", v.table.State.Version)
		return
	}
	v.table = routing.Compile(*state)
	v.log.Info("desired state in force", "version", state.Version, "revision", revision,
		"routes", len(state.Routes), "teams", len(state.Teams))
}

func (v *view) takeEngine(key string, entry port.EngineEntry, now time.Time) {
	known, found := v.engines[key]
	if !found || known.born != entry.Incarnation || known.upstream().Address != entry.Upstream.Address {
		v.lost(entry.Upstream.ID)
		known = newEngine(entry)
		v.engines[key] = known
		v.log.Info("upstream appeared", "upstream", entry.Upstream.ID, "pool", entry.Upstream.Pool,
			"datacentre", entry.Upstream.DataCentre, "version", entry.Upstream.Version, "cold", entry.Cold)
	} else if was := known.upstream().State; was != entry.Upstream.State {
		v.log.Info("upstream changed state", "upstream", entry.Upstream.ID, "state", entry.Upstream.State)
	}
	known.update(entry, now)
}

func (v *view) remove(change replica.Change, now time.Time) {
	key := change.Entry.Key
	if out, found := v.outs[key]; found {
		delete(v.outs, key)
		v.returned(out, now)
		return
	}
	known, found := v.engines[key]
	if !found {
		return
	}
	if change.Settled.IsZero() {
		v.forget(key)
		return
	}
	// The entry lapsed while the store was away. A living upstream writes it again soon.
	known.mu.Lock()
	known.goneAt = change.Settled
	known.mu.Unlock()
	time.AfterFunc(time.Until(change.Settled), func() { v.forgetLapsed(key, known) })
}

// returned treats the upstreams of a data centre that comes back as cold: they may have become
// so while it was out, and their entries lag.
func (v *view) returned(out fleet.DataCentre, now time.Time) {
	v.log.Info("data centre taken back", "datacentre", out)
	for _, known := range v.engines {
		upstream := known.upstream()
		if upstream.DataCentre != out || v.table == nil {
			continue
		}
		if pool, found := v.table.Pool(upstream.Pool); found && pool.ColdRate > 0 {
			known.holdCold(now.Add(pool.ColdStart))
		}
	}
}

func (v *view) forget(key string) {
	if known, found := v.engines[key]; found {
		v.log.Info("upstream gone", "upstream", known.id)
		v.lost(known.id)
		delete(v.engines, key)
	}
}

func (v *view) forgetLapsed(key string, lapsed *engine) {
	v.mu.Lock()
	defer v.mu.Unlock()
	lapsed.mu.Lock()
	due := !lapsed.goneAt.IsZero()
	lapsed.mu.Unlock()
	if due && v.engines[key] == lapsed {
		v.forget(key)
		v.publish()
	}
}

// publish makes the snapshot of the present state. Callers hold mu.
func (v *view) publish() {
	if v.table == nil {
		return
	}
	next := &snapshot{
		table: v.table, engines: map[fleet.PoolID][]*engine{}, out: map[fleet.DataCentre]bool{},
	}
	for _, known := range v.engines {
		pool := known.upstream().Pool
		next.engines[pool] = append(next.engines[pool], known)
	}
	for _, out := range v.outs {
		next.out[out] = true
	}
	v.current.Store(next)
	select {
	case <-v.ready:
	default:
		close(v.ready)
	}
}
