package configuration

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault found in an item. All faults of an item are reported together.
type Problem struct {
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String returns "field: message".
func (p Problem) String() string { return p.Field + ": " + p.Message }

// Ranges of options.
const (
	maxPriority         = 9
	maxNameLength       = 63
	maxRequestsPerSec   = 1e6
	maxMillis           = 600_000
	maxBoundFactor      = 10
	sha256HexLength     = 64
	maxConcurrencyLimit = 1_000_000
)

type checker struct{ problems []Problem }

func (c *checker) require(ok bool, field, format string, args ...any) {
	if !ok {
		c.problems = append(c.problems, Problem{Field: field, Message: fmt.Sprintf(format, args...)})
	}
}

// ValidateItem decodes and checks a value of a kind against the configuration in force.
// It returns every problem at once; an empty result means that the value may be accepted.
func ValidateItem(key Key, value json.RawMessage, current *Snapshot) []Problem {
	c := &checker{}
	switch key.Kind {
	case KindContract:
		c.contract(key, value, current)
	case KindPool:
		c.pool(key, value, current)
	case KindDataCentre:
		c.dataCentre(key, value)
	case KindMove:
		c.require(json.Valid(value), "move", "is not valid JSON")
	default:
		c.require(false, "kind", "%q is not one of contract, pool, datacentre, move", key.Kind)
	}
	return c.problems
}

func (c *checker) decode(value json.RawMessage, into any) bool {
	decoder := json.NewDecoder(strings.NewReader(string(value)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		c.require(false, "", "%s", strings.TrimPrefix(err.Error(), "json: "))
		return false
	}
	return true
}

func (c *checker) name(field, name, keyName string) {
	c.require(name != "", field, "is missing")
	c.require(len(name) <= maxNameLength, field, "is longer than %d characters", maxNameLength)
	c.require(!strings.ContainsAny(name, "/ \t\n"), field, "may not hold slashes or blanks")
	c.require(name == keyName, field, "is %q but the item is named %q", name, keyName)
}

func (c *checker) contract(key Key, value json.RawMessage, current *Snapshot) {
	var contract Contract
	if !c.decode(value, &contract) {
		return
	}
	c.name("team", string(contract.Team), key.Name)
	c.require(len(contract.KeyDigests) > 0, "key_digests", "needs at least one SHA-256 digest")
	for i, digest := range contract.KeyDigests {
		field := fmt.Sprintf("key_digests[%d]", i)
		_, err := hex.DecodeString(digest)
		c.require(err == nil && len(digest) == sha256HexLength && digest == strings.ToLower(digest), field,
			"is not %d lower-case hex digits (SHA-256)", sha256HexLength)
		owner, used := current.TeamByDigest(digest)
		c.require(!used || owner == contract.Team, field, "already belongs to team %q", owner)
		c.require(!slices.Contains(contract.KeyDigests[:i], digest), field, "is given twice")
	}
	c.require(len(contract.Pools) > 0, "pools", "needs at least one pool")
	for i, pool := range contract.Pools {
		_, found := current.Pool(pool)
		c.require(found, fmt.Sprintf("pools[%d]", i), "pool %q does not exist", pool)
		c.require(!slices.Contains(contract.Pools[:i], pool), fmt.Sprintf("pools[%d]", i), "pool %q is given twice", pool)
	}
	c.require(contract.RequestsPerSecond > 0 && contract.RequestsPerSecond <= maxRequestsPerSec,
		"requests_per_second", "must be above 0 and at most %g", float64(maxRequestsPerSec))
	c.require(contract.Burst >= 0 && contract.Burst <= maxConcurrencyLimit, "burst", "must be 0 to %d", maxConcurrencyLimit)
	c.require(contract.Concurrency >= 0 && contract.Concurrency <= maxConcurrencyLimit,
		"concurrency", "must be 0 to %d", maxConcurrencyLimit)
	c.require(contract.Share >= 0, "share", "may not be negative")
	c.require(contract.Priority >= 0 && contract.Priority <= maxPriority, "priority", "must be 0 to %d", maxPriority)
	c.require(contract.FirstTokenMillis >= 0 && contract.FirstTokenMillis <= maxMillis,
		"first_token_ms", "must be 0 to %d milliseconds", maxMillis)
	c.require(contract.SilenceMillis >= 0 && contract.SilenceMillis <= maxMillis,
		"silence_ms", "must be 0 to %d milliseconds", maxMillis)
}

func (c *checker) pool(key Key, value json.RawMessage, current *Snapshot) {
	var pool Pool
	if !c.decode(value, &pool) {
		return
	}
	c.name("name", string(pool.Name), key.Name)
	c.require(pool.Type == PoolEngine || pool.Type == PoolService, "type", "must be engine or service, not %q", pool.Type)
	c.require(pool.BoundFactor == 0 || (pool.BoundFactor > 1 && pool.BoundFactor <= maxBoundFactor),
		"bound_factor", "must be above 1 and at most %d", maxBoundFactor)
	c.require(pool.ColdConcurrency >= 0, "cold_concurrency", "may not be negative")
	c.require(pool.MaxConcurrency >= 0, "max_concurrency", "may not be negative")
	if pool.Type == PoolService {
		c.require(pool.PathPrefix != "", "path_prefix", "is missing for a service")
		other, used := current.PoolByPrefix(pool.PathPrefix)
		c.require(!used || other.Name == pool.Name, "path_prefix", "already belongs to pool %q", other.Name)
	}
	if pool.Type == PoolEngine {
		c.require(pool.PathPrefix == "", "path_prefix", "is for services only")
		c.require(len(pool.NonIdempotent) == 0, "non_idempotent", "is for services only")
	}
	c.require(!strings.Contains(pool.PathPrefix, "/"), "path_prefix", "is one path segment without slashes")
	c.require(pool.PathPrefix != "v1", "path_prefix", "v1 is taken by the router itself")
	for i, rule := range pool.NonIdempotent {
		field := fmt.Sprintf("non_idempotent[%d]", i)
		method, path, ok := strings.Cut(rule, " ")
		c.require(ok && isMethod(method) && strings.HasPrefix(path, "/") && !strings.ContainsAny(path, " ?#"),
			field, `%q is not "METHOD /path" with an upper-case method and no query`, rule)
		c.require(!slices.Contains(pool.NonIdempotent[:i], rule), field, "%q is given twice", rule)
	}
}

// isMethod tells whether text can be a standard HTTP method, which is upper-case letters.
func isMethod(text string) bool {
	return text != "" && strings.Trim(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == ""
}

func (c *checker) dataCentre(key Key, value json.RawMessage) {
	var dataCentre DataCentre
	if !c.decode(value, &dataCentre) {
		return
	}
	c.name("name", string(dataCentre.Name), key.Name)
	c.require(dataCentre.ChangedMillis >= 0, "changed_ms", "may not be negative")
	c.require(dataCentre.RampSeconds >= 0 && dataCentre.RampSeconds <= MaxRampSeconds,
		"ramp_seconds", "must be 0 to %d seconds", MaxRampSeconds)
}
