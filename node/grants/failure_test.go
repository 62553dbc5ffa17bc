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

// takeoverLimit is the longest time from the loss of an owner to the next grant.
const takeoverLimit = 2 * time.Second

// inFleet runs a test on running routers in virtual time. Routers named idle do not run, as
// if their process were frozen.
func inFleet(t *testing.T, routers int, upstreams []fleet.Upstream, truth *engines, test func(t *testing.T, n *network, run func(*testRouter))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		n := newNetwork(t, routers, upstreams, truth)
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

func newEngines() *engines { return &engines{running: map[fleet.UpstreamID]int{}} }

// acquire takes a grant and counts it on its engine.
func acquire(t *testing.T, r *testRouter, truth *engines, chat fleet.ChatID) fleet.Grant {
	t.Helper()
	grant, refusal := r.service.Acquire(t.Context(), testRequest(chat))
	must.Nil(t, refusal)
	truth.add(grant.Upstream.ID, 1)
	return grant
}

// A killed owner, and one that has gone silent, is replaced within takeoverLimit. The new
// owner learns of the grants that the old one gave, and their end reaches it.
func TestLostOwnerIsReplaced(t *testing.T) {
	losses := map[string]func(n *network, owner fleet.HostID){
		"killed": func(n *network, owner fleet.HostID) { n.set(func() { n.dead[owner] = true }) },
		"silent": func(n *network, owner fleet.HostID) { n.set(func() { n.silent[owner] = true }) },
	}
	for name, lose := range losses {
		for _, withReports := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, reports %t", name, withReports), func(t *testing.T) {
				truth := newEngines()
				truth.mute = !withReports
				inFleet(t, 3, testUpstreams(1), truth, func(t *testing.T, n *network, run func(*testRouter)) {
					runAll(n, run)
					owner, entry := n.ownerOf("chat-1")
					held := acquire(t, entry, truth, "chat-1")
					must.Eq(t, owner.self.ID, held.Owner)
					lose(n, owner.self.ID)
					lost := time.Now()
					next := acquire(t, entry, truth, "chat-2")
					t.Logf("next grant %s after the loss", time.Since(lost))
					must.Less(t, takeoverLimit, time.Since(lost))
					must.NotEq(t, owner.self.ID, next.Owner)

					time.Sleep(2 * time.Second)
					synctest.Wait()
					successor := n.nodes[next.Owner]
					must.Eq(t, 2, runningAt(successor))
					for _, grant := range []fleet.Grant{held, next} {
						truth.add(grant.Upstream.ID, -1)
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

// runningAt returns how many requests a router's shards count, own grants and foreign load.
func runningAt(r *testRouter) int {
	sum := 0
	r.service.shards.each(func(shard *ownedShard) {
		for _, upstream := range shard.owner.Stats(time.Now()).Upstreams {
			sum += upstream.Running
		}
	})
	return sum
}

// recent remembers which router was granted what, and when.
type recent struct {
	mu    sync.Mutex
	at    map[fleet.UpstreamID]map[fleet.HostID][]time.Time
	truth *engines
}

// granted counts a grant, and returns how many requests the engine runs and how many of them
// other owners granted within a time.
func (r *recent) granted(grant fleet.Grant, within time.Duration) (running, unseen int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	on := grant.Upstream.ID
	if r.at[on] == nil {
		r.at[on] = map[fleet.HostID][]time.Time{}
	}
	r.at[on][grant.Owner] = append(r.at[on][grant.Owner], time.Now())
	for owner, times := range r.at[on] {
		for _, at := range times {
			if owner != grant.Owner && time.Since(at) <= within {
				unseen++
			}
		}
	}
	return r.truth.add(on, 1), unseen
}

// While a cut link makes two routers grant for one shard, no engine gets more than it bears
// plus what the other owner granted since the last report.
func TestTwoOwnersStayNearTheLimit(t *testing.T) {
	const limit, seconds, perTick = 8, 20, 2
	// The times share no multiple with the interval of the reports: no grant falls on a report.
	const tick, service = 53 * time.Millisecond, 3017 * time.Millisecond
	truth := newEngines()
	inFleet(t, 2, testUpstreams(2), truth, func(t *testing.T, n *network, run func(*testRouter)) {
		runAll(n, run)
		n.set(func() {
			n.cut[[2]fleet.HostID{"router-0", "router-1"}] = true
			n.cut[[2]fleet.HostID{"router-1", "router-0"}] = true
		})
		log := &recent{at: map[fleet.UpstreamID]map[fleet.HostID][]time.Time{}, truth: truth}
		var asking sync.WaitGroup
		chat, grants := 0, 0
		for range seconds * int(time.Second/tick) {
			for _, r := range n.nodes {
				for range perTick {
					chat++
					request := testRequest(chatID(chat))
					asking.Go(func() {
						grant, refusal := r.service.Acquire(t.Context(), request)
						if refusal != nil {
							return
						}
						running, unseen := log.granted(grant, reportInterval)
						if running > limit+unseen {
							t.Errorf("%s runs %d, it bears %d and %d were unseen", grant.Upstream.ID, running, limit, unseen)
						}
						time.Sleep(service)
						truth.add(grant.Upstream.ID, -1)
						r.service.Release(grant, fleet.Completion{Grant: grant.ID, Outcome: fleet.OutcomeComplete, FirstToken: tick})
					})
				}
			}
			time.Sleep(tick)
		}
		asking.Wait()
		for _, byOwner := range log.at {
			for _, times := range byOwner {
				grants += len(times)
			}
		}
		must.Greater(t, 2*limit*seconds/int(service/time.Second)/2, grants)
	})
}

// An owner that was frozen while another granted does not grant from its old state.
func TestFrozenOwnerWakes(t *testing.T) {
	const cold = 2
	truth := newEngines()
	inFleet(t, 3, testUpstreams(1), truth, func(t *testing.T, n *network, run func(*testRouter)) {
		frozen, entry := n.ownerOf("chat-1")
		for _, node := range n.nodes {
			if node != frozen {
				run(node)
			}
		}
		held := acquire(t, entry, truth, "chat-1")
		n.set(func() { n.silent[frozen.self.ID] = true })
		for i := range 5 {
			acquire(t, entry, truth, chatID(10+i))
		}
		time.Sleep(5 * time.Second)
		n.set(func() { n.silent[frozen.self.ID] = false })
		granted := 0
		for i := range 10 {
			reply, err := entry.service.ask(t.Context(), frozenQuestion(entry, frozen, chatID(100+i)))
			must.NoError(t, err)
			if reply.Grant != "" {
				granted++
				must.NotEq(t, epochOf(shortGrant(held.ID, held.Owner)), epochOf(reply.Grant))
			}
		}
		must.Eq(t, cold, granted)
	})
}

func frozenQuestion(entry, frozen *testRouter, chat fleet.ChatID) question {
	q := question{request: testRequest(chat), nonce: entry.service.nonce.Add(1)}
	entry.service.route(&q)
	q.owner = frozen.self.ID
	return q
}

// A waiting request whose caller goes away leaves the queue, and a caller that stays gets its
// turn when another request ends.
func TestWaitingCallers(t *testing.T) {
	const limit = 8
	truth := newEngines()
	inFleet(t, 2, testUpstreams(1), truth, func(t *testing.T, n *network, run func(*testRouter)) {
		runAll(n, run)
		owner, entry := n.ownerOf("chat-1")
		first := acquire(t, entry, truth, "chat-1")
		time.Sleep(1500 * time.Millisecond)
		grants := []fleet.Grant{first}
		for i := range limit - 1 {
			grants = append(grants, acquire(t, entry, truth, chatID(10+i)))
		}
		ctx, leave := context.WithCancel(t.Context())
		gone := make(chan *fleet.Refusal, 1)
		go func() {
			_, refusal := entry.service.Acquire(ctx, testRequest("gone"))
			gone <- refusal
		}()
		stays := make(chan fleet.Grant, 1)
		go func() {
			grant, _ := entry.service.Acquire(t.Context(), testRequest("stays"))
			stays <- grant
		}()
		time.Sleep(300 * time.Millisecond)
		must.Eq(t, 2, waitingAt(owner))
		leave()
		must.Eq(t, fleet.CodeDeadline, (<-gone).Code)
		time.Sleep(flushInterval)
		synctest.Wait()
		must.Eq(t, 1, waitingAt(owner))
		entry.service.Release(grants[0], fleet.Completion{Grant: grants[0].ID, Outcome: fleet.OutcomeComplete})
		must.Eq(t, owner.self.ID, (<-stays).Owner)
	})
}

func waitingAt(r *testRouter) int {
	sum := 0
	r.service.shards.each(func(shard *ownedShard) { sum += shard.owner.Stats(time.Now()).Waiting })
	return sum
}
