package replica

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// entryVersion returns the field version of a value, or 0.
func entryVersion(value []byte) int {
	var versioned struct{ Version int }
	if json.Unmarshal(value, &versioned) != nil {
		return 0
	}
	return versioned.Version
}

// isOutdated orders values by their field version. One without the field tells nothing.
func isOutdated(_ string, known, found []byte) bool {
	return entryVersion(found) < entryVersion(known)
}

func versioned(version int) []byte { return fmt.Appendf(nil, `{"version": %d}`, version) }

// value returns the value of a key that a router's subscribers have; nil means none.
func (r *testRouter) value(key string) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.values[key]
}

// checkValues checks that all routers have a value of a key.
func (f testFleet) checkValues(t *testing.T, key string, want []byte) {
	t.Helper()
	for _, r := range f.routers {
		must.Eq(t, string(want), string(r.value(key)), must.Sprintf("%s on %s", key, r.id))
	}
}

// restoreTo runs a test on a fleet whose store is restored to its state before change.
func restoreTo(t *testing.T, before, change func(*fakeStore), test func(t *testing.T, f testFleet)) {
	t.Helper()
	for _, size := range []int{2, 20} {
		runFleetWithState(t, size, versioned(1), func(t *testing.T, f testFleet) {
			f.stopUpstreams()
			before(f.store)
			time.Sleep(leaveLimit)
			number := f.store.at().Number
			change(f.store)
			time.Sleep(leaveLimit)
			f.store.restore(number)
			test(t, f)
		})
	}
}

const engineKey = upstreamKey + "engine"

func TestDesiredStateInForceOutlivesARestore(t *testing.T) {
	restoreTo(t, func(s *fakeStore) { s.put(desiredKey, versioned(2)) }, func(s *fakeStore) {
		for version := 3; version < 8; version++ {
			s.put(desiredKey, versioned(version))
		}
	}, func(t *testing.T, f testFleet) {
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			f.checkValues(t, desiredKey, versioned(7))
		}
		// A router that starts now reads the older version, and gets the newer one from the others.
		started := f.start()
		time.Sleep(leaveLimit)
		must.Eq(t, string(versioned(7)), string(started.value(desiredKey)))
		f.store.put(desiredKey, versioned(7))
		time.Sleep(leaveLimit)
		f.store.put(desiredKey, versioned(8))
		time.Sleep(applyLimit)
		f.checkValues(t, desiredKey, versioned(8))
		must.Eq(t, string(versioned(8)), string(started.value(desiredKey)))
	})
}

// The operator writes its versions again, one after the other.
func TestReplayedVersionsDoNotTakeTheDesiredStateBack(t *testing.T) {
	restoreTo(t, func(s *fakeStore) {}, func(s *fakeStore) {
		for version := 2; version < 6; version++ {
			s.put(desiredKey, versioned(version))
		}
	}, func(t *testing.T, f testFleet) {
		for version := 2; version < 6; version++ {
			f.store.put(desiredKey, versioned(version))
			time.Sleep(700 * time.Millisecond)
			f.checkValues(t, desiredKey, versioned(5))
		}
		f.store.put(desiredKey, versioned(6))
		time.Sleep(applyLimit)
		f.checkValues(t, desiredKey, versioned(6))
	})
}

func TestLeaveMarkOutlivesARestore(t *testing.T) {
	restoreTo(t, func(s *fakeStore) { s.put(engineKey, []byte(`{"version": 1, "state": "ready"}`)) }, func(s *fakeStore) {
		s.put(engineKey, []byte(`{"version": 2, "state": "draining"}`))
	}, func(t *testing.T, f testFleet) {
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			f.checkValues(t, engineKey, []byte(`{"version": 2, "state": "draining"}`))
		}
		started := f.start()
		time.Sleep(leaveLimit)
		must.Eq(t, `{"version": 2, "state": "draining"}`, string(started.value(engineKey)))
		f.store.put(engineKey, []byte(`{"version": 3, "state": "draining"}`))
		time.Sleep(leaveLimit)
		f.checkValues(t, engineKey, []byte(`{"version": 3, "state": "draining"}`))
		f.store.remove(engineKey)
		time.Sleep(restoreSettlePeriod + leaveLimit)
		f.checkValues(t, engineKey, nil)
	})
}

func TestEntryThatLeftIsNotTakenFromTheCopy(t *testing.T) {
	restoreTo(t, func(s *fakeStore) { s.put(engineKey, []byte(`{"version": 1}`)) }, func(s *fakeStore) {
		s.remove(engineKey)
	}, func(t *testing.T, f testFleet) {
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			f.checkValues(t, engineKey, nil)
		}
		started := f.start()
		time.Sleep(leaveLimit)
		must.Nil(t, started.value(engineKey))
		for _, r := range f.routers {
			must.Eq(t, RestoreCounts{Era: 1, Kept: 1}, r.replica.Restores())
		}
		// The upstream has started again.
		f.store.put(engineKey, []byte(`{"version": 2}`))
		time.Sleep(leaveLimit)
		f.checkValues(t, engineKey, []byte(`{"version": 2}`))
	})
}

