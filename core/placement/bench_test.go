package placement

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"

	"github.com/shoenig/test/must"
)

// warmShard returns an owner whose upstreams are warm and each run a number of requests.
func warmShard(size, running int) *Owner {
	settings := testSettings()
	settings.MaxConcurrency = 100_000
	o := NewOwner("router-1", 1, settings)
	o.SetUpstreams(start, upstreams(size))
	for _, e := range o.engines {
		o.Report(start, e.ID, fleet.LoadReport{Incarnation: "1", Completed: 1_000_000, CacheEntries: 9})
	}
	for i := range size * running {
		o.Acquire(start, request(uint64(i), 400, start.Add(second)))
	}
	return o
}

// BenchmarkDecision measures one grant with its completion, in a shard of 8 upstreams that run 130
// requests each, which is the target load.
func BenchmarkDecision(b *testing.B) {
	o := warmShard(8, 130)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		r := Request{Ticket: admission.Ticket{Nonce: uint64(1_000_000 + i)}, Chat: uint64(i) * 0x9e3779b97f4a7c15, Decode: 400}
		decision := o.Acquire(start, r)
		o.Complete(start, fleet.Completion{Grant: decision.Grant.ID, Outcome: fleet.OutcomeComplete})
	}
}

// BenchmarkHome measures the entry router's part of a decision, by the size of the pool.
func BenchmarkHome(b *testing.B) {
	for _, count := range []int{10, 100, 600} {
		list := upstreams(count)
		b.Run(fmt.Sprint(count, "-upstreams"), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				Home(uint64(i)*0x9e3779b97f4a7c15, list)
			}
		})
	}
}

// BenchmarkRoutes measures the computation of shards and owners, by the size of the fleet.
func BenchmarkRoutes(b *testing.B) {
	for _, size := range []struct{ upstreams, routers int }{{10, 8}, {100, 100}, {600, 380}} {
		list, routers := upstreams(size.upstreams), names("router-", size.routers)
		shards := names("shard-", ShardCount(size.upstreams))
		b.Run(fmt.Sprint(size.upstreams, "-upstreams-", size.routers, "-routers"), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				NewShardMap(list)
				Owners(shards, routers)
			}
		})
	}
}

// The target in CONTRIBUTING.md: 2.7 million chats in 75 shards, and 64 MB for each node.
const (
	targetChats    = 2_700_000
	targetShards   = 75
	maxMemoryBytes = 64 << 20
)

// An owner that records all chats of its shard, and runs 130 requests on each upstream, stays
// under the memory limit of a node.
func TestOwnerFitsMemory(t *testing.T) {
	const chatsOfShard = targetChats / targetShards
	for _, chats := range []int{chatsOfShard / 4, chatsOfShard, 3 * chatsOfShard} {
		before := heapInUse()
		o := warmShard(8, 130)
		for i := range chats {
			o.memory.record(rendezvous.Hash(fmt.Sprint("chat-", i)), o.engines[i%8], 3000)
		}
		used := heapInUse() - before
		t.Logf("%d bytes for an owner that has seen %d chats and remembers %d", used, chats, o.memory.len())
		must.Less(t, maxMemoryBytes, used)
		must.LessEq(t, maxRememberedChats, o.memory.len())
		runtime.KeepAlive(o)
	}
}

func heapInUse() int {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int(stats.HeapAlloc)
}

// A decision must stay well below its share of CPU at the target: an owner may use 2.1% of a core
// for 35 decisions a second, which is 600 microseconds each. The test limits allocations instead
// of time, which depends on the machine.
func TestDecisionAllocatesLittle(t *testing.T) {
	const limit = 8
	o := warmShard(8, 130)
	nonce := uint64(1_000_000)
	now := start.Add(10 * time.Millisecond)
	allocations := testing.AllocsPerRun(1000, func() {
		nonce++
		decision := o.Acquire(now, Request{Ticket: admission.Ticket{Nonce: nonce}, Chat: nonce * 0x9e3779b97f4a7c15, Decode: 400})
		o.Complete(now, fleet.Completion{Grant: decision.Grant.ID, Outcome: fleet.OutcomeComplete})
	})
	must.LessEq(t, limit, allocations)
}
