package claims

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	coreclaim "agateswitch/core/claim"
	"agateswitch/core/fleet"
	"agateswitch/port"
	"agateswitch/standin/store"

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// network connects the routers of a test. Calls to and from an unresponsive router block until their
// context ends.
type network struct {
	mu           sync.Mutex
	handlers     map[fleet.HostID]map[string]port.PeerHandler
	unresponsive map[fleet.HostID]bool
}

type peers struct {
	network *network
	self    fleet.HostID
}

func (p peers) Handle(method string, handler port.PeerHandler) {
	p.network.handlers[p.self][method] = handler
}

func (p peers) Call(ctx context.Context, to fleet.HostID, method string, request, response any) error {
	p.network.mu.Lock()
	unresponsive := p.network.unresponsive[to] || p.network.unresponsive[p.self]
	handler := p.network.handlers[to][method]
	p.network.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return errors.WithType(ctx.Err(), port.ErrPeerUnreachable)
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	answer, err := handler(ctx, p.self, func(into any) error { return msgpack.Unmarshal(body, into) })
	if err != nil {
		return err
	}
	if body, err = msgpack.Marshal(answer); err != nil {
		return err
	}
	return msgpack.Unmarshal(body, response)
}

// members is a membership view without lag and without suspects.
type members struct {
	port.Members
	self    fleet.HostID
	routers []fleet.Host
}

func (m members) Self() fleet.Host      { return fleet.Host{ID: m.self, State: fleet.Live} }
func (m members) Routers() []fleet.Host { return m.routers }
func (m members) Suspect(fleet.HostID)  {}
func (m members) Confirm(fleet.HostID)  {}
func (m members) Router(id fleet.HostID) (fleet.Host, bool) {
	return fleet.Host{ID: id, State: fleet.Live}, true
}

type testFleet struct {
	network *network
	store   *store.Direct
	routers []*Service
}

// newFleet starts routers and waits until their histories are complete for keys created from then on.
func newFleet(ctx context.Context, size int) *testFleet {
	f := &testFleet{store: store.NewDirect(), network: &network{
		handlers: map[fleet.HostID]map[string]port.PeerHandler{}, unresponsive: map[fleet.HostID]bool{},
	}}
	var hosts []fleet.Host
	for i := range size {
		hosts = append(hosts, fleet.Host{ID: fleet.HostID(fmt.Sprint("router-", i)), State: fleet.Live})
	}
	for _, host := range hosts {
		f.network.handlers[host.ID] = map[string]port.PeerHandler{}
		telemetry := port.Telemetry{Log: log.New(io.Discard)}
		s := New(f.store, members{self: host.ID, routers: hosts}, peers{network: f.network, self: host.ID}, 0, telemetry)
		f.routers = append(f.routers, s)
		go s.Run(ctx)
	}
	time.Sleep(coreclaim.MaxClockSkew + 2*tickInterval)
	return f
}

// inBubble runs a test with a fleet in a synctest bubble, in virtual time.
func inBubble(t *testing.T, size int, test func(t *testing.T, f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, size)
		test(t, f)
		for _, s := range f.routers {
			s.Wait(t.Context())
		}
		cancel()
		// Notices and commits that are still running end within their timeouts.
		time.Sleep(ownerCallTimeout)
	})
}

func newClaim(key string) fleet.Claim {
	return fleet.Claim{
		Team: "arima-yard", Key: key, BodyDigest: "body", Begun: time.Now(), Holder: fleet.RequestID(uuid.NewString()),
	}
}

// newKey returns a UUIDv7 with the bubble's time.
func newKey() string {
	millis := fmt.Sprintf("%012x", time.Now().UnixMilli())
	return millis[:8] + "-" + millis[8:] + "-7" + uuid.NewString()[15:]
}

// ownerOf returns the index of the first owner of a key's shard.
func (f *testFleet) ownerOf(key string) int {
	owner := f.routers[0].owners(coreclaim.ShardOf("arima-yard", key))[0]
	for i, s := range f.routers {
		if s.members.Self().ID == owner {
			return i
		}
	}
	panic("no owner")
}

func codeOf(result fleet.ClaimResult) fleet.Code {
	if result.Refusal == nil {
		return ""
	}
	return result.Refusal.Code
}

