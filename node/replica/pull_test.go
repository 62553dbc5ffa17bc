package replica

import (
	"testing"
	"time"

	"agateswitch/core/revision"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// A router used to miss a removal when it pulled from one that had started since: that one has read a
// list without the entry and without its removal.
func TestRemovalIsNotMissedByAPullFromARouterThatHasJustStarted(t *testing.T) {
	runFleetWithState(t, 2, versioned(1), func(t *testing.T, f testFleet) {
		f.stopUpstreams()
		known := f.store.put(engineKey, versioned(1))
		time.Sleep(leaveLimit)
		for _, r := range f.routers {
			r.isolated.Store(true)
		}
		f.store.remove(engineKey)
		started := f.start()
		time.Sleep(leaveLimit)
		request, err := msgpack.Marshal(pullRequest{After: map[string]revision.Revision{upstreamKey: known}})
		must.NoError(t, err)
		answer, err := started.replica.handlePull(t.Context(), "router-00", func(into any) error { return msgpack.Unmarshal(request, into) })
		must.NoError(t, err)
		tree := answer.(pullResponse).Trees[0]
		must.True(t, tree.AsOf.After(known))
		must.True(t, tree.Complete)
		time.Sleep(staleTimeout + settlePeriod + leaveLimit)
		f.checkValues(t, engineKey, nil)
	})
}
