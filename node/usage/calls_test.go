package usage

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	coreduty "agateswitch/core/duty"
	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
	"agateswitch/node/duty"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// countingStore counts the calls to a store.
type countingStore struct {
	port.Store
	reads, writes *atomic.Int64
}

func (s countingStore) Get(ctx context.Context, key string) (port.Entry, error) {
	s.reads.Add(1)
	return s.Store.Get(ctx, key)
}

func (s countingStore) Commit(ctx context.Context, t port.Transaction) (port.CommitResult, error) {
	s.writes.Add(1)
	return s.Store.Commit(ctx, t)
}

func (s countingStore) GrantLease(ctx context.Context, ttl time.Duration) (port.LeaseID, error) {
	s.writes.Add(1)
	return s.Store.GrantLease(ctx, ttl)
}

// ranked is an end whose place in line differs by key. orders holds the order of the routers of each key.
type ranked struct {
	end
	orders map[string][]fleet.HostID
}

func orderOf(key string, routers int) []fleet.HostID {
	var names []string
	for i := range routers {
		names = append(names, string(name(i)))
	}
	var order []fleet.HostID
	for _, id := range rendezvous.Order(key, names) {
		order = append(order, fleet.HostID(id))
	}
	return order
}

func (r ranked) Rank(key string) int { return slices.Index(r.orders[key], r.id) }

func (r ranked) First(key string, count int) []fleet.HostID {
	return r.orders[key][:min(count, len(r.orders[key]))]
}

func (r ranked) Leaving() bool { return false }

// ordering is a duty that stands for the number of engines, which needs no calls to the store but those for its lease.
type ordering struct{}

func (ordering) Name() string       { return "engines" }
func (ordering) Subjects() []string { return []string{"all"} }
func (ordering) Work(context.Context, string, duty.Grant) time.Duration {
	return 500 * time.Millisecond
}

// The calls to the store of all duties of 295 routers stay within 2 in 100 of 1,200 writes and 6,000 reads a second, from the start on.
func TestStoreCallsOfAllDutiesAtFullSize(t *testing.T) {
	const (
		length              = 20
		writesPerSecond     = 1200 * 2 / 100
		readsPerSecond      = 6000 * 2 / 100
		leaseLength, thawed = 3 * time.Second, 300 * time.Millisecond
	)
	var reads, writes atomic.Int64
	play(t, 295, func(n *network, services []*Service, kept *eraStore) {
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer func() {
			cancel()
			running.Wait()
		}()
		const enginesLine = "engines/all"
		orders := map[string][]fleet.HostID{line: orderOf(line, len(services)), enginesLine: orderOf(enginesLine, len(services))}
		kept.first = countingStore{kept.first, &reads, &writes}
		for _, s := range services {
			r := ranked{end{n, s.self.Host}, orders}
			d := duty.New(r.id, kept, r, r, r, duty.Options{Lease: coreduty.Lease{Length: leaseLength, Thaw: thawed}}, log.New(io.Discard))
			d.Register(s)
			d.Register(ordering{})
			running.Go(func() { d.Run(ctx) })
		}
		for range length {
			for _, s := range services {
				s.Begin("team")
			}
			time.Sleep(time.Second)
		}
	})
	t.Logf("%.2f writes and %.2f reads a second", float64(writes.Load())/length, float64(reads.Load())/length)
	must.Positive(t, writes.Load())
	must.LessEq(t, length*writesPerSecond, writes.Load())
	must.LessEq(t, length*readsPerSecond, reads.Load())
}
