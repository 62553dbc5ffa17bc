package configsync

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/port"
)

func mustMarshal(value any) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}

// fill writes a pool and a number of contracts in one transaction, and returns the head's revision.
func (s *fakeStore) fill(contracts int) configuration.Revision {
	items := []configuration.Item{{
		Key: configuration.Key{Kind: configuration.KindPool, Name: "farrier-lm"}, Revision: 1,
		Value: json.RawMessage(`{"name":"farrier-lm","type":"engine"}`),
	}}
	for i := range contracts {
		team := fmt.Sprintf("team-%04d", i)
		items = append(items, configuration.Item{
			Key:      configuration.Key{Kind: configuration.KindContract, Name: team},
			Revision: configuration.Revision(i + 2), Value: contractValue(team),
		})
	}
	var transaction port.Transaction
	for _, item := range items {
		transaction.Writes = append(transaction.Writes, port.Write{Key: itemKey(item.Key), Value: mustMarshal(storedItem{Item: item})})
	}
	last := configuration.Revision(len(items))
	transaction.Writes = append(transaction.Writes, port.Write{Key: headKey, Value: mustMarshal(head{Revision: last})})
	s.write(transaction)
	return last
}

func contractValue(team string) json.RawMessage {
	sum := sha256.Sum256([]byte(team))
	return mustMarshal(configuration.Contract{
		Team: fleet.Team(team), KeyDigests: []string{hex.EncodeToString(sum[:])},
		Pools: []fleet.PoolID{"farrier-lm"}, RequestsPerSecond: 5, Concurrency: 20, Share: 2, Priority: 3,
	})
}
