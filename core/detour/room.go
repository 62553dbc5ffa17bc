package detour

// Limits of what a router does for others. What it does for its own callers has no limit here, so these bound the
// share of the host that a cut of others may take.
const (
	// requestsPerCore is how many requests of other routers one core has in work at most.
	requestsPerCore = 1000
	// minRequests is the limit on hosts with little processor time, or an unknown share of it.
	minRequests = 128
	// leastUrgentShare is the part of the limit that the least urgent requests may use.
	leastUrgentShare = 0.5
	lowestRank       = 9
)

// Limit returns how many requests of other routers a host with a number of cores has in work at most.
func Limit(cores float64) int { return max(minRequests, int(cores*requestsPerCore)) }

// HasRoom reports whether a request of a rank, of which zero is the most urgent, may be added to those of other routers
// in work.
func HasRoom(inWork, limit, rank int) bool {
	share := 1 - (1-leastUrgentShare)*float64(min(max(rank, 0), lowestRank))/lowestRank
	return float64(inWork) < share*float64(limit)
}
