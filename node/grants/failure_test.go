package grants

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// takeoverLimit is the maximum time from the loss of an owner to the next grant.
const takeoverLimit = 2 * time.Second

// inFleet runs a test on a fleet in virtual time. The test starts each router with run; a router
// that it does not start behaves like a paused process.
func inFleet(t *testing.T, routers int, upstreams []fleet.Upstream, engines *fakeEngines, test func(t *testing.T, n *network, run func(*testRouter))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		n := newNetwork(t, routers, upstreams, engines)
		run := func(r *testRouter) { running.Go(func() { r.service.Run(ctx) }) }
		test(t, n, run)
		stop()
		running.Wait()
		synctest.Wait()
	})
}

func runAll(n *network, run func(*testRouter)) {
	for _, node := range n.nodes {
		run(node)
	}
}

func newEngines() *fakeEngines { return &fakeEngines{running: map[fleet.UpstreamID]int{}} }

// acquire acquires a grant and counts it on its engine.
func acquire(t *testing.T, r *testRouter, engines *fakeEngines, chat fleet.ChatID) fleet.Grant {
	t.Helper()
	grant, refusal := r.service.Acquire(t.Context(), testRequest(chat))
	must.Nil(t, refusal)
	engines.add(grant.Upstream.ID, 1)
	return grant
}

// A killed or unresponsive owner is replaced within takeoverLimit. The new owner adopts the grants
// of the previous one and receives their completions.
func TestLostOwnerIsReplaced(t *testing.T) {
	losses := map[string]func(n *network, owner fleet.HostID){
		"killed": func(n *network, owner fleet.HostID) { n.set(func() { n.dead[owner] = true }) },
		"silent": func(n *network, owner fleet.HostID) { n.set(func() { n.unresponsive[owner] = true }) },
	}
	for name, lose := range losses {
		for _, withReports := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, reports %t", name, withReports), func(t *testing.T) {
				engines := newEngines()
				engines.reportsDisabled = !withReports
				inFleet(t, 3, testUpstreams(1), engines, func(t *testing.T, n *network, run func(*testRouter)) {
					runAll(n, run)
					owner, entry := n.ownerOf("chat-1")
					held := acquire(t, entry, engines, "chat-1")
					must.Eq(t, owner.self.ID, held.Owner)
					lose(n, owner.self.ID)
					lost := time.Now()
					next := acquire(t, entry, engines, "chat-2")
					t.Logf("next grant %s after the loss", time.Since(lost))
					must.Less(t, takeoverLimit, time.Since(lost))
					must.NotEq(t, owner.self.ID, next.Owner)

					time.Sleep(2 * time.Second)
					synctest.Wait()
					successor := n.nodes[next.Owner]
					must.Eq(t, 2, runningAt(successor))
					for _, grant := range []fleet.Grant{held, next} {
						engines.add(grant.Upstream.ID, -1)
						entry.service.Release(grant, fleet.Completion{Grant: grant.ID, Outcome: fleet.OutcomeComplete})
					}
					time.Sleep(2 * time.Second)
					synctest.Wait()
					must.Eq(t, 0, runningAt(successor))
				})
			})
		}
	}
}

// runningAt returns how many requests a router's shards count, including foreign load.
func runningAt(r *testRouter) int {
	sum := 0
	r.service.shards.each(func(shard *ownedShard) {
		for _, upstream := range shard.owner.Stats(time.Now()).Upstreams {
			sum += upstream.Running
		}
	})
	return sum
}

// grantLog records which owner granted on which engine, and when.
type grantLog struct {
	mu      sync.Mutex
	at      map[fleet.UpstreamID]map[fleet.HostID][]time.Time
	engines *fakeEngines
}

// record counts a grant. It returns the number of requests on the engine, and the number of grants
// on it that other owners issued within the given time.
func (l *grantLog) record(grant fleet.Grant, within time.Duration) (running, unseen int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	upstream := grant.Upstream.ID
	if l.at[upstream] == nil {
		l.at[upstream] = map[fleet.HostID][]time.Time{}
	}
	l.at[upstream][grant.Owner] = append(l.at[upstream][grant.Owner], time.Now())
	for owner, times := range l.at[upstream] {
		for _, at := range times {
			if owner != grant.Owner && time.Since(at) <= within {
				unseen++
			}
		}
	}
	return l.engines.add(upstream, 1), unseen
}

