package claim

import (
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// Only a UUIDv7 whose timestamp is within the window, or at most MaxClockSkew ahead, is accepted. A
// refusal does not state that the call has not run, because the claim of an earlier call with the
// key may have been removed.
func TestCheckKey(t *testing.T) {
	now := start
	cases := map[string]bool{
		keyAt(now, 1):                                    true,
		keyAt(now.Add(-Window), 1):                       true,
		keyAt(now.Add(-Window-time.Millisecond), 1):      false,
		keyAt(now.Add(MaxClockSkew), 1):                  true,
		keyAt(now.Add(MaxClockSkew+time.Millisecond), 1): false,
		"01a23aea-dc00-4000-8000-000000000000":           false,
		"not a key":                                      false,
	}
	for key, accepted := range cases {
		refusal := CheckKey(now, key)
		must.Eq(t, accepted, refusal == nil, must.Sprint(key))
		if refusal != nil {
			must.Eq(t, fleet.RanUnknown, refusal.Ran)
		}
	}
}

// The removal range excludes every claim whose key is still accepted.
func TestRemovalRangeExcludesWindow(t *testing.T) {
	for _, age := range []time.Duration{-MaxClockSkew, 0, Window, Window + removalMargin/2} {
		claim := fleet.Claim{Team: "t", Key: keyAt(start.Add(-age), 1)}
		_, to := RemovalRange(start, ShardOf(claim.Team, claim.Key))
		must.GreaterEq(t, to, storeKey(claim), must.Sprint(age))
	}
	claim := fleet.Claim{Team: "t", Key: keyAt(start.Add(-Window-2*removalMargin), 1)}
	from, to := RemovalRange(start, ShardOf(claim.Team, claim.Key))
	must.Between(t, from, storeKey(claim), to)
}

// A record that decodes without an error keeps its phase when it is encoded and decoded again.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(record{Phase: phaseOpen, Holder: "r", Begun: start}.encode())
	f.Add(record{Phase: phaseEnded, Answer: &fleet.ClaimAnswer{Status: 200, Body: []byte("x")}}.encode())
	f.Add([]byte(`{"phase":"ended"}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := decodeRecord(value)
		if err != nil {
			return
		}
		again, err := decodeRecord(r.encode())
		must.NoError(t, err)
		must.Eq(t, r.Phase, again.Phase)
	})
}
