// Package claim decides about non-idempotent calls: who may send a call, what a resend is
// told, and how the claims and answers of many calls are grouped into one transaction of
// the platform's key-value service.
//
// Each claim is one key of the service, written on the condition that its revision has
// not changed. That condition is the fence: whichever routers write at the same time,
// paused ones included, one claim of a key succeeds.
package claim

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"agateswitch/core/fleet"

	"github.com/cespare/xxhash/v2"
)

// Shards is the number of claim shards of the fleet. It must be the same on all routers.
const Shards = 32

// Times of keys.
const (
	// Window is how long a key may be used: the age of the time in its UUIDv7.
	Window = 24 * time.Hour
	// MaxClockSkew is how far the time in a key may be ahead of a router's clock.
	MaxClockSkew = 10 * time.Second
	// bucketLength is the step in which old claims are removed.
	bucketLength = 10 * time.Minute
	// removalMargin is kept beyond the window, for routers whose clocks differ.
	removalMargin = time.Hour
)

const storePrefix = "agateswitch/claim/"

// KeyTime returns the time in a UUIDv7 (RFC 9562, section 5.7).
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

// CheckKey refuses a key outside the window: its claim may have been removed, so the
// outcome of earlier calls with it is not known.
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

// ShardOf returns the claim shard of a key, from 0 to Shards-1.
func ShardOf(team fleet.Team, key string) int {
	return int(xxhash.Sum64String(string(team)+"/"+key) % Shards)
}

// ShardName returns the name by which the owners of a shard are ranked.
func ShardName(shard int) string { return fmt.Sprintf("claim/%02d", shard) }

// storeKey places a claim under its shard and the time of its key, so that old claims are
// one range. The claim's key has been checked.
func storeKey(claim fleet.Claim) string {
	keyTime, _ := KeyTime(claim.Key)
	return bucketPrefix(ShardOf(claim.Team, claim.Key), keyTime) + string(claim.Team) + "/" + claim.Key
}

func bucketPrefix(shard int, keyTime time.Time) string {
	bucket := keyTime.UnixMilli() / bucketLength.Milliseconds()
	return fmt.Sprintf("%s%02d/%010d/", storePrefix, shard, bucket)
}

// RemovalRange returns the range of store keys, end excluded, of a shard's claims that no
// call can ask for any more.
func RemovalRange(now time.Time, shard int) (from, to string) {
	return bucketPrefix(shard, time.UnixMilli(0)), bucketPrefix(shard, now.Add(-Window-removalMargin))
}
