package port

import (
	"context"

	"agateswitch/core/fleet"

	"github.com/juju/errors"
)

// DutyCall identifies the router that makes a call of a singleton duty.
type DutyCall struct {
	Holder fleet.HostID
	// Token is the holder's fencing token. It is above the token of every earlier holder of the same duty and subject.
	Token uint64
	// Check returns an error if the holder may no longer act. It is called right before the call is written, since the process
	// may have been suspended after Send had allowed it. Nil means that there is nothing to check.
	Check func() error
}

// DutyKind is a kind of calls of singleton duties.
type DutyKind string

// Kinds of calls.
const (
	DutyUsage   DutyKind = "usage"
	DutyEngines DutyKind = "engines"
)

// UsageReport is the usage of one window by team.
type UsageReport struct {
	// Window is the number of the window: its start since 1970 divided by its length.
	Window int64
	// Counts holds the number of requests that upstreams began to run in the window.
	Counts map[fleet.Team]int
}

// EngineOrder sets the number of engines of a pool in one data centre.
type EngineOrder struct {
	Pool       fleet.PoolID
	DataCentre fleet.DataCentre
	Engines    int
}

// Errors of Duties. Any other error means that the call may have taken effect.
const (
	// ErrDutyRateLimited means that the platform has refused the call because of its rate, without effect.
	ErrDutyRateLimited = errors.ConstError("the platform refuses further calls for now")
	// ErrDutyRejected means that the platform has rejected the call as invalid, without effect.
	ErrDutyRejected = errors.ConstError("the platform rejects the call")
)

// Duties makes the calls to the platform that one router at a time makes for the whole fleet. The calls are not
// fenced by the platform: a caller must hold the duty for as long as the context lasts.
type Duties interface {
	// ReportUsage reports the usage of a window. Repeating it with the same content has no effect.
	ReportUsage(ctx context.Context, call DutyCall, report UsageReport) error
	// OrderEngines sets the number of engines of a pool in a data centre.
	OrderEngines(ctx context.Context, call DutyCall, order EngineOrder) error
}
