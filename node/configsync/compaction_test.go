package configsync

import (
	"fmt"
	"testing"
	"testing/synctest"

	"agateswitch/core/configuration"

	"github.com/shoenig/test/must"
)

// Tombstones of deleted items are compacted, so the store doesn't grow without limit. A router that
// was disconnected during the compaction does not keep the deleted items.
func TestTombstonesAreCompacted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const deleted = maxTombstones + 2*compactionBatch
		store := newFakeStore()
		store.fill(deleted + 1)
		node, disconnected := soloNode(store), soloNode(store)
		_, err := disconnected.readAll(t.Context())
		must.NoError(t, err)
		for i := range deleted {
			key := configuration.Key{Kind: configuration.KindContract, Name: fmt.Sprintf("team-%04d", i)}
			must.Nil(t, node.Accept(t.Context(), Change{Key: key, Expected: AnyRevision}).Refusal)
		}
		must.LessEq(t, maxTombstones+1, len(node.Current().Tombstones()))
		// Besides the tombstones, the head, the pool and one contract remain.
		must.Eq(t, len(node.Current().Tombstones())+3, len(store.keys))

		must.SliceLen(t, deleted+1, disconnected.Current().Items(configuration.KindContract))
		delta := node.Current().Since(disconnected.Current().Revision())
		must.True(t, delta.Full)
		disconnected.apply(delta, "test")
		must.SliceLen(t, 1, disconnected.Current().Items(configuration.KindContract))

		started := soloNode(store)
		_, err = started.readAll(t.Context())
		must.NoError(t, err)
		must.Eq(t, node.Current().Floor(), started.Current().Floor())
		must.Eq(t, node.Current().Since(0), started.Current().Since(0))
	})
}
