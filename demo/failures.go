package demo

import (
	"context"
	"sort"

	"agateswitch/core/fleet"
	"agateswitch/standin/store"
)

// failures is a scenario of outages. Every answer must be complete, refused or unknown in each phase.
var failures = Scenario{Title: "the store, an engine and a router are lost in turn", Phases: []Phase{
	{Name: "before", Share: 0.2, Mix: mixed},
	{Name: "store down", Share: 0.2, Mix: mixed, Begin: setStoreDown(true)},
	{Name: "engine lost", Share: 0.2, Mix: mixed, Begin: loseEngine},
	{Name: "router lost", Share: 0.2, Mix: mixed, Begin: loseRouter},
	{Name: "after", Share: 0.2, Mix: mixed},
}}

func setStoreDown(down bool) func(context.Context, *Fleet) error {
	return func(_ context.Context, f *Fleet) error {
		f.Store.SetFaults(store.Faults{Down: down})
		return nil
	}
}

// loseEngine ends the store's outage and stops one engine, which stays on the host list.
func loseEngine(ctx context.Context, f *Fleet) error {
	if err := setStoreDown(false)(ctx, f); err != nil {
		return err
	}
	ids := make([]fleet.UpstreamID, 0, len(f.Engines))
	for id := range f.Engines {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return f.servers[string(ids[0])].Close()
}

// loseRouter stops the last router at once. Callers still use its address.
func loseRouter(_ context.Context, f *Fleet) error {
	f.stopRouter[len(f.stopRouter)-1]()
	return nil
}
