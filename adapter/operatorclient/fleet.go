package operatorclient

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"time"

	"agateswitch/adapter/operatorhttp"
	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
)

// drainPollInterval is the delay between two requests for the number of running exchanges.
const drainPollInterval = time.Second

// DataCentreOptions are the options of a data centre's change.
type DataCentreOptions struct {
	// Out takes the data centre out of service; false returns it.
	Out bool
	// RampSeconds is the duration of the ramp after the return; 0 keeps the configured one.
	RampSeconds int
	// DryRun validates the change without making it.
	DryRun bool
	// Force skips the checks of the data centre's name and of a remaining data centre.
	Force bool
}

// SetDataCentre takes a data centre out of service or returns it.
func (c *Client) SetDataCentre(ctx context.Context, name string, options DataCentreOptions) (operatorhttp.DataCentreAnswer, error) {
	query := url.Values{
		operatorhttp.ParamOut:    {fmt.Sprint(options.Out)},
		operatorhttp.ParamDryRun: {fmt.Sprint(options.DryRun)},
		operatorhttp.ParamForce:  {fmt.Sprint(options.Force)},
	}
	if options.RampSeconds > 0 {
		query.Set(operatorhttp.ParamRamp, fmt.Sprint(options.RampSeconds))
	}
	var accepted operatorhttp.DataCentreAnswer
	path := operatorhttp.PathDataCentre + "/" + url.PathEscape(name) + "?" + query.Encode()
	return accepted, c.Do(ctx, c.base.New().Put(path), &accepted)
}

// Fleet reads the revisions that all live routers have in force, and the data centres' status.
func (c *Client) Fleet(ctx context.Context) (operatorhttp.FleetAnswer, error) {
	var answer operatorhttp.FleetAnswer
	return answer, c.Do(ctx, c.base.New().Get(operatorhttp.PathFleet), &answer)
}

// LackingError is returned when some live routers do not have a revision in force.
type LackingError struct {
	Revision configuration.Revision
	operatorhttp.InForceAnswer
}

// Error implements error. The text lists the routers.
func (e *LackingError) Error() string {
	lines := []string{fmt.Sprintf("revision %d is accepted, but %d of %d live routers lack it:", e.Revision, len(e.Lacking), e.Live)}
	for _, report := range e.Lacking {
		if report.Unreachable {
			lines = append(lines, fmt.Sprintf("  %s does not answer", report.Host))
			continue
		}
		lines = append(lines, fmt.Sprintf("  %s has revision %d", report.Host, report.Revision))
	}
	return strings.Join(lines, "\n")
}

// WaitInForce waits until all live routers have a revision in force. If ctx ends after
// an answer that lists routers, it returns a LackingError with these.
func (c *Client) WaitInForce(ctx context.Context, revision configuration.Revision) (operatorhttp.InForceAnswer, error) {
	last := operatorhttp.InForceAnswer{}
	query := url.Values{operatorhttp.ParamRevision: {fmt.Sprint(revision)}}
	for {
		var answer operatorhttp.InForceAnswer
		err := c.Do(ctx, c.base.New().Get(operatorhttp.PathInForce+"?"+query.Encode()), &answer)
		if ctx.Err() != nil && last.Live > 0 {
			return last, &LackingError{Revision: revision, InForceAnswer: last}
		}
		if err != nil {
			return last, err
		}
		if len(answer.Lacking) == 0 {
			return answer, nil
		}
		last = answer
	}
}

// WaitDrained waits until no exchange runs in a data centre. If ctx ends first, it returns the last
// number of running exchanges.
func (c *Client) WaitDrained(ctx context.Context, name fleet.DataCentre) (running int, err error) {
	for {
		answer, err := c.Fleet(ctx)
		if ctx.Err() != nil {
			return running, nil
		}
		if err != nil {
			return running, err
		}
		running = 0
		for _, dataCentre := range answer.DataCentres {
			if dataCentre.Name == name {
				running = dataCentre.Running
			}
		}
		if running == 0 {
			return 0, nil
		}
		select {
		case <-time.After(drainPollInterval):
		case <-ctx.Done():
			return running, nil
		}
	}
}
