package settings

import (
	"os"
	"time"

	"github.com/juju/errors"
)

// Gateway is the settings file of a router that routes by host and path.
type Gateway struct {
	Host   Host          `json:"host"`
	Listen GatewayListen `json:"listen"`
	// Store is the ip:port of the platform's key-value service.
	Store string `json:"store"`
	// PeerKey proves that a process is a router of the fleet. At least 32 characters, the
	// same on every router.
	PeerKey string `json:"peer_key"`
	// FirstStart is true when the whole system starts for the first time, so that nothing is
	// known anywhere that a router could learn. Default: false.
	FirstStart bool `json:"first_start"`
	// Grace is how long the process may go on after SIGTERM.
	Grace Duration `json:"grace"`
	// DirectoryTTL is how long callers may keep an answer of the directory. Default: 2s.
	DirectoryTTL Duration `json:"directory_ttl"`
	// MaxDirectoryTTL is the longest that callers heed.
	MaxDirectoryTTL Duration    `json:"max_directory_ttl"`
	Retries         RetryLimits `json:"retries"`
	// Exposure bounds what a version gets before it has shown that it is good.
	Exposure Exposure `json:"exposure"`
	Log      Log      `json:"log"`
}

// GatewayListen holds the ip:port addresses that the router serves on.
type GatewayListen struct {
	Callers string `json:"callers"`
	// Readiness is where the platform asks whether the router takes callers.
	Readiness string `json:"readiness"`
	// Directory is where callers ask which routers to use.
	Directory string `json:"directory"`
	Peers     string `json:"peers"`
	Metrics   string `json:"metrics"`
}

// RetryLimits bound the retries of the whole fleet for one pool.
type RetryLimits struct {
	// Ratio is the share of a window's requests that may be retries. Range: 0 to 1.
	Ratio float64 `json:"ratio"`
	// Extra is how many retries more a window may hold.
	Extra float64 `json:"extra"`
	// Window is the length of the window.
	Window Duration `json:"window"`
}

// Exposure bounds the requests of a new version, over the whole fleet.
type Exposure struct {
	// Share of a pool's requests since the order. Range: 0 to 1. Default: 0.1.
	Share float64 `json:"share"`
	// Slack is how many requests more. Default: 50.
	Slack float64 `json:"slack"`
}

// DefaultExposure is the users' bound.
var DefaultExposure = Exposure{Share: 0.1, Slack: 50}

// DefaultDirectoryTTL makes callers leave a lost router within seconds, at one question of each
// caller in two seconds.
const DefaultDirectoryTTL = 2 * time.Second

// LoadGateway reads and checks a file. It returns either usable settings or every problem found.
func LoadGateway(path string) (Gateway, []Problem, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Gateway{}, nil, errors.Annotate(err, "reading the settings")
	}
	parsed, problems := ParseGateway(path, content)
	return parsed, problems, nil
}

// ParseGateway checks the content of a settings file.
func ParseGateway(name string, content []byte) (Gateway, []Problem) {
	parsed := Gateway{
		Log: Log{Level: "info", Format: "text"}, DirectoryTTL: Duration(DefaultDirectoryTTL), Exposure: DefaultExposure,
	}
	d := decode(name, content, &parsed)
	if d.broken {
		return Gateway{}, d.problems
	}
	d.checkGateway(parsed)
	return parsed, d.problems
}

func (d *decoder) checkGateway(g Gateway) {
	d.require(g.Host.ID != "", "host.id", "is missing")
	d.require(g.Host.DataCentre != "", "host.datacentre", "is missing")
	d.address("listen.callers", g.Listen.Callers)
	d.address("listen.readiness", g.Listen.Readiness)
	d.address("listen.directory", g.Listen.Directory)
	d.address("listen.peers", g.Listen.Peers)
	d.address("listen.metrics", g.Listen.Metrics)
	d.distinct(map[string]string{
		"listen.callers": g.Listen.Callers, "listen.readiness": g.Listen.Readiness,
		"listen.directory": g.Listen.Directory, "listen.peers": g.Listen.Peers, "listen.metrics": g.Listen.Metrics,
	})
	d.address("store", g.Store)
	d.require(len(g.PeerKey) >= MinPeerKeyBytes, "peer_key", "needs at least %d characters", MinPeerKeyBytes)
	d.require(g.Grace > 0, "grace", "must be above 0s")
	d.require(g.DirectoryTTL > 0, "directory_ttl", "must be above 0s")
	d.require(g.MaxDirectoryTTL >= 0, "max_directory_ttl", "must be 0s or more")
	d.require(g.Retries.Ratio >= 0 && g.Retries.Ratio <= 1, "retries.ratio", "must be 0 to 1")
	d.require(g.Retries.Extra >= 0, "retries.extra", "must be 0 or more")
	d.require(g.Retries.Window > 0, "retries.window", "must be above 0s")
	d.require(g.Exposure.Share >= 0 && g.Exposure.Share <= 1, "exposure.share", "must be 0 to 1")
	d.require(g.Exposure.Slack >= 0, "exposure.slack", "must be 0 or more")
	d.oneOf("log.level", g.Log.Level, "debug", "info", "warn", "error")
	d.oneOf("log.format", g.Log.Format, "text", "json")
}