func TestLostEntryStaysUntilItIsWrittenAgain(t *testing.T) {
	for _, isWrittenAgain := range []bool{true, false} {
		restoreTo(t, func(s *fakeStore) {}, func(s *fakeStore) { s.put(engineKey, versioned(1)) }, func(t *testing.T, f testFleet) {
			for range 18 {
				time.Sleep(100 * time.Millisecond)
				f.checkValues(t, engineKey, versioned(1))
			}
			for _, r := range f.routers {
				must.Eq(t, RestoreCounts{Era: 1, Lost: 1}, r.replica.Restores())
			}
			if !isWrittenAgain {
				time.Sleep(restoreSettlePeriod + leaveLimit)
				f.checkValues(t, engineKey, nil)
				return
			}
			f.store.put(engineKey, versioned(1))
			for range 60 {
				time.Sleep(100 * time.Millisecond)
				f.checkValues(t, engineKey, versioned(1))
			}
		})
	}
}

// Revisions that were lost are given out again, to other keys too.
func TestChangesAfterARestoreAreAppliedAtOnce(t *testing.T) {
	restoreTo(t, func(s *fakeStore) {}, func(s *fakeStore) {
		for i := range 200 {
			s.put(fmt.Sprintf("%s%d", upstreamKey, i%3), versioned(i))
		}
	}, func(t *testing.T, f testFleet) {
		f.store.put(engineKey, versioned(1))
		took, late := f.applyTime(engineKey, f.store.at(), leaveLimit)
		must.LessEq(t, leaveLimit, took, must.Sprintf("last: %s", late))
		for i := range 3 {
			f.store.put(fmt.Sprintf("%s%d", upstreamKey, i), versioned(1000))
		}
		time.Sleep(leaveLimit)
		for i := range 3 {
			f.checkValues(t, fmt.Sprintf("%s%d", upstreamKey, i), versioned(1000))
		}
	})
}

// A router that does not watch the store sees the new era in another answer of it.
func TestARisingEraReachesAllRouters(t *testing.T) {
	runFleetWithState(t, 20, versioned(1), func(t *testing.T, f testFleet) {
		f.stopUpstreams()
		time.Sleep(leaveLimit)
		f.store.restoreQuietly(f.store.at().Number)
		last := f.routers[len(f.routers)-1]
		_, err := storeOf{store: f.store, host: last.host}.List(t.Context(), "nothing/", func(port.Entry) {})
		must.NoError(t, err)
		time.Sleep(2 * pullInterval)
		must.Eq(t, 1, max(f.routers[0].era.Load(), f.routers[1].era.Load()))
		time.Sleep(leaveLimit - 2*pullInterval)
		for _, r := range f.routers {
			must.Eq(t, 1, r.era.Load(), must.Sprint(r.id))
		}
	})
}

// Three restores in a row, of which each loses more than the last one.
func TestRestoresInARow(t *testing.T) {
	restoreTo(t, func(s *fakeStore) { s.put(desiredKey, versioned(2)) }, func(s *fakeStore) {
		s.put(desiredKey, versioned(9))
		s.put(engineKey, versioned(5))
	}, func(t *testing.T, f testFleet) {
		for i := range 2 {
			time.Sleep(500 * time.Millisecond)
			f.store.restore(f.store.at().Number - int64(i))
		}
		time.Sleep(time.Second)
		f.checkValues(t, desiredKey, versioned(9))
		f.store.put(desiredKey, versioned(10))
		f.store.put(engineKey, versioned(6))
		time.Sleep(applyLimit)
		f.checkValues(t, desiredKey, versioned(10))
		f.checkValues(t, engineKey, versioned(6))
	})
}

// Routers that can't reach the store learn of its restore from the others.
func TestRestoreIsLearntWithoutTheStore(t *testing.T) {
	restoreTo(t, func(s *fakeStore) { s.put(engineKey, versioned(1)) }, func(s *fakeStore) {
		s.put(engineKey, versioned(2))
	}, func(t *testing.T, f testFleet) {
		f.routers[0].isolated.Store(true)
		f.store.put(upstreamKey+"new", versioned(1))
		time.Sleep(staleTimeout + leaveLimit)
		f.checkValues(t, engineKey, versioned(2))
		f.checkValues(t, upstreamKey+"new", versioned(1))
	})
}

