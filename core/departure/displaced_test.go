package departure

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestDisplacementHoldsForAWhileAndForOneAddressOnly(t *testing.T) {
	var d Displacements
	displaced := Displacement{Upstream: "e1", Incarnation: 5, Address: "a", AgeMs: 1000}
	must.True(t, d.Add(displaced, start))
	must.False(t, d.Add(displaced, start))
	must.True(t, d.Has("e1", 5, "a", start))
	must.False(t, d.Has("e1", 5, "b", start))
	must.False(t, d.Has("e1", 6, "a", start))
	must.Eq(t, []Displacement{displaced}, d.Told(start))
	must.Len(t, 0, d.Told(start.Add(displacedTellTime)))
	end := start.Add(DisplacedTime - time.Second)
	must.False(t, d.Has("e1", 5, "a", end))
	must.Len(t, 0, d.Told(end))
	// What others tell late must not renew it.
	displaced.AgeMs = DisplacedTime.Milliseconds()
	must.False(t, d.Add(displaced, end))
	displaced.AgeMs = 0
	must.True(t, d.Add(displaced, end))
}
