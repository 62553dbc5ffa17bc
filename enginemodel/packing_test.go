package enginemodel

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// maxLoss is how much of a kind's share in aim another kind's gain may cost.
const maxLoss = 0.005

// With long reads packed, more requests of all kinds together meet their aims at rising load, in small and large fleets, and no kind pays
// for it. Loads are older than a long read there, but fresh in a fleet of 6 routers, which packs nothing.
func TestPackingServesLongAndShortPrompts(t *testing.T) {
	for _, routers := range []int{6, 23, 60, 295} {
		for _, rate := range []float64{1, 1.5, 1.8} {
			t.Run(fmt.Sprintf("%d routers at %.1f", routers, rate), func(t *testing.T) {
				t.Parallel()
				load := windFarms().Scaled(rate, routers)
				load.Length = 6 * time.Second
				if routers == 6 {
					load.LoadAge = 0
				}
				before, after := Run(load, Policies["prompt"], 1), Run(load, Policies["packed"], 1)
				sumBefore, sumAfter := 0, 0
				for i, kind := range after.Kinds {
					t.Logf("before %+v", before.Kinds[i])
					t.Logf("after  %+v", kind)
					must.GreaterEq(t, before.Kinds[i].inAimShare()-maxLoss, kind.inAimShare(), must.Sprint(kind.Kind))
					sumBefore, sumAfter = sumBefore+before.Kinds[i].InAim, sumAfter+kind.InAim
				}
				if load.LoadAge == 0 {
					must.Eq(t, before, after)
				} else if rate > 1 {
					must.Greater(t, sumBefore, sumAfter)
				}
			})
		}
	}
}

// inAimShare returns the share of the requests that were served well.
func (r KindResult) inAimShare() float64 { return float64(r.InAim) / float64(max(1, r.Requests)) }
