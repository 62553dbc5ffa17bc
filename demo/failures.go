package demo

import (
	"context"
	"sort"

	"agateswitch/core/fleet"
	"agateswitch/standin/store"
)

// failures is a course of losses. Every answer stays whole, refused or unknown throughout.
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

// loseEngine brings the store back and ends one engine without a word to the host list.
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

// loseRouter ends the last router at once. Callers still know its address.
func loseRouter(_ context.Context, f *Fleet) error {
	f.endRouter[len(f.endRouter)-1]()
	return nil
}
