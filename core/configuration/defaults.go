package configuration

import "time"

// Defaults of contracts and pools.
const (
	DefaultBoundFactor      = 1.25
	DefaultColdConcurrency  = 1
	DefaultMaxConcurrency   = 64
	DefaultShare            = 1.0
	DefaultFirstTokenMillis = 1300
	DefaultSilenceMillis    = 2000
	// DefaultBurstSeconds is how many seconds of a team's rate may come at once.
	DefaultBurstSeconds = 2
	// DefaultRampSeconds is how long a data centre takes to come back to its whole weight.
	DefaultRampSeconds = 120
	MaxRampSeconds     = 3600
)

// WithDefaults returns the contract with every unset option at its default.
func (c Contract) WithDefaults() Contract {
	if c.Share == 0 {
		c.Share = DefaultShare
	}
	if c.Burst == 0 {
		c.Burst = max(1, int(c.RequestsPerSecond*DefaultBurstSeconds))
	}
	if c.FirstTokenMillis == 0 {
		c.FirstTokenMillis = DefaultFirstTokenMillis
	}
	if c.SilenceMillis == 0 {
		c.SilenceMillis = DefaultSilenceMillis
	}
	return c
}

// FirstToken returns the deadline of the first token.
func (c Contract) FirstToken() time.Duration {
	return time.Duration(c.FirstTokenMillis) * time.Millisecond
}

// Silence returns how long a stream may be silent before a fresh connection is tried.
func (c Contract) Silence() time.Duration {
	return time.Duration(c.SilenceMillis) * time.Millisecond
}

// WithDefaults returns the pool with every unset option at its default.
func (p Pool) WithDefaults() Pool {
	if p.BoundFactor == 0 {
		p.BoundFactor = DefaultBoundFactor
	}
	if p.ColdConcurrency == 0 {
		p.ColdConcurrency = DefaultColdConcurrency
	}
	if p.MaxConcurrency == 0 {
		p.MaxConcurrency = DefaultMaxConcurrency
	}
	return p
}
