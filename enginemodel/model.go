// Package enginemodel models a pool of model engines behind many routers, in virtual time, to compare
// policies of placement on one load without a network. Its parameters are the figures that users state of
// their engines and traffic.
//
// What it leaves out:
//
//	routers           a request takes no time to pass one; all know loads and caches equally late
//	links             no delay, no bandwidth; nothing is lost on the way
//	engines           no preemption, no copies of caches, no admission by rank; one speed for all but for Noise
//	                  a running request takes no memory, so that only cached parts are evicted
//	callers           they do not come back after a refusal, and wait for the first event until their deadline
//	retries           a request that an engine turns away is sent to one more
package enginemodel

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Engine holds the figures of one engine.
type Engine struct {
	// Slots is how many requests run in a batch, and Queue how many more wait before one is turned away.
	Slots, Queue int
	// StepTime is the time of a step that makes one token for each running request, and StepTimePerRequest
	// what each of them adds.
	StepTime, StepTimePerRequest time.Duration
	// PrefillTokensPerMs is how many prompt tokens it reads in a millisecond, in chunks of ChunkTokens between
	// steps.
	PrefillTokensPerMs float64
	ChunkTokens        int
	// CacheTokens is how many tokens of prompt parts it keeps.
	CacheTokens int
	// EventTokens is the number of tokens in an event of a stream.
	EventTokens int
	// ReadsShortFirst is true if it reads the prompt with the fewest tokens left first, and false if the one that came first.
	ReadsShortFirst bool
}

// Part describes the parts that prompts of a kind share.
type Part struct {
	// Tokens is the mean length of such a part, and Things how many different ones there are.
	Tokens, Things int
}

// Kind is a kind of request.
type Kind struct {
	Name string
	// Rate is the number of requests per second.
	Rate float64
	// Shared lists the parts that the prompt begins with; OwnTokens follow, which no other request has.
	Shared    []Part
	OwnTokens int
	// OutputTokens is the mean number of tokens that it generates.
	OutputTokens int
	// Aim is the time to the first event within which it is served well, Deadline how long callers wait.
	Aim, Deadline time.Duration
}

// Surge multiplies the traffic for a time.
type Surge struct {
	At, Length time.Duration
	Factor     float64
}

// HotPrompt makes a share of a kind's requests use the same parts for a time.
type HotPrompt struct {
	At, Length time.Duration
	Kind       string
	Share      float64
}

// Crash takes a share of the engines down for a time. They come back with empty caches.
type Crash struct {
	At, Length time.Duration
	Share      float64
}

// Release replaces a share of the engines by new ones, one after the other. The old one ends what it runs.
type Release struct {
	At, Gap time.Duration
	Share   float64
}

// Noise slows engines down: at each moment, Share of them take Factor times as long. Each engine draws anew every Every.
type Noise struct {
	Share, Factor float64
	Every         time.Duration
}

// Knowledge is what routers know of the engines' speed.
type Knowledge int

const (
	// KnowNothing of it.
	KnowNothing Knowledge = iota
	// KnowOwn is what engines have stated in the first events of the router's own requests.
	KnowOwn
	// KnowShared is what they have stated to any router, LoadAge ago.
	KnowShared
	// KnowAll is the speed of each engine at this moment.
	KnowAll
)

// Load is an installation and its traffic.
type Load struct {
	Name             string
	Engine           Engine
	Engines, Routers int
	Kinds            []Kind
	// LoadAge is how old the loads and caches are that a router knows, but for its own requests.
	LoadAge time.Duration
	Length  time.Duration
	Surge   Surge
	Hot     HotPrompt
	Crash   Crash
	Release Release
	Noise   Noise
	Speeds  Knowledge
}

// Scaled returns the load with another rate, relative to this one, and another number of routers.
func (l Load) Scaled(rate float64, routers int) Load {
	l.Routers = routers
	l.Kinds = slices.Clone(l.Kinds)
	for i := range l.Kinds {
		l.Kinds[i].Rate *= rate
	}
	return l
}

// part is one part of a prompt.
type part struct {
	id     string
	tokens int
}

// request is one request in the model.
type request struct {
	kind, router int
	parts        []part
	arrivedAt    time.Duration
	// prefillLeft is the number of prompt tokens that are not read yet, and made of tokens generated.
	prefillLeft, made, output int
	engine                    int
	// counted is the count of the result that includes the request; nil before its first event.
	counted *int
}

// sharedTokens returns the length of the shared parts.
func (r *request) sharedTokens() int {
	tokens := 0
	for _, p := range r.parts {
		tokens += p.tokens
	}
	return tokens
}

// around returns a number of tokens whose mean is given: between a half and one and a half of it.
func around(random *rand.Rand, mean int) int {
	return max(1, mean/2+random.IntN(max(1, mean)))
}