// Concurrent calls with the same key at several entry routers: one is granted, and the others are
// refused as in progress.
func TestSameKeyAtTwoEntriesAtOnce(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *testFleet) {
		key := newKey()
		results := make(chan fleet.ClaimResult, 3)
		wanted := newClaim(key)
		for i, entry := range f.routers {
			claim := newClaim(key)
			if i == 0 {
				claim = wanted
			}
			go func() { results <- entry.Begin(t.Context(), claim) }()
		}
		granted := 0
		for range 3 {
			result := <-results
			if result.State == fleet.ClaimGranted {
				granted++
				continue
			}
			must.Eq(t, fleet.CodeInProgress, codeOf(result))
		}
		must.Eq(t, 1, granted)
	})
}

// A resend at any entry router gets the recorded answer of the call. A call with the same key and
// another body is refused.
func TestResendGetsTheRecordedAnswer(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *testFleet) {
		claim := newClaim(newKey())
		result := f.routers[0].Begin(t.Context(), claim)
		must.Eq(t, fleet.ClaimGranted, result.State)
		claim.Revision = result.Revision
		answer := fleet.ClaimAnswer{Status: 201, ContentType: "text/plain", Body: []byte("booked")}
		must.NoError(t, f.routers[1].Finish(t.Context(), claim, answer))
		for _, entry := range f.routers {
			must.Eq(t, answer, entry.Begin(t.Context(), newClaim(claim.Key)).Answer)
		}
		other := newClaim(claim.Key)
		other.BodyDigest = "another body"
		must.Eq(t, fleet.CodeKeyReused, codeOf(f.routers[2].Begin(t.Context(), other)))
	})
}

// An unresponsive owner delays a claim by one call timeout. The next router then grants it, and the
// grant is valid in the whole fleet.
func TestUnresponsiveOwnerIsReplaced(t *testing.T) {
	inBubble(t, 4, func(t *testing.T, f *testFleet) {
		claim := newClaim(newKey())
		owner := f.ownerOf(claim.Key)
		f.network.mu.Lock()
		f.network.unresponsive[f.routers[owner].members.Self().ID] = true
		f.network.mu.Unlock()
		entry := f.routers[(owner+1)%4]
		started := time.Now()
		result := entry.Begin(t.Context(), claim)
		must.Eq(t, fleet.ClaimGranted, result.State)
		must.Less(t, coreclaim.SendLimit, time.Since(started))
		must.False(t, result.SendBy.HasPassed(time.Now()))
		must.Eq(t, fleet.CodeInProgress, codeOf(f.routers[(owner+2)%4].Begin(t.Context(), newClaim(claim.Key))))
	})
}

// While the store is down, a call with a new key is refused as not run, and a resend of a granted call
// is refused with an unknown outcome. After the outage, the new key is granted.
func TestOutageOfTheStore(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *testFleet) {
		ran := newClaim(newKey())
		must.Eq(t, fleet.ClaimGranted, f.routers[0].Begin(t.Context(), ran).State)
		f.store.SetDown(true)
		fresh := newKey()
		for _, entry := range f.routers {
			// The previous router's release has to reach the owner before the next call.
			synctest.Wait()
			result := entry.Begin(t.Context(), newClaim(fresh))
			must.Eq(t, fleet.CodeStoreDown, codeOf(result))
			must.Eq(t, fleet.NotRun, result.Refusal.Ran, must.Sprint(result.Refusal.Message))
			must.Positive(t, result.Refusal.RetryAfter)
		}
		resend := f.routers[1].Begin(t.Context(), newClaim(ran.Key))
		must.Eq(t, fleet.RanUnknown, resend.Refusal.Ran)
		f.store.SetDown(false)
		time.Sleep(2 * time.Second)
		must.Eq(t, fleet.ClaimGranted, f.routers[2].Begin(t.Context(), newClaim(fresh)).State)
	})
}

// A router of lower rank that accepts a claim while the owner is partitioned notifies the owner as
// soon as it can. The owner then doesn't report calls with keys it hasn't seen as not run.
func TestOwnerIsNotifiedOfForeignClaims(t *testing.T) {
	inBubble(t, 3, func(t *testing.T, f *testFleet) {
		claim := newClaim(newKey())
		owner := f.ownerOf(claim.Key)
		setUnresponsive := func(unresponsive bool) {
			f.network.mu.Lock()
			defer f.network.mu.Unlock()
			f.network.unresponsive[f.routers[owner].members.Self().ID] = unresponsive
		}
		setUnresponsive(true)
		must.Eq(t, fleet.ClaimGranted, f.routers[(owner+1)%3].Begin(t.Context(), claim).State)
		setUnresponsive(false)
		time.Sleep(3 * tickInterval)
		f.store.SetDown(true)
		resend := f.routers[(owner+2)%3].Begin(t.Context(), newClaim(claim.Key))
		must.Eq(t, fleet.RanUnknown, resend.Refusal.Ran, must.Sprint("a call that another router granted was reported as not run"))
		f.store.SetDown(false)
	})
}

