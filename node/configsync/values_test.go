package configsync

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
)

func contractValue(team string) json.RawMessage {
	sum := sha256.Sum256([]byte(team))
	value, err := json.Marshal(configuration.Contract{
		Team: fleet.Team(team), KeyDigests: []string{hex.EncodeToString(sum[:])},
		Pools: []fleet.PoolID{"farrier-lm"}, RequestsPerSecond: 5, Concurrency: 20, Share: 2, Priority: 3,
	})
	if err != nil {
		panic(err)
	}
	return value
}
