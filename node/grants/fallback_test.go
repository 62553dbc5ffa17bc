package grants

import (
	"encoding/json"
	"testing"
	"testing/synctest"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/core/rollout"

	"github.com/shoenig/test/must"
)

// A retry runs on the old version if no upstream of the new version remains. A first attempt does
// not fall back, and no retry changes from the old version to the new one.
func TestRetryFallsBackToTheOldVersion(t *testing.T) {
	upstreams := testUpstreams(2)
	upstreams[0].Version, upstreams[1].Version = "1", "2"
	cases := map[string]struct {
		chosen  fleet.Version
		exclude []fleet.UpstreamID
		absent  bool
		want    fleet.UpstreamID
	}{
		"new version failed":          {chosen: "2", exclude: []fleet.UpstreamID{"engine-1"}, want: "engine-0"},
		"both versions failed":        {chosen: "2", exclude: []fleet.UpstreamID{"engine-1", "engine-0"}},
		"old version failed":          {chosen: "1", exclude: []fleet.UpstreamID{"engine-0"}},
		"retry that needs none":       {chosen: "2", exclude: []fleet.UpstreamID{"engine-9"}, want: "engine-1"},
		"version not of the move":     {chosen: "3", exclude: []fleet.UpstreamID{"engine-1"}},
		"first attempt, none running": {chosen: "2", absent: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				listed := upstreams
				if c.absent {
					listed = upstreams[:1]
				}
				n := newNetwork(t, 1, listed, nil)
				router := n.nodes["router-0"]
				router.config, router.version = withMove(t, router.config), c.chosen
				request := testRequest("chat-1")
				request.Exclude = c.exclude
				grant, refusal := router.service.Acquire(t.Context(), request)
				must.Eq(t, c.want, grant.Upstream.ID)
				must.Eq(t, c.want == "", refusal != nil)
				if len(c.exclude) > 0 && refusal == nil {
					must.Eq(t, fleet.ReasonRetry, grant.Reason)
				}
			})
		})
	}
}

// withMove returns the snapshot with a running move from version 1 to version 2.
func withMove(t *testing.T, snapshot *configuration.Snapshot) *configuration.Snapshot {
	t.Helper()
	value, err := json.Marshal(rollout.Move{ID: "m1", Pool: testPool, From: "1", To: "2", Status: rollout.StatusRunning})
	must.NoError(t, err)
	next, _, err := snapshot.Apply(configuration.Delta{From: 1, To: 2, Items: []configuration.Item{
		{Key: configuration.Key{Kind: configuration.KindMove, Name: string(testPool)}, Revision: 2, Value: value},
	}})
	must.NoError(t, err)
	return next
}
