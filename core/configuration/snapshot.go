package configuration

import (
	"encoding/json"
	"fmt"
	"sort"

	"agateswitch/core/fleet"
)

// Snapshot is the configuration in force at one revision. It is immutable after
// building: readers share it without a lock, and a change builds a new one.
type Snapshot struct {
	revision  Revision
	items     map[Key]Item
	contracts map[fleet.Team]Contract
	byDigest  map[string]fleet.Team
	pools     map[fleet.PoolID]Pool
	byPrefix  map[string]fleet.PoolID
	out       map[fleet.DataCentre]bool
	moves     map[fleet.PoolID]json.RawMessage
}

// Delta carries every item above revision From, up to To.
type Delta struct {
	From  Revision `json:"from"`
	To    Revision `json:"to"`
	Items []Item   `json:"items"`
}

// Empty returns a snapshot at revision 0 with no items.
func Empty() *Snapshot {
	snapshot, _ := build(0, nil)
	return snapshot
}

// Apply returns the snapshot after the delta. A delta that leads no further than the
// snapshot, or that starts above it, changes nothing and returns false: an applied
// revision never goes down and never skips a change.
func (s *Snapshot) Apply(delta Delta) (*Snapshot, bool, error) {
	if delta.To <= s.revision || delta.From > s.revision {
		return s, false, nil
	}
	items := make(map[Key]Item, len(s.items)+len(delta.Items))
	for key, item := range s.items {
		items[key] = item
	}
	for _, item := range delta.Items {
		if item.Revision > items[item.Key].Revision {
			items[item.Key] = item
		}
	}
	next, err := build(delta.To, items)
	if err != nil {
		return s, false, err
	}
	return next, true, nil
}

func build(revision Revision, items map[Key]Item) (*Snapshot, error) {
	s := &Snapshot{
		revision:  revision,
		items:     items,
		contracts: map[fleet.Team]Contract{},
		byDigest:  map[string]fleet.Team{},
		pools:     map[fleet.PoolID]Pool{},
		byPrefix:  map[string]fleet.PoolID{},
		out:       map[fleet.DataCentre]bool{},
		moves:     map[fleet.PoolID]json.RawMessage{},
	}
	for _, item := range items {
		if item.Deleted {
			continue
		}
		if err := s.index(item); err != nil {
			return nil, fmt.Errorf("item %s: %w", item.Key, err)
		}
	}
	return s, nil
}

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
			s.byDigest[digest] = contract.Team
		}
	case KindPool:
		var pool Pool
		if err := json.Unmarshal(item.Value, &pool); err != nil {
			return err
		}
		pool = pool.WithDefaults()
		s.pools[pool.Name] = pool
		if pool.PathPrefix != "" {
			s.byPrefix[pool.PathPrefix] = pool.Name
		}
	case KindDataCentre:
		var dataCentre DataCentre
		if err := json.Unmarshal(item.Value, &dataCentre); err != nil {
			return err
		}
		s.out[dataCentre.Name] = dataCentre.Out
	case KindMove:
		s.moves[fleet.PoolID(item.Key.Name)] = item.Value
	}
	return nil
}

// Revision returns the revision in force.
func (s *Snapshot) Revision() Revision { return s.revision }

// Since returns the delta from a revision to the one in force, in key order.
func (s *Snapshot) Since(from Revision) Delta {
	delta := Delta{From: from, To: s.revision}
	for _, item := range s.items {
		if item.Revision > from {
			delta.Items = append(delta.Items, item)
		}
	}
	sort.Slice(delta.Items, func(i, j int) bool {
		return delta.Items[i].Key.String() < delta.Items[j].Key.String()
	})
	return delta
}

// Item returns one live item.
func (s *Snapshot) Item(key Key) (Item, bool) {
	item, found := s.items[key]
	return item, found && !item.Deleted
}

// Items returns the live items of a kind in name order.
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

// TeamByDigest returns the team whose contract holds the hex SHA-256 digest of a key.
func (s *Snapshot) TeamByDigest(digest string) (fleet.Team, bool) {
	team, found := s.byDigest[digest]
	return team, found
}

// Pool returns a pool.
func (s *Snapshot) Pool(id fleet.PoolID) (Pool, bool) {
	pool, found := s.pools[id]
	return pool, found
}

// PoolByPrefix returns the plain service reached under a path prefix.
func (s *Snapshot) PoolByPrefix(prefix string) (Pool, bool) {
	id, found := s.byPrefix[prefix]
	if !found {
		return Pool{}, false
	}
	return s.Pool(id)
}

// IsOut tells whether a data centre is taken out.
func (s *Snapshot) IsOut(dataCentre fleet.DataCentre) bool { return s.out[dataCentre] }

// Move returns the stored state of a pool's version move.
func (s *Snapshot) Move(pool fleet.PoolID) (json.RawMessage, bool) {
	value, found := s.moves[pool]
	return value, found
}
