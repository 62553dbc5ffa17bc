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

// fakes are the ports of one router before one engine.
type fakes struct {
	port.Members
	host   fleet.HostID
	fences bool
	engine *engine.Orders
	// delay is how long an order is on its way; lose makes so many answers get lost.
	delay time.Duration
	lose  int
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

func (f *fakes) SendOrder(_ context.Context, _ fleet.Upstream, given order.Order) error {
	<-time.After(f.delay)
	if !f.engine.Take(given) {
		return port.ErrStaleFence
	}
	if f.lose > 0 {
		f.lose--
		return errors.New("the answer was lost")
	}
	return nil
}

func (f *fakes) State(context.Context, fleet.Upstream) (order.State, error) {
	return f.engine.State(), nil
}

func service(f *fakes, kv port.Store) *Service {
	return New(f, kv, f, f, port.Telemetry{Log: log.New(io.Discard)})
}

func load(version string) order.Order { return order.Order{Kind: order.LoadVersion, Name: version} }

func TestOrderIsSentOnceThoughItsAnswerIsLost(t *testing.T) {
	for _, fences := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			f := &fakes{host: "a", fences: fences, engine: engine.WithOrders(nil, fences), lose: 1}
			result, refusal := service(f, store.NewDirect()).Give(t.Context(), testPool, "e1", load("2"))
			must.Nil(t, refusal)
			must.Eq(t, "2", result.State.Version)
			must.Len(t, 1, f.engine.Taken())
		})
	}
}

// Orders of several holders keep to the rate of the weight store, and come in their order.
func TestOrdersKeepToTheRateAcrossHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := store.NewDirect()
		desk := engine.WithOrders(nil, true)
		begun := time.Now()
		for i, host := range []fleet.HostID{"a", "b", "c"} {
			f := &fakes{host: host, fences: true, engine: desk}
			_, refusal := service(f, kv).Give(t.Context(), testPool, "e1", load(string(rune('2'+i))))
			must.Nil(t, refusal)
			synctest.Wait()
		}
		must.GreaterEq(t, 2*order.SlotInterval, time.Since(begun))
		taken := desk.Taken()
		must.Len(t, 3, taken)
		must.Less(t, taken[1].Fence, taken[0].Fence)
		must.Less(t, taken[2].Fence, taken[1].Fence)
	})
}

// While one router holds the lease, another gives no order; it does once that has lapsed.
func TestSecondHolderWaitsOutTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := store.NewDirect()
		ctx, cancel := context.WithCancel(t.Context())
		held, err := lease.Hold(ctx, kv, leaseName, "paused", leaseTTL)
		must.NoError(t, err)
		f := &fakes{host: "b", engine: engine.WithOrders(nil, false)}
		_, refusal := service(f, kv).Give(t.Context(), testPool, "e1", load("2"))
		must.Eq(t, fleet.CodeConflict, refusal.Code)
		must.Len(t, 0, f.engine.Taken())
		cancel()
		<-held.Done()
		synctest.Wait()
		// An order that the first holder sent at its end arrives within its flight.
		sent := time.Now()
		late := time.AfterFunc(order.DeliveryTimeout-time.Millisecond, func() { f.engine.Take(order.Order{Kind: order.LoadVersion, Name: "old", Fence: held.Fence}) })
		defer late.Stop()
		result, refusal := service(f, kv).Give(t.Context(), testPool, "e1", load("2"))
		must.Nil(t, refusal)
		must.Eq(t, "2", result.State.Version)
		must.Eq(t, "old", f.engine.Taken()[0].Name)
		must.GreaterEq(t, order.DeliveryTimeout, time.Since(sent))
	})
}

func TestOrdersNeedTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := store.NewDirect()
		kv.SetDown(true)
		f := &fakes{host: "a", engine: engine.WithOrders(nil, true)}
		_, refusal := service(f, kv).Give(t.Context(), testPool, "e1", load("2"))
		must.Eq(t, fleet.CodeStoreDown, refusal.Code)
		must.Eq(t, fleet.NotRun, refusal.Ran)
		must.Len(t, 0, f.engine.Taken())
		_, refusal = service(f, kv).Give(t.Context(), testPool, "e1", order.Order{Kind: "melt", Name: "2"})
		must.Eq(t, fleet.CodeInvalid, refusal.Code)
	})
}
