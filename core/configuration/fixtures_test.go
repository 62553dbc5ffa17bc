package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"agateswitch/core/fleet"
)

func digestOf(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}

func poolItem(name string, revision Revision) Item {
	return Item{
		Key: Key{Kind: KindPool, Name: name}, Revision: revision,
		Value: json.RawMessage(fmt.Sprintf(`{"name":%q,"type":"engine"}`, name)),
	}
}

func contractItem(team, digest string, revision Revision) Item {
	value, err := json.Marshal(Contract{
		Team: fleet.Team(team), KeyDigests: []string{digest}, Pools: []fleet.PoolID{"farrier-lm"},
		RequestsPerSecond: 5, Concurrency: 20, Share: 2, Priority: 3,
	})
	if err != nil {
		panic(err)
	}
	return Item{Key: Key{Kind: KindContract, Name: team}, Revision: revision, Value: value}
}

// snapshotWithContracts returns a snapshot with one pool and count contracts.
func snapshotWithContracts(count int) *Snapshot {
	delta := Delta{To: Revision(count + 1), Items: []Item{poolItem("farrier-lm", 1)}}
	for i := range count {
		team := fmt.Sprintf("team-%04d", i)
		delta.Items = append(delta.Items, contractItem(team, digestOf(team), Revision(i+2)))
	}
	snapshot, _, err := Empty().Apply(delta)
	if err != nil {
		panic(err)
	}
	return snapshot
}
