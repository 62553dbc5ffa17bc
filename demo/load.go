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

// Parameters of the load.
const (
	chatsPerTeam = 12
	// One in onceEvery calls is a non-idempotent call of a plain service, and one in readEvery of
	// the others is a read.
	onceEvery = 12
	readEvery = 6
	// surgePause is the mean pause between two calls of a surging caller.
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

// runPhase sends the calls of a phase until ctx is done, and adds the results to the tally.
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
	// Calls in progress are completed after the phase ends.
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
	contract := g.drawContract()
	switch {
	case g.source.IntN(onceEvery) == 0:
		g.sendTwice(ctx, contract.Team)
	case g.source.IntN(readEvery) == 0:
		g.tally.Add(KindRead, g.callerFor(contract.Team).call(ctx, http.MethodGet, g.fleet.Example.Topology.ReadPath, "", ""))
	default:
		g.chat(ctx, KindChat, contract.Team)
	}
}

// drawContract draws a contract with a probability proportional to its rate.
func (g *generator) drawContract() configuration.Contract {
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

// callerFor returns a caller of a team that uses the entry hosts in turn.
func (g *generator) callerFor(team fleet.Team) caller {
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
	g.tally.Add(kind, g.callerFor(team).chat(ctx, g.fleet.enginePool(), chat, prompt, tokens))
}

// sendTwice sends the same non-idempotent call twice concurrently, each through its own caller. The
// service must run it once.
func (g *generator) sendTwice(ctx context.Context, team fleet.Team) {
	key := uuid.Must(uuid.NewV7()).String()
	body := fmt.Sprintf(`{"visit":%d}`, g.source.Uint32())
	var both sync.WaitGroup
	for range 2 {
		sender := g.callerFor(team)
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
