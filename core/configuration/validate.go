package configuration

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// Problem is one fault of an item. All faults of an item are reported together.
type Problem struct {
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String returns "field: message".
func (p Problem) String() string { return p.Field + ": " + p.Message }

// Limits of options.
const (
	maxPriority          = 9
	maxNameLength        = 63
	maxRequestsPerSecond = 1e6
	maxTimeoutMillis     = 600_000
	maxBoundFactor       = 10
	sha256HexLength      = 64
	maxRequestCount      = 1_000_000
)

// validator collects the problems of one item.
type validator struct{ problems []Problem }

// require records a problem of a field unless ok holds.
func (v *validator) require(ok bool, field, format string, args ...any) {
	if !ok {
		v.problems = append(v.problems, Problem{Field: field, Message: fmt.Sprintf(format, args...)})
	}
}

// ValidateItem decodes and checks a value of a kind against the configuration in force.
// It returns all problems; an empty result means that the value may be accepted.
func ValidateItem(key Key, value json.RawMessage, current *Snapshot) []Problem {
	v := &validator{}
	switch key.Kind {
	case KindContract:
		v.validateContract(key, value, current)
	case KindPool:
		v.validatePool(key, value, current)
	case KindDataCentre:
		v.validateDataCentre(key, value)
	case KindMove:
		v.require(json.Valid(value), "move", "is not valid JSON")
	default:
		v.require(false, "kind", "%q is not one of contract, pool, datacentre, move", key.Kind)
	}
	return v.problems
}

// decode decodes a value strictly, and reports whether it succeeded.
func (v *validator) decode(value json.RawMessage, into any) bool {
	decoder := json.NewDecoder(strings.NewReader(string(value)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		v.require(false, "", "%s", strings.TrimPrefix(err.Error(), "json: "))
		return false
	}
	return true
}

func (v *validator) validateName(field, name, keyName string) {
	v.require(name != "", field, "is missing")
	v.require(len(name) <= maxNameLength, field, "is longer than %d characters", maxNameLength)
	v.require(!strings.ContainsAny(name, "/ \t\n"), field, "may not hold slashes or blanks")
	v.require(name == keyName, field, "is %q but the item is named %q", name, keyName)
}

func (v *validator) validateContract(key Key, value json.RawMessage, current *Snapshot) {
	var contract Contract
	if !v.decode(value, &contract) {
		return
	}
	v.validateName("team", string(contract.Team), key.Name)
	v.require(len(contract.KeyDigests) > 0, "key_digests", "needs at least one SHA-256 digest")
	for i, digest := range contract.KeyDigests {
		field := fmt.Sprintf("key_digests[%d]", i)
		_, err := hex.DecodeString(digest)
		v.require(err == nil && len(digest) == sha256HexLength && digest == strings.ToLower(digest), field,
			"is not %d lower-case hex digits (SHA-256)", sha256HexLength)
		owner, used := current.TeamByDigest(digest)
		v.require(!used || owner == contract.Team, field, "already belongs to team %q", owner)
		v.require(!slices.Contains(contract.KeyDigests[:i], digest), field, "is given twice")
	}
	v.require(len(contract.Pools) > 0, "pools", "needs at least one pool")
	for i, pool := range contract.Pools {
		_, found := current.Pool(pool)
		v.require(found, fmt.Sprintf("pools[%d]", i), "pool %q does not exist", pool)
		v.require(!slices.Contains(contract.Pools[:i], pool), fmt.Sprintf("pools[%d]", i), "pool %q is given twice", pool)
	}
	v.require(contract.RequestsPerSecond > 0 && contract.RequestsPerSecond <= maxRequestsPerSecond,
		"requests_per_second", "must be above 0 and at most %g", float64(maxRequestsPerSecond))
	v.require(contract.Burst >= 0 && contract.Burst <= maxRequestCount, "burst", "must be 0 to %d", maxRequestCount)
	v.require(contract.Concurrency >= 0 && contract.Concurrency <= maxRequestCount,
		"concurrency", "must be 0 to %d", maxRequestCount)
	v.require(contract.Share >= 0, "share", "may not be negative")
	v.require(contract.Priority >= 0 && contract.Priority <= maxPriority, "priority", "must be 0 to %d", maxPriority)
	v.require(contract.FirstTokenMillis >= 0 && contract.FirstTokenMillis <= maxTimeoutMillis,
		"first_token_ms", "must be 0 to %d milliseconds", maxTimeoutMillis)
	v.require(contract.SilenceTimeoutMillis >= 0 && contract.SilenceTimeoutMillis <= maxTimeoutMillis,
		"silence_ms", "must be 0 to %d milliseconds", maxTimeoutMillis)
}

func (v *validator) validatePool(key Key, value json.RawMessage, current *Snapshot) {
	var pool Pool
	if !v.decode(value, &pool) {
		return
	}
	v.validateName("name", string(pool.Name), key.Name)
	v.require(pool.Type == PoolEngine || pool.Type == PoolService, "type", "must be engine or service, not %q", pool.Type)
	v.require(pool.BoundFactor == 0 || (pool.BoundFactor > 1 && pool.BoundFactor <= maxBoundFactor),
		"bound_factor", "must be above 1 and at most %d", maxBoundFactor)
	v.require(pool.ColdConcurrency >= 0, "cold_concurrency", "may not be negative")
	v.require(pool.MaxConcurrency >= 0, "max_concurrency", "may not be negative")
	if pool.Type == PoolService {
		v.require(pool.PathPrefix != "", "path_prefix", "is missing for a service")
		other, used := current.PoolByPrefix(pool.PathPrefix)
		v.require(!used || other.Name == pool.Name, "path_prefix", "already belongs to pool %q", other.Name)
	}
	if pool.Type == PoolEngine {
		v.require(pool.PathPrefix == "", "path_prefix", "is for services only")
		v.require(len(pool.NonIdempotent) == 0, "non_idempotent", "is for services only")
	}
	v.require(!strings.Contains(pool.PathPrefix, "/"), "path_prefix", "is one path segment without slashes")
	v.require(pool.PathPrefix != "v1", "path_prefix", "v1 is taken by the router itself")
	for i, rule := range pool.NonIdempotent {
		field := fmt.Sprintf("non_idempotent[%d]", i)
		method, path, ok := strings.Cut(rule, " ")
		v.require(ok && isMethod(method) && strings.HasPrefix(path, "/") && !strings.ContainsAny(path, " ?#"),
			field, `%q is not "METHOD /path" with an upper-case method and no query`, rule)
		v.require(!slices.Contains(pool.NonIdempotent[:i], rule), field, "%q is given twice", rule)
	}
}

// isMethod reports whether text has the form of a standard HTTP method: upper-case letters only.
func isMethod(text string) bool {
	return text != "" && strings.Trim(text, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") == ""
}

func (v *validator) validateDataCentre(key Key, value json.RawMessage) {
	var dataCentre DataCentre
	if !v.decode(value, &dataCentre) {
		return
	}
	v.validateName("name", string(dataCentre.Name), key.Name)
	v.require(dataCentre.ChangedMillis >= 0, "changed_ms", "may not be negative")
	v.require(dataCentre.RampSeconds >= 0 && dataCentre.RampSeconds <= MaxRampSeconds,
		"ramp_seconds", "must be 0 to %d seconds", MaxRampSeconds)
}
