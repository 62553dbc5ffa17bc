package settings

import (
	"math"
	"os"
	"strconv"
	"time"

	"agateswitch/core/dissemination"
	"agateswitch/core/quarantine"

	"github.com/juju/errors"
)

// Gateway is the settings file of a router that routes by host and path.
type Gateway struct {
	Host     Host          `json:"host"`
	Capacity Capacity      `json:"capacity"`
	Listen   GatewayListen `json:"listen"`
	// Advertise holds the addresses at which others reach the router, where they differ from those that it
	// listens on.
	Advertise Advertise `json:"advertise"`
	// Store is the ip:port of the platform's key-value service.
	Store string `json:"store"`
	// PeerKey authenticates the routers of the fleet to each other. At least 32 characters, the
	// same on every router.
	PeerKey string `json:"peer_key"`
	// FirstStart is true when the whole system starts for the first time, so that there is no state
	// to bootstrap from. Default: false.
	FirstStart bool `json:"first_start"`
	// Grace is the maximum time between SIGTERM and the exit of the process.
	Grace Duration `json:"grace"`
	// DirectoryTTL is how long callers may cache a response of the directory. Default: 2s.
	DirectoryTTL Duration `json:"directory_ttl"`
	// MaxDirectoryTTL is the longest TTL that callers honour.
	MaxDirectoryTTL Duration    `json:"max_directory_ttl"`
	Retries         RetryLimits `json:"retries"`
	// ChangeDeadline is the time within which a change of the store, as an upstream's leaving, has to be in force
	// on each router. Default: 2s, which is also the minimum.
	ChangeDeadline Duration `json:"change_deadline"`
	// Exposure limits the requests sent to a version that has not yet proved healthy.
	Exposure Exposure `json:"exposure"`
	// LoadBound limits what one upstream holds. LoadBoundFactorVariable gives the default of its factor.
	LoadBound LoadBound `json:"load_bound"`
	// Duties are the calls to the platform that one router at a time makes. Without an address none are made.
	Duties Duties `json:"duties"`
	// Quarantine limits what trials of requests that are held back may cost.
	Quarantine Quarantine `json:"quarantine"`
	// SmallPool states which pools have one queue for all routers.
	SmallPool SmallPool `json:"small_pool"`
	// Placement states by what prompts are placed beside loads and caches.
	Placement Placement `json:"placement"`
	Log       Log       `json:"log"`
}

// Capacity is what the host can bear. Routers with more do work for others first. 0, the default, means
// that it is not known.
type Capacity struct {
	// Cores is the process's share of processor time, in cores.
	Cores float64 `json:"cores"`
	// LinkMbps is the bandwidth of the host's link, in Mbit/s.
	LinkMbps float64 `json:"link_mbps"`
	// MemoryMB is the memory of the process, in MB, and Descriptors the number of its file descriptors. What callers may make the
	// router hold follows from them.
	MemoryMB    float64 `json:"memory_mb"`
	Descriptors int     `json:"descriptors"`
}

// Advertise holds the ip:port addresses that a router tells others. An empty one is that of GatewayListen.
type Advertise struct {
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
}

// GatewayListen holds the ip:port addresses that the router listens on.
type GatewayListen struct {
	Callers string `json:"callers"`
	// Readiness serves the platform's check of whether the router accepts callers.
	Readiness string `json:"readiness"`
	// Directory serves the list of routers that callers may use.
	Directory string `json:"directory"`
	Peers     string `json:"peers"`
	// Metrics serves metrics, and surveys of the fleet.
	Metrics string `json:"metrics"`
}

// RetryLimits limits the retries of the whole fleet for one pool.
type RetryLimits struct {
	// Ratio is the maximum share of retries among a window's requests. Range: 0 to 1.
	Ratio float64 `json:"ratio"`
	// Extra is the number of retries allowed per window in addition to Ratio.
	Extra float64 `json:"extra"`
	// Window is the length of the window.
	Window Duration `json:"window"`
}