// While two routers grant for one shard because of a partition, no engine gets more requests than
// its limit plus those that the other owner granted since the last report.
func TestTwoOwnersStayNearTheLimit(t *testing.T) {
	const limit, seconds, perTick = 8, 20, 2
	// In milliseconds, both times are coprime to reportInterval, so that no grant coincides with a
	// report during the test.
	const tick, service = 53 * time.Millisecond, 3017 * time.Millisecond
	engines := newEngines()
	inFleet(t, 2, testUpstreams(2), engines, func(t *testing.T, n *network, run func(*testRouter)) {
		runAll(n, run)
		n.set(func() {
			n.partitioned[[2]fleet.HostID{"router-0", "router-1"}] = true
			n.partitioned[[2]fleet.HostID{"router-1", "router-0"}] = true
		})
		log := &grantLog{at: map[fleet.UpstreamID]map[fleet.HostID][]time.Time{}, engines: engines}
		var callers sync.WaitGroup
		chat, grants := 0, 0
		for range seconds * int(time.Second/tick) {
			for _, r := range n.nodes {
				for range perTick {
					chat++
					request := testRequest(chatID(chat))
					callers.Go(func() {
						grant, refusal := r.service.Acquire(t.Context(), request)
						if refusal != nil {
							return
						}
						running, unseen := log.record(grant, reportInterval)
						if running > limit+unseen {
							t.Errorf("%s runs %d requests; its limit is %d and other owners granted %d since the last report", grant.Upstream.ID, running, limit, unseen)
						}
						time.Sleep(service)
						engines.add(grant.Upstream.ID, -1)
						r.service.Release(grant, fleet.Completion{Grant: grant.ID, Outcome: fleet.OutcomeComplete, FirstToken: tick})
					})
				}
			}
			time.Sleep(tick)
		}
		callers.Wait()
		for _, byOwner := range log.at {
			for _, times := range byOwner {
				grants += len(times)
			}
		}
		must.Greater(t, 2*limit*seconds/int(service/time.Second)/2, grants)
	})
}

// An owner that was paused while another owner granted does not grant from its outdated state
// after it resumes.
func TestPausedOwnerDiscardsState(t *testing.T) {
	const cold = 2
	engines := newEngines()
	inFleet(t, 3, testUpstreams(1), engines, func(t *testing.T, n *network, run func(*testRouter)) {
		paused, entry := n.ownerOf("chat-1")
		for _, node := range n.nodes {
			if node != paused {
				run(node)
			}
		}
		held := acquire(t, entry, engines, "chat-1")
		n.set(func() { n.unresponsive[paused.self.ID] = true })
		for i := range 5 {
			acquire(t, entry, engines, chatID(10+i))
		}
		time.Sleep(5 * time.Second)
		n.set(func() { n.unresponsive[paused.self.ID] = false })
		granted := 0
		for i := range 10 {
			reply, err := entry.service.requestGrant(t.Context(), acquisitionAt(entry, paused, chatID(100+i)))
			must.NoError(t, err)
			if reply.Grant != "" {
				granted++
				must.NotEq(t, epochOf(shortGrantID(held.ID, held.Owner)), epochOf(reply.Grant))
			}
		}
		must.Eq(t, cold, granted)
	})
}

// acquisitionAt returns a request of the entry router that is directed to the given router,
// whether or not it is the owner.
func acquisitionAt(entry, router *testRouter, chat fleet.ChatID) acquisition {
	acq := acquisition{request: testRequest(chat), nonce: entry.service.nonce.Add(1)}
	entry.service.route(&acq)
	acq.owner = router.self.ID
	return acq
}

// A waiting request is removed from the queue when its caller disconnects. Another waiting request
// gets a grant when a running request ends.
func TestWaitingCallers(t *testing.T) {
	const limit = 8
	engines := newEngines()
	inFleet(t, 2, testUpstreams(1), engines, func(t *testing.T, n *network, run func(*testRouter)) {
		runAll(n, run)
		owner, entry := n.ownerOf("chat-1")
		first := acquire(t, entry, engines, "chat-1")
		time.Sleep(1500 * time.Millisecond)
		grants := []fleet.Grant{first}
		for i := range limit - 1 {
			grants = append(grants, acquire(t, entry, engines, chatID(10+i)))
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancelled := make(chan *fleet.Refusal, 1)
		go func() {
			_, refusal := entry.service.Acquire(ctx, testRequest("gone"))
			cancelled <- refusal
		}()
		granted := make(chan fleet.Grant, 1)
		go func() {
			grant, _ := entry.service.Acquire(t.Context(), testRequest("stays"))
			granted <- grant
		}()
		time.Sleep(300 * time.Millisecond)
		must.Eq(t, 2, waitingAt(owner))
		cancel()
		must.Eq(t, fleet.CodeDeadline, (<-cancelled).Code)
		time.Sleep(flushInterval)
		synctest.Wait()
		must.Eq(t, 1, waitingAt(owner))
		entry.service.Release(grants[0], fleet.Completion{Grant: grants[0].ID, Outcome: fleet.OutcomeComplete})
		must.Eq(t, owner.self.ID, (<-granted).Owner)
	})
}

// waitingAt returns how many requests wait in a router's shards.
func waitingAt(r *testRouter) int {
	sum := 0
	r.service.shards.each(func(shard *ownedShard) { sum += shard.owner.Stats(time.Now()).Waiting })
	return sum
}
