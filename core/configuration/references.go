package configuration

import (
	"slices"
	"sort"
	"strings"

	"agateswitch/core/fleet"
)

// ValidateDelete checks that an item may be deleted: it exists, and no other item of the
// configuration in force refers to it.
func ValidateDelete(key Key, current *Snapshot) []Problem {
	v := &validator{}
	if _, found := current.Item(key); !found {
		v.require(false, string(key.Kind), "%q does not exist", key.Name)
		return v.problems
	}
	if key.Kind == KindPool {
		teams := current.teamsUsing(fleet.PoolID(key.Name))
		v.require(len(teams) == 0, "name", "contracts name this pool: %s", strings.Join(teams, ", "))
		_, moving := current.Move(fleet.PoolID(key.Name))
		v.require(!moving, "name", "a version move of this pool is stored")
	}
	if key.Kind == KindDataCentre {
		// Without the item the data centre returns at once, without the ramp.
		v.require(!current.IsOut(fleet.DataCentre(key.Name)), "out", "the data centre is out; bring it in first")
	}
	return v.problems
}

// teamsUsing returns the teams whose contract lists a pool, in order.
func (s *Snapshot) teamsUsing(pool fleet.PoolID) []string {
	var teams []string
	for team, contract := range s.contracts {
		if slices.Contains(contract.Pools, pool) {
			teams = append(teams, string(team))
		}
	}
	sort.Strings(teams)
	return teams
}