// Exposure limits the requests of the whole fleet to a new version.
type Exposure struct {
	// Share is the maximum share of a pool's requests since the move order. Range: 0 to 1.
	// Default: 0.1.
	Share float64 `json:"share"`
	// Slack is the number of requests allowed in addition to Share. Default: 50.
	Slack float64 `json:"slack"`
}

// LoadBound limits how many requests of all routers one upstream holds: Factor times the mean of all upstreams of its pool, and Slack more.
type LoadBound struct {
	// Factor is 1 or more.
	Factor float64 `json:"factor"`
	// Slack is the number of requests in addition. 0 or more.
	Slack float64 `json:"slack"`
}

// Quarantine limits what trials of requests that are held back may cost.
type Quarantine struct {
	// TrialsPerHour is how many engines an hour the trials of one part of prompts, or of one request, may end. Range: 1 to 60.
	TrialsPerHour int `json:"trials_per_hour"`
}

// SmallPool states which pools of plain services have one queue for all routers: those whose upstreams together have at most
// SlotsPerRouter slots for each router, and MaxSlots at all, in fleets whose routers do not exchange loads directly.
type SmallPool struct {
	// SlotsPerRouter is 0 or more; 0 means no such pools.
	SlotsPerRouter float64 `json:"slots_per_router"`
	// MaxSlots is 0 or more. It bounds the messages to the router that keeps the queue, two a request.
	MaxSlots int `json:"max_slots"`
}

// Placement states by what prompts are placed beside loads and caches.
type Placement struct {
	// BySpeed counts expected times instead of tokens at engines that state how long work takes there at the moment. Default: false.
	BySpeed bool `json:"by_speed"`
	// PackLongPrompts lets engines that read one long prompt read a second one, and keeps the others free for short prompts. Default: false.
	PackLongPrompts bool `json:"pack_long_prompts"`
}

// DefaultPlacement is by loads and caches alone.
var DefaultPlacement = Placement{}

// DefaultSmallPool is for pools in which a router has no more than two requests in work at a time, and a keeper at most 4,300 messages
// a second at 30 ms a request.
var DefaultSmallPool = SmallPool{SlotsPerRouter: 2, MaxSlots: 64}

// DefaultLoadBound is the bound that the users require.
var DefaultLoadBound = LoadBound{Factor: 2, Slack: 3}

// LoadBoundFactorVariable names the environment variable that replaces the default of load_bound.factor. Builds that
// refuse settings files with fields that they do not know ignore it.
const LoadBoundFactorVariable = "AGATESWITCH_LOAD_BOUND_FACTOR"

// DefaultExposure is the limit that the users require.
var DefaultExposure = Exposure{Share: 0.1, Slack: 50}

// DefaultDirectoryTTL makes callers stop using a lost router within seconds, at the cost of one
// directory request per caller every 2 s.
const DefaultDirectoryTTL = 2 * time.Second

// LoadGateway reads and validates a settings file. It returns either usable settings or all problems
// found.
func LoadGateway(path string) (Gateway, []Problem, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, nil, errors.Annotate(err, "reading the settings")
	}
	parsed, problems := ParseGateway(path, content)
	return parsed, problems, nil
}

// ParseGateway parses and validates the content of a settings file, whose defaults may come from the environment. name
// is the file name in problems.
func ParseGateway(name string, content []byte) (Gateway, []Problem) {
	parsed := Gateway{
		Log: Log{Level: "info", Format: "text"}, DirectoryTTL: Duration(DefaultDirectoryTTL),
		ChangeDeadline: Duration(dissemination.MinDeadline), Exposure: DefaultExposure, LoadBound: DefaultLoadBound,
		Quarantine: Quarantine{TrialsPerHour: quarantine.DefaultTrials},
		SmallPool:  DefaultSmallPool,
		Placement:  DefaultPlacement,
	}
	loadBoundFactorErr := numberFromEnvironment(LoadBoundFactorVariable, &parsed.LoadBound.Factor)
	d := decode(name, content, &parsed)
	if d.syntaxInvalid {
		return Gateway{}, d.problems
	}
	d.require(loadBoundFactorErr == nil, "load_bound.factor", "%v", loadBoundFactorErr)
	d.checkGateway(parsed)
	return parsed, d.problems
}

