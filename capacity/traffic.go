package capacity

// MessageBytes holds message sizes on the wire, the sum of both directions.
type MessageBytes struct {
	// Decision is the request for a grant, its response and the report of the completion.
	Decision float64
	// Draw is a draw from a team's budget and its response.
	Draw float64
	// Report is one load report of an engine.
	Report float64
}

// ServingFleet is the size of the part of a fleet that serves the load.
type ServingFleet struct {
	Routers, Engines float64
	// MaxOwnedEngines is the largest number of engines that one router owns.
	MaxOwnedEngines float64
}

// PlacementTraffic returns the control traffic, in bytes a second, of a router that owns
// MaxOwnedEngines engines. It sums the decisions as owner and as entry, a draw as entry and one as
// budget owner for each request, and one load report a second of each engine.
func PlacementTraffic(requestsPerSecond float64, serving ServingFleet, bytes MessageBytes) float64 {
	asOwner := requestsPerSecond * serving.MaxOwnedEngines / serving.Engines * bytes.Decision
	perEntry := requestsPerSecond / serving.Routers
	asEntry := perEntry * (bytes.Decision + bytes.Draw)
	asBudgetOwner := perEntry * bytes.Draw
	return asOwner + asEntry + asBudgetOwner + serving.MaxOwnedEngines*bytes.Report
}

// ConcurrentStreams returns the number of streams that together produce tokensPerSecond when each
// produces one token per interval, in seconds.
func ConcurrentStreams(tokensPerSecond, interval float64) float64 { return tokensPerSecond * interval }
