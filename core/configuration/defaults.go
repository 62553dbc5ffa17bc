package configuration

import "time"

// Defaults of contracts and pools.
const (
	DefaultBoundFactor          = 1.25
	DefaultColdConcurrency      = 1
	DefaultMaxConcurrency       = 64
	DefaultShare                = 1.0
	DefaultFirstTokenMillis     = 1300
	DefaultSilenceTimeoutMillis = 2000
	// DefaultBurstSeconds is the burst allowance of a team, in seconds of its rate.
	DefaultBurstSeconds = 2
	// DefaultRampSeconds is how long a returning data centre takes to ramp up to its full weight.
	DefaultRampSeconds = 120
	MaxRampSeconds     = 3600
)

// WithDefaults returns the contract with every unset option set to its default.
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
	if c.SilenceTimeoutMillis == 0 {
		c.SilenceTimeoutMillis = DefaultSilenceTimeoutMillis
	}
	return c
}

// FirstTokenTimeout returns the time within which the first token is due.
func (c Contract) FirstTokenTimeout() time.Duration {
	return time.Duration(c.FirstTokenMillis) * time.Millisecond
}

// SilenceTimeout returns the silence limit of the team's requests: how long an upstream connection
// may deliver no byte before a new connection is tried.
func (c Contract) SilenceTimeout() time.Duration {
	return time.Duration(c.SilenceTimeoutMillis) * time.Millisecond
}

// WithDefaults returns the pool with every unset option set to its default.
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
