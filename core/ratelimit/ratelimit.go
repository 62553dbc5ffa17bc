// Package ratelimit keeps the rate limits that upstreams state in their answers, and divides each of them
// among the requests of all routers. An upstream states how many requests per second it takes from all
// routers together, and may state another number, or none, in each answer.
package ratelimit

import "math"

// Bounds of a limit, in requests per second.
const (
	// MinPerSecond is in force for an upstream that states less. Only the answer to a request shows that a
	// limit has ended.
	MinPerSecond = 0.1
	// MaxPerSecond is the largest number that is a limit. An upstream that states more takes all requests.
	MaxPerSecond = 100_000
)

// Clamp returns the limit that is in force for a stated number, or false if the number is none.
func Clamp(stated float64) (perSecond float64, usable bool) {
	if math.IsNaN(stated) || stated < 0 || stated > MaxPerSecond {
		return 0, false
	}
	return max(stated, MinPerSecond), true
}
