package workload

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/warmth"
	"agateswitch/port"
)

// warmAnswer is what a router knows of warm prompts.
type warmAnswer struct {
	// Learned is false while the router has only just started itself.
	Learned    bool                `msgpack:"learned"`
	Placements []warmth.CachedPart `msgpack:"placements"`
}

// learnAsked is how many routers a started one asks. An answer has some 100 kB; where all have
// started at once, none knows.
const learnAsked = 4

// Learn asks routers near this one for all that is warm, which a started router does not know. It
// returns false when no router that knows has answered.
func (w *Workload) Learn(ctx context.Context) bool {
	nearest := w.peers.Nearest()
	for _, other := range nearest[:min(learnAsked, len(nearest))] {
		ctx, cancel := context.WithTimeout(ctx, tellTimeout)
		var answer warmAnswer
		err := w.transport.Call(ctx, other, methodWarm, struct{}{}, &answer)
		cancel()
		if err != nil {
			w.log.Info("router did not tell what is warm", "peer", other, "err", err)
			continue
		}
		w.mu.Lock()
		w.warm.Merge(answer.Placements, time.Now())
		w.learned = w.learned || answer.Learned
		w.mu.Unlock()
		if answer.Learned {
			w.log.Info("warm prompts learned", "peer", other, "placements", len(answer.Placements))
			return true
		}
	}
	return false
}

// Found takes parts that an upstream says that it has, and tells the other routers.
func (w *Workload) Found(upstream fleet.UpstreamID, parts []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, part := range parts {
		w.use(part, upstream, time.Now())
	}
}

// SetLearned notes that nothing more is to be learned from before this router's start.
func (w *Workload) SetLearned() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.learned = true
}

func (w *Workload) tellWarm(context.Context, fleet.HostID, port.Decode) (any, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return warmAnswer{Learned: w.learned, Placements: w.warm.All(time.Now())}, nil
}
