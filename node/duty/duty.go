// Package duty runs the duties that one router at a time does for the whole fleet.
package duty

import (
	"context"
	"time"

	"agateswitch/port"

	"github.com/juju/errors"
)

// ErrNotHeld is returned by Grant.Send if this router does not hold the subject for long enough to send.
const ErrNotHeld = errors.ConstError("the duty is not held")

// Duty is work that one router at a time does for the fleet, by subject.
type Duty interface {
	// Name is the name of the duty in the store, in logs and in metrics.
	Name() string
	// Subjects returns the subjects that the duty has now. Each has a holder of its own.
	Subjects() []string
	// Work does what is due for a subject that this router holds, and returns after how long it is to be called again.
	// It returns early if ctx ends, which it does before the lease can have expired.
	Work(ctx context.Context, subject string, grant Grant) time.Duration
}

// Grant allows the holder of a subject to act.
type Grant interface {
	// Send calls send with this router's fencing token. The context ends before the lease can have expired. It
	// returns ErrNotHeld, without a call, if the lease has expired or too little of it is left.
	Send(ctx context.Context, send func(ctx context.Context, call port.DutyCall) error) error
}
