// Package claim ensures that a non-idempotent call runs at most once. It decides which request
// may send a call and what a resend of the call receives, and it groups the claims and answers
// of many calls into one transaction of the platform's key-value service.
//
// Each claim is one key of the service, written on the condition that its revision has not
// changed. The condition acts as a fence: if several routers, paused ones included, write the
// same key concurrently, exactly one claim succeeds.
package claim

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"agateswitch/core/fleet"

	"github.com/cespare/xxhash/v2"
)

// ShardCount is the number of claim shards of the fleet. It must be the same on all routers.
const ShardCount = 32

// Lifetimes of idempotency keys and their claims.
const (
	// Window is the maximum age of a usable key, by the timestamp in its UUIDv7.
	Window = 24 * time.Hour
	// MaxClockSkew is how far a key's timestamp may be ahead of a router's clock.
	MaxClockSkew = 10 * time.Second
	// bucketDuration is the granularity at which expired claims are removed.
	bucketDuration = 10 * time.Minute
	// removalMargin is how long claims are kept beyond the window, because routers' clocks differ.
	removalMargin = time.Hour
)

const storePrefix = "agateswitch/claim/"

// KeyTime returns the timestamp of a UUIDv7 (RFC 9562, section 5.7). It returns false if the
// key is not a UUIDv7.
func KeyTime(key string) (time.Time, bool) {
	const uuidBytes, timeBytes = 16, 6
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != uuidBytes || raw[timeBytes]>>4 != 7 {
		return time.Time{}, false
	}
	var millis int64
	for _, octet := range raw[:timeBytes] {
		millis = millis<<8 | int64(octet)
	}
	return time.UnixMilli(millis), true
}

// CheckKey returns a refusal for a key outside the window. The key's claim may have been
// removed, so the outcome of earlier calls with it is unknown.
func CheckKey(now time.Time, key string) *fleet.Refusal {
	keyTime, ok := KeyTime(key)
	switch {
	case !ok:
		return fleet.RefuseUnknown(fleet.CodeBadRequest, "the idempotency key is not a UUIDv7")
	case keyTime.Before(now.Add(-Window)):
		return fleet.RefuseUnknown(fleet.CodeOutcomeUnknown,
			"the idempotency key is older than "+Window.String()+"; what came of earlier calls with it is no longer known")
	case keyTime.After(now.Add(MaxClockSkew)):
		return fleet.RefuseUnknown(fleet.CodeOutcomeUnknown,
			"the time in the idempotency key is more than "+MaxClockSkew.String()+" ahead of the router's clock")
	}
	return nil
}

// ShardOf returns the claim shard of a key, from 0 to ShardCount-1.
func ShardOf(team fleet.Team, key string) int {
	return int(xxhash.Sum64String(string(team)+"/"+key) % ShardCount)
}

// ShardName returns a shard's name, which rendezvous hashing uses to rank the shard's owners.
func ShardName(shard int) string { return fmt.Sprintf("claim/%02d", shard) }

// storeKey returns the store key of a claim. It orders claims by shard and by the key's
// timestamp, so that the expired claims of a shard form one range. The claim's key must have
// passed CheckKey.
func storeKey(claim fleet.Claim) string {
	keyTime, _ := KeyTime(claim.Key)
	return bucketPrefix(ShardOf(claim.Team, claim.Key), keyTime) + string(claim.Team) + "/" + claim.Key
}

// bucketPrefix returns the prefix of the store keys of a shard's claims in one time bucket.
func bucketPrefix(shard int, keyTime time.Time) string {
	bucket := keyTime.UnixMilli() / bucketDuration.Milliseconds()
	return fmt.Sprintf("%s%02d/%010d/", storePrefix, shard, bucket)
}

// RemovalRange returns the range [from, to) of store keys that holds a shard's expired claims.
// CheckKey refuses every call that could read them.
func RemovalRange(now time.Time, shard int) (from, to string) {
	return bucketPrefix(shard, time.UnixMilli(0)), bucketPrefix(shard, now.Add(-Window-removalMargin))
}
