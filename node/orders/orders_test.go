package orders

import (
	"context"
	"encoding/json"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/core/order"
	"agateswitch/node/lease"
	"agateswitch/port"
	"agateswitch/standin/engine"
	"agateswitch/standin/store"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/shoenig/test/must"
)

const testPool = "farrier-lm"

// fakes implements the ports of one router with one engine.
type fakes struct {
	port.Members
	host   fleet.HostID
	fences bool
	engine *engine.Orders
	// delay is the time until an order arrives; loseAnswers is the number of next answers to lose.
	delay       time.Duration
	loseAnswers int
}

func (f *fakes) Self() fleet.Host { return fleet.Host{ID: f.host} }

func (f *fakes) Upstreams(fleet.PoolID) []fleet.Upstream { return []fleet.Upstream{{ID: "e1"}} }

func (f *fakes) Current() *configuration.Snapshot {
	value, _ := json.Marshal(configuration.Pool{Name: testPool, Type: configuration.PoolEngine, FencesOrders: f.fences})
	key := configuration.Key{Kind: configuration.KindPool, Name: testPool}
	snapshot, _, err := configuration.Empty().Apply(configuration.Delta{To: 1, Items: []configuration.Item{{Key: key, Revision: 1, Value: value}}})
	if err != nil {
		panic(err)
	}
	return snapshot
}

func (f *fakes) SendOrder(_ context.Context, _ fleet.Upstream, sent order.Order) error {
	<-time.After(f.delay)
	if !f.engine.Apply(sent) {
		return port.ErrStaleFence
	}
	if f.loseAnswers > 0 {
		f.loseAnswers--
		return errors.New("the answer was lost")
	}
	return nil
}

func (f *fakes) State(context.Context, fleet.Upstream) (order.State, error) {
	return f.engine.State(), nil
}

func newService(f *fakes, kv port.Store) *Service {
	return New(f, kv, f, f, port.Telemetry{Log: log.New(io.Discard)})
}

func loadVersion(version string) order.Order {
	return order.Order{Kind: order.LoadVersion, Name: version}
}

// When the answer to an order is lost, the engine's state shows that the order took effect, and it is
// not sent again, whether or not the engine checks fencing numbers.
func TestOrderIsSentOnceThoughItsAnswerIsLost(t *testing.T) {
	for _, fences := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakes{host: "a", fences: fences, engine: engine.WithOrders(nil, fences), loseAnswers: 1}
			result, refusal := newService(f, store.NewDirect()).Give(t.Context(), testPool, "e1", loadVersion("2"))
			must.Nil(t, refusal)
			must.Eq(t, "2", result.State.Version)
			must.Len(t, 1, f.engine.Accepted())
		})
	}
}

// Orders of several lease holders keep to the weight store's rate and reach the engine in sequence.
func TestOrdersKeepToTheRateAcrossHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := store.NewDirect()
		engineOrders := engine.WithOrders(nil, true)
		begun := time.Now()
		for i, host := range []fleet.HostID{"a", "b", "c"} {
			f := &fakes{host: host, fences: true, engine: engineOrders}
			_, refusal := newService(f, kv).Give(t.Context(), testPool, "e1", loadVersion(string(rune('2'+i))))
			must.Nil(t, refusal)
			synctest.Wait()
		}
		must.GreaterEq(t, 2*order.SlotInterval, time.Since(begun))
		accepted := engineOrders.Accepted()
		must.Len(t, 3, accepted)
		must.Less(t, accepted[1].Fence, accepted[0].Fence)
		must.Less(t, accepted[2].Fence, accepted[1].Fence)
	})
}

// While one router holds the lease, another sends no order. After the lease has expired, it waits until
// an earlier order can't be in transit any more.
func TestSecondHolderWaitsForEarlierOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := store.NewDirect()
		ctx, cancel := context.WithCancel(t.Context())
		held, err := lease.Acquire(ctx, kv, leaseName, "paused", leaseTTL)
		must.NoError(t, err)
		f := &fakes{host: "b", engine: engine.WithOrders(nil, false)}
		_, refusal := newService(f, kv).Give(t.Context(), testPool, "e1", loadVersion("2"))
		must.Eq(t, fleet.CodeConflict, refusal.Code)
		must.Len(t, 0, f.engine.Accepted())
		cancel()
		<-held.Done()
		synctest.Wait()
		// An order that the first holder sent right before the end of its lease arrives within
		// DeliveryTimeout.
		sent := time.Now()
		lateOrder := time.AfterFunc(order.DeliveryTimeout-time.Millisecond, func() { f.engine.Apply(order.Order{Kind: order.LoadVersion, Name: "old", Fence: held.Fence}) })
		defer lateOrder.Stop()
		result, refusal := newService(f, kv).Give(t.Context(), testPool, "e1", loadVersion("2"))
		must.Nil(t, refusal)
		must.Eq(t, "2", result.State.Version)
		must.Eq(t, "old", f.engine.Accepted()[0].Name)
		must.GreaterEq(t, order.DeliveryTimeout, time.Since(sent))
	})
}

// Without the store no lease can be acquired, so no order is sent. An order of an unknown kind is
// refused as invalid.
func TestOrdersNeedTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := store.NewDirect()
		kv.SetDown(true)
		f := &fakes{host: "a", engine: engine.WithOrders(nil, true)}
		_, refusal := newService(f, kv).Give(t.Context(), testPool, "e1", loadVersion("2"))
		must.Eq(t, fleet.CodeStoreDown, refusal.Code)
		must.Eq(t, fleet.NotRun, refusal.Ran)
		must.Len(t, 0, f.engine.Accepted())
		_, refusal = newService(f, kv).Give(t.Context(), testPool, "e1", order.Order{Kind: "melt", Name: "2"})
		must.Eq(t, fleet.CodeInvalid, refusal.Code)
	})
}
