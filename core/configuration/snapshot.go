package configuration

import (
	"encoding/json"
	"maps"
	"sort"

	"agateswitch/core/fleet"
)

// Snapshot is the configuration in force at one revision. It is immutable once built:
// readers share it without a lock, and each change builds a new one.
type Snapshot struct {
	revision      Revision
	floor         Revision
	items         map[Key]Item
	contracts     map[fleet.Team]Contract
	teamsByDigest map[string]fleet.Team
	pools         map[fleet.PoolID]Pool
	poolsByPrefix map[string]fleet.PoolID
	dataCentres   map[fleet.DataCentre]DataCentre
	moves         map[fleet.PoolID]json.RawMessage
}

// Empty returns a snapshot at revision 0 with no items.
func Empty() *Snapshot {
	return &Snapshot{
		items:         map[Key]Item{},
		contracts:     map[fleet.Team]Contract{},
		teamsByDigest: map[string]fleet.Team{},
		pools:         map[fleet.PoolID]Pool{},
		poolsByPrefix: map[string]fleet.PoolID{},
		dataCentres:   map[fleet.DataCentre]DataCentre{},
		moves:         map[fleet.PoolID]json.RawMessage{},
	}
}

// clone copies the maps; their values are immutable and shared.
func (s *Snapshot) clone() *Snapshot {
	return &Snapshot{
		revision:      s.revision,
		floor:         s.floor,
		items:         maps.Clone(s.items),
		contracts:     maps.Clone(s.contracts),
		teamsByDigest: maps.Clone(s.teamsByDigest),
		pools:         maps.Clone(s.pools),
		poolsByPrefix: maps.Clone(s.poolsByPrefix),
		dataCentres:   maps.Clone(s.dataCentres),
		moves:         maps.Clone(s.moves),
	}
}

// index adds the value of a live item to the indexes.
func (s *Snapshot) index(item Item) error {
	switch item.Key.Kind {
	case KindContract:
		var contract Contract
		if err := json.Unmarshal(item.Value, &contract); err != nil {
			return err
		}
		contract = contract.WithDefaults()
		s.contracts[contract.Team] = contract
		for _, digest := range contract.KeyDigests {
			s.teamsByDigest[digest] = contract.Team
		}
	case KindPool:
		var pool Pool
		if err := json.Unmarshal(item.Value, &pool); err != nil {
			return err
		}
		pool = pool.WithDefaults()
		s.pools[pool.Name] = pool
		if pool.PathPrefix != "" {
			s.poolsByPrefix[pool.PathPrefix] = pool.Name
		}
	case KindDataCentre:
		var dataCentre DataCentre
		if err := json.Unmarshal(item.Value, &dataCentre); err != nil {
			return err
		}
		s.dataCentres[dataCentre.Name] = dataCentre
	case KindMove:
		s.moves[fleet.PoolID(item.Key.Name)] = item.Value
	}
	return nil
}

// unindex removes the current value of an item from the indexes.
func (s *Snapshot) unindex(key Key) {
	switch key.Kind {
	case KindContract:
		team := fleet.Team(key.Name)
		for _, digest := range s.contracts[team].KeyDigests {
			delete(s.teamsByDigest, digest)
		}
		delete(s.contracts, team)
	case KindPool:
		pool := fleet.PoolID(key.Name)
		delete(s.poolsByPrefix, s.pools[pool].PathPrefix)
		delete(s.pools, pool)
	case KindDataCentre:
		delete(s.dataCentres, fleet.DataCentre(key.Name))
	case KindMove:
		delete(s.moves, fleet.PoolID(key.Name))
	}
}

// Revision returns the revision in force.
func (s *Snapshot) Revision() Revision { return s.revision }

// Item returns an item that is not deleted.
func (s *Snapshot) Item(key Key) (Item, bool) {
	item, found := s.items[key]
	return item, found && !item.Deleted
}

// Items returns the items of a kind that are not deleted, in name order.
func (s *Snapshot) Items(kind Kind) []Item {
	var found []Item
	for _, item := range s.items {
		if item.Key.Kind == kind && !item.Deleted {
			found = append(found, item)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key.Name < found[j].Key.Name })
	return found
}

// Contract returns the contract of a team.
func (s *Snapshot) Contract(team fleet.Team) (Contract, bool) {
	contract, found := s.contracts[team]
	return contract, found
}

// TeamByDigest returns the team whose contract contains the hex SHA-256 digest of a key.
func (s *Snapshot) TeamByDigest(digest string) (fleet.Team, bool) {
	team, found := s.teamsByDigest[digest]
	return team, found
}

// Pool returns a pool by its id.
func (s *Snapshot) Pool(id fleet.PoolID) (Pool, bool) {
	pool, found := s.pools[id]
	return pool, found
}

// PoolByPrefix returns the pool of the plain service with a path prefix.
func (s *Snapshot) PoolByPrefix(prefix string) (Pool, bool) {
	id, found := s.poolsByPrefix[prefix]
	if !found {
		return Pool{}, false
	}
	return s.Pool(id)
}

// IsOut reports whether a data centre is taken out of service.
func (s *Snapshot) IsOut(dataCentre fleet.DataCentre) bool { return s.dataCentres[dataCentre].Out }

// DataCentre returns the configuration of a data centre. The zero value means that it is in
// service.
func (s *Snapshot) DataCentre(name fleet.DataCentre) DataCentre { return s.dataCentres[name] }

// Move returns the stored state of a pool's version move.
func (s *Snapshot) Move(pool fleet.PoolID) (json.RawMessage, bool) {
	value, found := s.moves[pool]
	return value, found
}