// numberFromEnvironment replaces a number by that of an environment variable, if it is set and not empty.
func numberFromEnvironment(variable string, number *float64) error {
	text := os.Getenv(variable)
	if text == "" {
		return nil
	}
	parsed, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(parsed) || math.IsInf(parsed, 0) {
		return errors.Errorf("%q in %s is not a number", text, variable)
	}
	*number = parsed
	return nil
}

func (d *decoder) checkGateway(g Gateway) {
	d.require(g.Host.ID != "", "host.id", "is missing")
	d.require(g.Host.DataCentre != "", "host.datacentre", "is missing")
	d.require(g.Capacity.Cores >= 0, "capacity.cores", "must be 0 or more")
	d.require(g.Capacity.LinkMbps >= 0, "capacity.link_mbps", "must be 0 or more")
	d.require(g.Capacity.MemoryMB >= 0, "capacity.memory_mb", "must be 0 or more")
	d.require(g.Capacity.Descriptors >= 0, "capacity.descriptors", "must be 0 or more")
	d.address("listen.callers", g.Listen.Callers)
	d.address("listen.readiness", g.Listen.Readiness)
	d.address("listen.directory", g.Listen.Directory)
	d.address("listen.peers", g.Listen.Peers)
	d.address("listen.metrics", g.Listen.Metrics)
	d.distinct(map[string]string{
		"listen.callers": g.Listen.Callers, "listen.readiness": g.Listen.Readiness,
		"listen.directory": g.Listen.Directory, "listen.peers": g.Listen.Peers, "listen.metrics": g.Listen.Metrics,
	})
	if g.Advertise.Callers != "" {
		d.address("advertise.callers", g.Advertise.Callers)
	}
	if g.Advertise.Peers != "" {
		d.address("advertise.peers", g.Advertise.Peers)
	}
	d.address("store", g.Store)
	d.require(len(g.PeerKey) >= MinPeerKeyBytes, "peer_key", "needs at least %d characters", MinPeerKeyBytes)
	d.require(g.Grace > 0, "grace", "must be above 0s")
	d.require(g.DirectoryTTL > 0, "directory_ttl", "must be above 0s")
	d.require(g.MaxDirectoryTTL >= 0, "max_directory_ttl", "must be 0s or more")
	d.require(time.Duration(g.ChangeDeadline) >= dissemination.MinDeadline, "change_deadline", "must be %s or more", dissemination.MinDeadline)
	d.require(g.Retries.Ratio >= 0 && g.Retries.Ratio <= 1, "retries.ratio", "must be 0 to 1")
	d.require(g.Retries.Extra >= 0, "retries.extra", "must be 0 or more")
	d.require(g.Retries.Window > 0, "retries.window", "must be above 0s")
	d.require(g.Exposure.Share >= 0 && g.Exposure.Share <= 1, "exposure.share", "must be 0 to 1")
	d.require(g.Exposure.Slack >= 0, "exposure.slack", "must be 0 or more")
	d.require(g.LoadBound.Factor >= 1, "load_bound.factor", "must be 1 or more")
	d.require(g.LoadBound.Slack >= 0, "load_bound.slack", "must be 0 or more")
	d.checkDuties(g.Duties)
	d.require(g.Quarantine.TrialsPerHour >= 1 && g.Quarantine.TrialsPerHour <= quarantine.MaxTrials, "quarantine.trials_per_hour", "must be 1 to %d", quarantine.MaxTrials)
	d.require(g.SmallPool.SlotsPerRouter >= 0, "small_pool.slots_per_router", "must be 0 or more")
	d.require(g.SmallPool.MaxSlots >= 0, "small_pool.max_slots", "must be 0 or more")
	d.oneOf("log.level", g.Log.Level, "debug", "info", "warn", "error")
	d.oneOf("log.format", g.Log.Format, "text", "json")
}
