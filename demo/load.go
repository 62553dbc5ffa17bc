package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"

	"github.com/google/uuid"
)

// Shape of the load.
const (
	callersPerRouter = 6
	chatsPerTeam     = 12
	maxPromptWords   = 200
	maxTokens        = 48
	// onceEvery and readEvery tell how often a call is one of a plain service.
	onceEvery = 12
	readEvery = 6
	pause     = 20 * time.Millisecond
)

// Load sends mixed requests of returning chats until ctx ends, and tallies the results.
func (f *Fleet) Load(ctx context.Context, seed uint64, tally *Tally) {
	var callers sync.WaitGroup
	for i := range callersPerRouter * len(f.Entries) {
		source := rand.New(rand.NewPCG(seed, uint64(i)))
		callers.Go(func() { f.runCaller(ctx, source, tally) })
	}
	callers.Wait()
}

func (f *Fleet) runCaller(ctx context.Context, source *rand.Rand, tally *Tally) {
	c := caller{client: &http.Client{Transport: &http.Transport{}}}
	defer c.client.CloseIdleConnections()
	// Calls that have begun are finished after the load ends.
	calls := context.WithoutCancel(ctx)
	for ctx.Err() == nil {
		f.runCall(calls, c, source, tally)
		select {
		case <-time.After(time.Duration(source.Int64N(int64(2 * pause)))):
		case <-ctx.Done():
		}
	}
}

func (f *Fleet) runCall(ctx context.Context, c caller, source *rand.Rand, tally *Tally) {
	contract := f.Example.Contracts[source.IntN(len(f.Example.Contracts))]
	address := f.Entries[source.IntN(len(f.Entries))]
	switch {
	case source.IntN(onceEvery) == 0:
		f.runOnce(ctx, c, source, contract, tally)
	case source.IntN(readEvery) == 0:
		result := c.call(ctx, address, http.MethodGet, f.Example.Topology.ReadPath, "", "", contract.Team)
		tally.Add("read", result)
	default:
		chat := fmt.Sprintf("%s-chat-%d", contract.Team, source.IntN(chatsPerTeam))
		prompt := strings.Repeat("word ", 1+source.IntN(maxPromptWords)) + fmt.Sprint(source.Uint32())
		result := c.chat(ctx, address, contract.Team, f.enginePool(), chat, prompt, 1+source.IntN(maxTokens))
		tally.Add("chat", result)
	}
}

// runOnce sends the same once-only call to two entry hosts at once.
func (f *Fleet) runOnce(ctx context.Context, c caller, source *rand.Rand, contract configuration.Contract, tally *Tally) {
	key := uuid.Must(uuid.NewV7()).String()
	body := fmt.Sprintf(`{"visit":%d}`, source.Uint32())
	var both sync.WaitGroup
	for range 2 {
		address := f.Entries[source.IntN(len(f.Entries))]
		both.Go(func() {
			tally.Add("once", c.call(ctx, address, http.MethodPost, f.Example.Topology.OncePath, body, key, contract.Team))
		})
	}
	both.Wait()
}

func (f *Fleet) enginePool() fleet.PoolID {
	for _, pool := range f.Example.Pools {
		if pool.Type == configuration.PoolEngine {
			return pool.Name
		}
	}
	panic("the example has no engine pool")
}
