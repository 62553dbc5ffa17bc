package claim

import (
	"fmt"
	"testing"

	"agateswitch/core/fleet"
)

// BenchmarkGroup measures the shard owner's cost per call: committing its claim and its answer.
func BenchmarkGroup(b *testing.B) {
	for _, group := range []int{1, 10, 50} {
		b.Run(fmt.Sprint("group of ", group), func(b *testing.B) {
			b.ReportAllocs()
			store := fakeStore{entries: map[string]Entry{}}
			shard := NewShard(start, 1e12)
			for i := 0; i < b.N; i += group {
				var claims []fleet.Claim
				for n := range group {
					claim := fleet.Claim{Team: "t", Key: keyAt(start, i+n), Holder: fleet.RequestID(fmt.Sprint(i + n))}
					shard.Begin(start, claim)
					claims = append(claims, claim)
				}
				b.StopTimer()
				clear(store.entries)
				b.StartTimer()
				transaction, _ := shard.Next(start)
				for n, reply := range shard.HandleOutcome(start, store.commit(transaction)) {
					claims[n].Revision = reply.Result.Revision
					shard.Finish(start, claims[n], fleet.ClaimAnswer{Status: 201, Body: make([]byte, 300)})
				}
				transaction, _ = shard.Next(start)
				shard.HandleOutcome(start, store.commit(transaction))
				shard.tokens = commitBurst
			}
		})
	}
}