// An owner that was paused doesn't report calls as not run whose keys date from the pause, because
// other routers may have accepted their claims.
func TestPausedOwnerReportsUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, pause := context.WithCancel(t.Context())
		f := newFleet(ctx, 1)
		pause()
		time.Sleep(pauseThreshold + time.Second)
		f.store.SetDown(true)
		result := f.routers[0].Begin(t.Context(), newClaim(newKey()))
		must.Eq(t, fleet.RanUnknown, result.Refusal.Ran, must.Sprint(result.Refusal.Message))
		f.store.SetDown(false)
		f.routers[0].Wait(t.Context())
	})
}

// A claim is kept for coreclaim.Window and removed later. A resend after its removal is refused with an
// unknown outcome instead of being sent again.
func TestOldClaimsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet(ctx, 1)
		claim := newClaim(newKey())
		must.Eq(t, fleet.ClaimGranted, f.routers[0].Begin(t.Context(), claim).State)
		storedClaims := func() int {
			stored := 0
			_, err := f.store.List(t.Context(), "agateswitch/claim/", func(port.Entry) { stored++ })
			must.NoError(t, err)
			return stored
		}
		shard := coreclaim.ShardOf(claim.Team, claim.Key)
		cancel()
		time.Sleep(coreclaim.Window)
		f.routers[0].remove(t.Context(), shard)
		must.Eq(t, 1, storedClaims())
		time.Sleep(2 * time.Hour)
		f.routers[0].remove(t.Context(), shard)
		must.Zero(t, storedClaims())
		resend := f.routers[0].Begin(t.Context(), newClaim(claim.Key))
		must.Eq(t, fleet.RanUnknown, resend.Refusal.Ran)
	})
}

// Many callers use few keys at all entry routers. The store loses, delays and duplicates commits,
// claim holders pause or never finish, and owners become unresponsive. Each key is sent at most once.
func TestRandomFaultsSendOnce(t *testing.T) {
	for seed := range uint64(20) {
		inBubble(t, 4, func(t *testing.T, f *testFleet) { randomFaults(t, f, rand.New(rand.NewPCG(seed, 1))) })
	}
}

func randomFaults(t *testing.T, f *testFleet, random *rand.Rand) {
	var mu sync.Mutex
	sends := map[string]int{}
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	outcomes := []store.CallOutcome{store.Answered, store.Answered, store.RequestLost, store.AnswerLost, store.Delayed, store.Duplicated}
	f.store.SetOutcome(func(port.Transaction) store.CallOutcome { return outcomes[draw(len(outcomes))] })
	keys := []string{newKey(), newKey(), newKey(), newKey()}
	var callers sync.WaitGroup
	for range 40 {
		time.Sleep(time.Duration(draw(1500)) * time.Millisecond)
		if draw(8) == 0 {
			f.network.mu.Lock()
			f.network.unresponsive = map[fleet.HostID]bool{f.routers[draw(4)].members.Self().ID: draw(2) == 0}
			f.network.mu.Unlock()
		}
		entry, claim := f.routers[draw(4)], newClaim(keys[draw(len(keys))])
		callers.Go(func() {
			result := entry.Begin(t.Context(), claim)
			if result.State == fleet.ClaimRefused && result.Refusal.Ran == fleet.NotRun {
				mu.Lock()
				defer mu.Unlock()
				if sends[claim.Key] != 0 {
					t.Errorf("a call that ran was reported as not run: %s", result.Refusal.Message)
				}
			}
			if result.State != fleet.ClaimGranted {
				return
			}
			claim.Revision = result.Revision
			time.Sleep(time.Duration(draw(6000)) * time.Millisecond)
			if result.SendBy.HasPassed(time.Now()) {
				entry.Finish(t.Context(), claim, fleet.ClaimAnswer{Unsent: true})
				return
			}
			mu.Lock()
			sends[claim.Key]++
			mu.Unlock()
			if draw(2) == 0 {
				entry.Finish(t.Context(), claim, fleet.ClaimAnswer{Status: 200})
			}
		})
	}
	callers.Wait()
	for key, count := range sends {
		must.Eq(t, 1, count, must.Sprint(key, " was sent more than once"))
	}
}
