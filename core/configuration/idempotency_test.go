package configuration

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A call is non-idempotent in every spelling of its path that a service may interpret as a
// non-idempotent path.
func TestNonIdempotentPathsCannotBeDisguised(t *testing.T) {
	pool := Pool{NonIdempotent: []string{"POST /bookings"}}
	for _, path := range []string{
		"/bookings", "/bookings/7", "/bookings?x=1", "/%62ookings", "/%2fbookings", "//bookings",
		"/x/../bookings", "/x/%2e%2e/bookings", "/./bookings",
	} {
		must.True(t, pool.IsNonIdempotent("POST", path), must.Sprint(path))
	}
	must.True(t, pool.IsNonIdempotent("post", "/bookings"))
	must.False(t, pool.IsNonIdempotent("GET", "/bookings"))
	must.False(t, pool.IsNonIdempotent("POST", "/visits"))
	must.False(t, pool.IsNonIdempotent("POST", "/visits?to=/bookings"))
}