// What is written after a restore may have the number and the value of a write that the restore has lost.
func TestNewWriteAtALostNumberIsApplied(t *testing.T) {
	const orderKey = upstreamKey + "order"
	restoreTo(t, func(s *fakeStore) {}, func(s *fakeStore) {
		for i := range 3 {
			s.put(upstreamKey+"other", versioned(i))
		}
		s.put(orderKey, []byte("{}"))
		s.remove(orderKey)
	}, func(t *testing.T, f testFleet) {
		time.Sleep(leaveLimit)
		for i := range 3 {
			f.store.put(upstreamKey+"other", versioned(10+i))
		}
		f.store.put(orderKey, []byte("{}"))
		time.Sleep(leaveLimit)
		f.checkValues(t, orderKey, []byte("{}"))
	})
}

var _ port.Eras = storeOf{}

// at returns the store's revision.
func (s *fakeStore) at() revision.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// A router that was applying the list of a restored store used to tell it to others as the complete state of
// the earlier era, so that they dropped the entries that the store had lost at once.
func TestStateOfARestoredStoreIsNotToldBeforeItIsApplied(t *testing.T) {
	runFleetWithState(t, 2, versioned(1), func(t *testing.T, f testFleet) {
		f.stopUpstreams()
		number := f.store.at().Number
		f.store.put(engineKey, versioned(1))
		time.Sleep(leaveLimit)
		taking := f.routers[0].replica
		before := f.store.at()
		request, err := msgpack.Marshal(pullRequest{After: map[string]revision.Revision{upstreamKey: before}})
		must.NoError(t, err)
		var answers atomic.Int32
		f.routers[0].onChanges(func() {
			answer, err := taking.handlePull(t.Context(), "router-01", func(into any) error { return msgpack.Unmarshal(request, into) })
			must.NoError(t, err)
			answers.Add(1)
			for _, tree := range answer.(pullResponse).Trees {
				must.True(t, tree.AsOf.IsZero() || tree.AsOf.IsOfLaterEra(before), must.Sprintf("told a state of %s", tree.AsOf))
			}
		})
		f.routers[1].isolated.Store(true)
		f.store.restore(number)
		f.store.put(upstreamKey+"other", versioned(1))
		time.Sleep(leaveLimit)
		must.Positive(t, answers.Load())
		must.Eq(t, string(versioned(1)), string(f.routers[1].value(engineKey)))
	})
}

// An entry that the store lost used to be dropped while it was to be written again after a second restore.
func TestEntryOutlivesRestoresInQuickSuccession(t *testing.T) {
	restoreTo(t, func(s *fakeStore) {}, func(s *fakeStore) { s.put(engineKey, versioned(1)) }, func(t *testing.T, f testFleet) {
		number := f.store.at().Number
		for range 3 {
			for range 20 {
				time.Sleep(100 * time.Millisecond)
				f.checkValues(t, engineKey, versioned(1))
			}
			f.store.restore(number)
		}
		time.Sleep(restoreSettlePeriod + leaveLimit)
		f.checkValues(t, engineKey, nil)
	})
}

// An entry that lapsed in an outage is kept through a second one that begins before it could be written
// again.
func TestEntryOutlivesOutagesInQuickSuccession(t *testing.T) {
	runFleetWithState(t, 2, versioned(1), func(t *testing.T, f testFleet) {
		f.stopUpstreams()
		f.store.put(engineKey, versioned(1))
		time.Sleep(leaveLimit)
		for range 2 {
			for _, r := range f.routers {
				r.isolated.Store(true)
			}
			f.store.remove(engineKey)
			for range 40 {
				time.Sleep(100 * time.Millisecond)
				f.checkValues(t, engineKey, versioned(1))
			}
			for _, r := range f.routers {
				r.isolated.Store(false)
			}
			time.Sleep(settlePeriod - time.Second)
			f.checkValues(t, engineKey, versioned(1))
		}
		f.store.put(engineKey, versioned(2))
		time.Sleep(leaveLimit)
		f.checkValues(t, engineKey, versioned(2))
		f.store.remove(engineKey)
		time.Sleep(settlePeriod + leaveLimit)
		f.checkValues(t, engineKey, nil)
	})
}

// A read by which a router first met a restored store used to fail. A router without the store that asked that one to
// confirm the desired state then refused a request with an unknown key with 503 instead of 401.
func TestFirstConfirmationAfterARestoreSucceeds(t *testing.T) {
	runFleetWithState(t, 2, versioned(1), func(t *testing.T, f testFleet) {
		f.stopUpstreams()
		number := f.store.at().Number
		for f.routers[0].replica.DesiredAge() <= maxConfirmedAge || f.routers[1].replica.DesiredAge() <= maxConfirmedAge {
			time.Sleep(10 * time.Millisecond)
		}
		f.routers[0].isolated.Store(true)
		f.store.restoreQuietly(number)
		must.NoError(t, f.routers[0].replica.Confirm(t.Context()))
	})
}
