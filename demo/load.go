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
	chatsPerTeam = 12
	// onceEvery and readEvery tell how often a call is one of a plain service.
	onceEvery = 12
	readEvery = 6
	// surgePause is the mean time between two calls of a surging caller.
	surgePause = 5 * time.Millisecond
)

// Kinds of calls in reports.
const (
	KindChat  = "chat"
	KindSurge = "surging chat"
	KindRead  = "read"
	KindOnce  = "once"
)

// generator sends the calls of one caller.
type generator struct {
	fleet  *Fleet
	client *http.Client
	source *rand.Rand
	mix    Mix
	tally  *Tally
	// surge is the team of a surging caller; empty for all others.
	surge fleet.Team
}

// runPhase sends the calls of a phase until ctx ends, and tallies the results.
func (f *Fleet) runPhase(ctx context.Context, phase Phase, seed uint64, tally *Tally) {
	var callers sync.WaitGroup
	start := func(index int, surge fleet.Team) {
		g := &generator{
			fleet: f, client: &http.Client{Transport: &http.Transport{}},
			source: rand.New(rand.NewPCG(seed, uint64(index))), mix: phase.Mix, tally: tally, surge: surge,
		}
		callers.Go(func() { g.run(ctx) })
	}
	normal := phase.Mix.Callers * len(f.Entries)
	for i := range normal {
		start(i, "")
	}
	for i := range phase.Surge * len(f.Entries) {
		start(normal+i, f.surgingTeam())
	}
	callers.Wait()
}

func (g *generator) run(ctx context.Context) {
	defer g.client.CloseIdleConnections()
	pause := g.mix.Pause
	if g.surge != "" {
		pause = surgePause
	}
	// Calls that have begun are finished after the phase ends.
	calls := context.WithoutCancel(ctx)
	for ctx.Err() == nil {
		g.call(calls)
		select {
		case <-time.After(time.Duration(g.source.Int64N(int64(2 * pause)))):
		case <-ctx.Done():
		}
	}
}

func (g *generator) call(ctx context.Context) {
	if g.surge != "" {
		g.chat(ctx, KindSurge, g.surge)
		return
	}
	contract := g.contract()
	switch {
	case g.source.IntN(onceEvery) == 0:
		g.once(ctx, contract.Team)
	case g.source.IntN(readEvery) == 0:
		g.tally.Add(KindRead, g.as(contract.Team).call(ctx, http.MethodGet, g.fleet.Example.Topology.ReadPath, "", ""))
	default:
		g.chat(ctx, KindChat, contract.Team)
	}
}

// contract draws a team in proportion to its rate.
func (g *generator) contract() configuration.Contract {
	contracts := g.fleet.Example.Contracts
	total := 0.0
	for _, contract := range contracts {
		total += contract.RequestsPerSecond
	}
	drawn := g.source.Float64() * total
	for _, contract := range contracts {
		drawn -= contract.RequestsPerSecond
		if drawn < 0 {
			return contract
		}
	}
	return contracts[len(contracts)-1]
}

// as returns a caller of a team that goes from one entry host to the next.
func (g *generator) as(team fleet.Team) caller {
	next := g.source.IntN(len(g.fleet.Entries))
	return caller{client: g.client, team: team, entry: func() string {
		next++
		return g.fleet.Entries[next%len(g.fleet.Entries)]
	}}
}

func (g *generator) chat(ctx context.Context, kind string, team fleet.Team) {
	chat := fmt.Sprintf("%s-chat-%d", team, g.source.IntN(chatsPerTeam))
	prompt := strings.Repeat("word ", 1+g.source.IntN(g.mix.PromptWords)) + fmt.Sprint(g.source.Uint32())
	tokens := 1 + g.source.IntN(g.mix.Tokens)
	g.tally.Add(kind, g.as(team).chat(ctx, g.fleet.enginePool(), chat, prompt, tokens))
}

// once sends the same non-idempotent call to two entry hosts at once.
func (g *generator) once(ctx context.Context, team fleet.Team) {
	key := uuid.Must(uuid.NewV7()).String()
	body := fmt.Sprintf(`{"visit":%d}`, g.source.Uint32())
	var both sync.WaitGroup
	for range 2 {
		sender := g.as(team)
		both.Go(func() {
			g.tally.Add(KindOnce, sender.call(ctx, http.MethodPost, g.fleet.Example.Topology.NonIdempotentPath, body, key))
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
