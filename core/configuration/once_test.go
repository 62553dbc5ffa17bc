package configuration

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A call is once-only however its path is written, as long as a service may read it so.
func TestOnceOnlyPathsCannotBeDisguised(t *testing.T) {
	pool := Pool{OnceOnly: []string{"POST /bookings"}}
	for _, path := range []string{
		"/bookings", "/bookings/7", "/bookings?x=1", "/%62ookings", "/%2fbookings", "//bookings",
		"/x/../bookings", "/x/%2e%2e/bookings", "/./bookings",
	} {
		must.True(t, pool.IsOnceOnly("POST", path), must.Sprint(path))
	}
	must.True(t, pool.IsOnceOnly("post", "/bookings"))
	must.False(t, pool.IsOnceOnly("GET", "/bookings"))
	must.False(t, pool.IsOnceOnly("POST", "/visits"))
	must.False(t, pool.IsOnceOnly("POST", "/visits?to=/bookings"))
}
