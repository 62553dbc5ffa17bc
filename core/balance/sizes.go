package balance

// Parameters of packing.
const (
	// longReadTokens is the number of tokens to read from which a request holds up short ones that come after it: an engine reads that
	// many in 100 ms.
	longReadTokens = 4096
	// maxPackedTokens bounds what an engine has to read for a further long read to be packed with it: it is the time of 300 ms.
	maxPackedTokens = 12000
)

// pendingBefore returns how many pending tokens of a candidate count for a prompt. With packing, a long read counts none at an engine
// that has little more than one long prompt to read, so that the engines without long reads stay free for short prompts. It is made
// for long prompts beside short ones behind many routers: most of the pending tokens that a router knows of have been read
// meanwhile, and long reads that flee from them are made where short prompts had found nothing to wait for. With fresh loads it
// changes nothing, since the engine with the fewest pending tokens is then the best one for all.
func pendingBefore(c Candidate, prompt Prompt) float64 {
	isLong := c.Uncached-c.Fetchable > longReadTokens
	if prompt.PacksLongReads && prompt.CostGranularity > 0 && isLong && c.PendingPrefill < maxPackedTokens {
		return 0
	}
	return c.PendingPrefill
}
