// Package examples holds two example configurations, for the demo and for tests.
package examples

import (
	"embed"
	"encoding/json"
	"io/fs"
	"path"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"

	"github.com/juju/errors"
	"github.com/tailscale/hujson"
)

//go:embed hoofline blue-mahoe
var files embed.FS

// Names of the examples.
const (
	Hoofline  = "hoofline"
	BlueMahoe = "blue-mahoe"
)

// Topology describes the hosts that the demo starts and the service paths that it calls.
type Topology struct {
	Region      fleet.Region       `json:"region"`
	DataCentres []fleet.DataCentre `json:"datacentres"`
	// Upstreams is the number of upstreams of each pool.
	Upstreams map[fleet.PoolID]int `json:"upstreams"`
	// ReadPath and NonIdempotentPath are paths of the plain service that the demo calls.
	ReadPath          string `json:"read_path"`
	NonIdempotentPath string `json:"once_path"`
}

// Example is one user's configuration.
type Example struct {
	Name      string
	Topology  Topology
	Pools     []configuration.Pool
	Contracts []configuration.Contract
}

// Key returns the bearer key of a team in the examples.
func Key(team fleet.Team) string { return "demo-" + string(team) }

// Load reads an example.
func Load(name string) (Example, error) {
	var example Example
	if _, err := fs.Stat(files, name); err != nil {
		return example, errors.Errorf("no example %q; there are %s and %s", name, Hoofline, BlueMahoe)
	}
	if err := read(path.Join(name, "demo.jsonc"), &example.Topology); err != nil {
		return example, err
	}
	pools, err := readAll[configuration.Pool](path.Join(name, "pools"))
	if err != nil {
		return example, err
	}
	contracts, err := readAll[configuration.Contract](path.Join(name, "contracts"))
	if err != nil {
		return example, err
	}
	example.Name, example.Pools, example.Contracts = name, pools, contracts
	return example, nil
}

func readAll[T any](folder string) ([]T, error) {
	entries, err := files.ReadDir(folder)
	if err != nil {
		return nil, errors.Trace(err)
	}
	values := make([]T, len(entries))
	for i, entry := range entries {
		if err := read(path.Join(folder, entry.Name()), &values[i]); err != nil {
			return nil, err
		}
	}
	return values, nil
}

func read(file string, into any) error {
	content, err := files.ReadFile(file)
	if err != nil {
		return errors.Trace(err)
	}
	standard, err := hujson.Standardize(content)
	if err != nil {
		return errors.Annotate(err, file)
	}
	return errors.Annotate(json.Unmarshal(standard, into), file)
}
