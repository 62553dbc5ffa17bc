package settings

import "time"

// Duties are the calls to the platform that one router at a time makes for the fleet.
type Duties struct {
	// Address is the ip:port of the platform's API. Empty, the default, means that no duty is done.
	Address string `json:"address"`
	// Calls names the kinds of calls that the platform wants, in its own words.
	Calls []string `json:"calls"`
	// CallsPerSecond is how many calls the platform takes from all routers together. 0, the default, means any number.
	CallsPerSecond float64 `json:"calls_per_second"`
	// Lease is the least time between the last call of a holder and the first of its successor, unless the holder has stopped by
	// itself. At least MinDutyLease.
	Lease Duration `json:"lease"`
	// Thaw is how long a call may arrive after its sender was suspended or cut off. Less than a third of Lease.
	Thaw  Duration    `json:"thaw"`
	Usage UsageReport `json:"usage"`
}

// UsageReport is about the usage reports.
type UsageReport struct {
	// Window is the length of a window.
	Window Duration `json:"window"`
	// Late is how long after the end of a window its report is due.
	Late Duration `json:"late"`
}

// MinDutyLease is the shortest lease: a renewal takes a tenth of a second on a busy host.
const MinDutyLease = time.Second

func (d *decoder) checkDuties(duties Duties) {
	if duties.Address == "" {
		return
	}
	d.address("duties.address", duties.Address)
	d.require(duties.CallsPerSecond >= 0, "duties.calls_per_second", "must be 0 or more")
	d.require(time.Duration(duties.Lease) >= MinDutyLease, "duties.lease", "must be %s or more", MinDutyLease)
	d.require(duties.Thaw >= 0 && 3*duties.Thaw < duties.Lease, "duties.thaw", "must be 0s or more and less than a third of duties.lease")
	d.require(duties.Usage.Window >= 0, "duties.usage.window", "must be 0s or more")
	d.require(duties.Usage.Window == 0 || duties.Usage.Late > 0, "duties.usage.late", "must be above 0s")
}
