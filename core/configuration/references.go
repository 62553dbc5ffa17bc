package configuration

import (
	"slices"
	"sort"
	"strings"

	"agateswitch/core/fleet"
)

// ValidateDelete checks that nothing in force names an item that is to be deleted.
func ValidateDelete(key Key, current *Snapshot) []Problem {
	c := &checker{}
	if _, found := current.Item(key); !found {
		c.require(false, string(key.Kind), "%q does not exist", key.Name)
		return c.problems
	}
	if key.Kind == KindPool {
		teams := current.teamsOf(fleet.PoolID(key.Name))
		c.require(len(teams) == 0, "name", "contracts name this pool: %s", strings.Join(teams, ", "))
		_, moving := current.Move(fleet.PoolID(key.Name))
		c.require(!moving, "name", "a version move of this pool is stored")
	}
	if key.Kind == KindDataCentre {
		// Deleting would bring it back at once, without the ramp.
		c.require(!current.IsOut(fleet.DataCentre(key.Name)), "out", "the data centre is out; bring it in first")
	}
	return c.problems
}

func (s *Snapshot) teamsOf(pool fleet.PoolID) []string {
	var teams []string
	for team, contract := range s.contracts {
		if slices.Contains(contract.Pools, pool) {
			teams = append(teams, string(team))
		}
	}
	sort.Strings(teams)
	return teams
}
