package dissemination

import (
	"slices"
	"time"

	"agateswitch/core/fleet"
)

// Times for reports that go over relays.
const (
	// heardTime is how long a relay publishes to a router that has handed it a report, or that publishes its reports itself.
	heardTime = 2 * time.Second
	// relayRetryTime is how long a router does not use a relay that did not take its report.
	relayRetryTime = 2 * time.Second
)

// ReportRoute is the way that a router's next report takes: to Relay, or to all others of the fields.
type ReportRoute struct {
	// Relay adds the report to its own. It is empty for a router that publishes itself.
	Relay fleet.HostID
	// Relays pass the report on to their members. Receivers do not.
	Relays, Receivers []fleet.HostID
}

// Reports plans the ways of reports that every router has for all others several times a second. Calls from each router of a large
// fleet to each other one would take most of a small host's time, so that routers hand their reports to a relay, and relays publish
// sums. The zero value is ready. It is not safe for concurrent use.
type Reports struct {
	// members holds when each router last handed its report to this one, publishers when each last published its own although
	// it is no relay, and retryAt until when a relay is not used.
	members, publishers, retryAt map[fleet.HostID]time.Time
}

// Route returns the way of a router's next report. A router that others use as their relay is one, whatever its plan says.
func (r *Reports) Route(now time.Time, plan RelayPlan, others []fleet.HostID) ReportRoute {
	if plan.Direct || len(others) == 0 {
		return ReportRoute{Receivers: others}
	}
	if members := r.Members(now, plan); plan.IsRelay() || len(members) > 0 {
		return ReportRoute{Relays: plan.Others, Receivers: r.withPublishers(now, members, plan)}
	}
	// One of another data centre is better than none.
	for _, relay := range append(slices.Clone(plan.Near), plan.Others...) {
		if !now.Before(r.retryAt[relay]) {
			return ReportRoute{Relay: relay}
		}
	}
	return ReportRoute{Receivers: others}
}

// Members returns the routers to which this one passes reports on: those that prefer it as their relay and those that use it.
func (r *Reports) Members(now time.Time, plan RelayPlan) []fleet.HostID {
	members := slices.Clone(plan.Members)
	for _, id := range recent(r.members, now) {
		if !slices.Contains(plan.Members, id) {
			members = append(members, id)
		}
	}
	return members
}

// withPublishers adds routers that publish to all others although they are no relays: no relay passes on to them, as they are of an
// earlier version or reach none.
func (r *Reports) withPublishers(now time.Time, members []fleet.HostID, plan RelayPlan) []fleet.HostID {
	receivers := slices.Clone(members)
	for _, id := range recent(r.publishers, now) {
		if !slices.Contains(plan.Others, id) && !slices.Contains(members, id) {
			receivers = append(receivers, id)
		}
	}
	return receivers
}

// recent returns the routers that were heard lately and forgets the others.
func recent(heard map[fleet.HostID]time.Time, now time.Time) []fleet.HostID {
	var ids []fleet.HostID
	for id, at := range heard {
		if now.Sub(at) > heardTime {
			delete(heard, id)
			continue
		}
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// HandedOver records that a router has handed its report to this one, and returns whether it had not done so lately.
func (r *Reports) HandedOver(now time.Time, from fleet.HostID) (isNew bool) {
	isNew = now.Sub(r.members[from]) > heardTime
	record(&r.members, from, now)
	return isNew
}

// Published records that a router has published its report itself.
func (r *Reports) Published(now time.Time, from fleet.HostID) { record(&r.publishers, from, now) }

// Avoid records that a relay has not taken a report.
func (r *Reports) Avoid(now time.Time, relay fleet.HostID) {
	record(&r.retryAt, relay, now.Add(relayRetryTime))
}

func record(times *map[fleet.HostID]time.Time, id fleet.HostID, at time.Time) {
	if *times == nil {
		*times = map[fleet.HostID]time.Time{}
	}
	(*times)[id] = at
}
