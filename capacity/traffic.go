package capacity

// MessageBytes are sizes on the wire, both directions together.
type MessageBytes struct {
	// Decision is a question for a grant, its answer and the report of the end.
	Decision float64
	// Draw is a draw from a team's budget and its answer.
	Draw float64
	// Report is one reading of an engine's load.
	Report float64
}

// Part of a fleet that carries the load.
type Part struct {
	Routers, Engines float64
	// MostEngines are those of the router that owns the most.
	MostEngines float64
}

// PlacementTraffic is the control traffic of a router that owns one shard of the given
// engines, in bytes a second: its decisions as owner and as entry, with a draw for each
// request, and one load report of each engine a second.
func PlacementTraffic(requestsPerSecond float64, part Part, bytes MessageBytes) float64 {
	asOwner := requestsPerSecond * part.MostEngines / part.Engines * bytes.Decision
	perEntry := requestsPerSecond / part.Routers
	asEntry := perEntry * (bytes.Decision + bytes.Draw)
	asBudgetOwner := perEntry * bytes.Draw
	return asOwner + asEntry + asBudgetOwner + part.MostEngines*bytes.Report
}

// Streams are the requests that run at once when a token comes each interval, in seconds.
func Streams(tokensPerSecond, interval float64) float64 { return tokensPerSecond * interval }
