package configsync

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"

	"pgregory.net/rapid"
)

// fault is one step of a plan: what happens, to which router, and how long to wait after it.
type fault struct {
	kind  string
	node  int
	name  string
	value bool
	wait  time.Duration
}

var faultKinds = []string{
	"accept", "accept", "race", "unrelated race", "lose answers", "cut from store", "cut from peers", "heal", "restart", "store down", "store up",
}

func drawPlan(t *rapid.T, nodes int) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			kind:  rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			node:  rapid.IntRange(0, nodes-1).Draw(t, "node"),
			name:  rapid.SampledFrom([]string{"arima", "tunapuna"}).Draw(t, "name"),
			value: rapid.Bool().Draw(t, "value"),
			wait:  time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond,
		}
	}), 1, 25).Draw(t, "plan")
}

// chaos executes a plan, and records the results that operators received.
type chaos struct {
	ctx   context.Context
	fleet *fakeFleet
	nodes []*fakeNode
	// highest holds the highest revision that each router has had in force since its start.
	highest []configuration.Revision
	// accepted holds the change accepted at each revision.
	accepted map[configuration.Revision]Change
	// problem describes a violated guarantee. It is empty if all held.
	problem string
}

// step executes one step of the plan, and then checks the revisions.
func (c *chaos) step(f fault) {
	node := c.nodes[f.node]
	switch f.kind {
	case "accept":
		c.recordResult(dataCentreChange(f.name, f.value), node.Accept(c.ctx, dataCentreChange(f.name, f.value)))
	case "race":
		c.race(f, f.name)
	case "unrelated race":
		c.race(f, f.name+"-2")
	case "lose answers":
		c.fleet.store.mu.Lock()
		c.fleet.store.lostAnswers, c.fleet.store.commitDelay = 1+f.node%2, f.wait/4
		c.fleet.store.mu.Unlock()
	case "cut from store":
		node.set(&node.storePartitioned, true)
	case "cut from peers":
		node.set(&node.peersPartitioned, true)
	case "heal":
		node.set(&node.storePartitioned, false)
		node.set(&node.peersPartitioned, false)
	case "restart":
		node.stop()
		c.nodes[f.node] = c.fleet.add(c.ctx, node.host.ID, node.host.DataCentre)
		c.highest[f.node] = 0
	case "store down", "store up":
		c.fleet.store.setDown(f.kind == "store down")
	}
	<-time.After(f.wait)
	c.checkRevisions()
}

// race lets two operators change items concurrently through two routers. If both change the same
// item, at most one of the changes may be accepted.
func (c *chaos) race(f fault, other string) {
	changes := []Change{dataCentreChange(f.name, f.value), dataCentreChange(other, f.value)}
	results := make([]Result, len(changes))
	var operators sync.WaitGroup
	for i := range changes {
		current, _ := c.nodes[f.node].Current().Item(changes[i].Key)
		changes[i].Expected = current.Revision
		node := c.nodes[(f.node+i)%len(c.nodes)]
		operators.Go(func() { results[i] = node.Accept(c.ctx, changes[i]) })
	}
	operators.Wait()
	first, second := results[0], results[1]
	c.recordResult(changes[0], first)
	c.recordResult(changes[1], second)
	if first.Refusal == nil && second.Refusal == nil && other == f.name {
		c.problem = fmt.Sprintf("both racing operators were accepted, at %d and %d", first.Revision, second.Revision)
	}
}

// recordResult records an accepted change, and checks that no revision is accepted twice.
func (c *chaos) recordResult(change Change, result Result) {
	if result.Refusal != nil {
		return
	}
	if _, twice := c.accepted[result.Revision]; twice {
		c.problem = fmt.Sprintf("revision %d was accepted twice", result.Revision)
	}
	c.accepted[result.Revision] = change
}

// checkRevisions checks that no router's revision has decreased.
func (c *chaos) checkRevisions() {
	for i, node := range c.nodes {
		revision := node.Current().Revision()
		if revision < c.highest[i] {
			c.problem = fmt.Sprintf("the revision of %s decreased from %d to %d", node.host.ID, c.highest[i], revision)
		}
		c.highest[i] = revision
	}
}

// heal ends all faults, waits for inForceLimit, and compares the routers with the store and with
// the accepted changes.
func (c *chaos) heal() {
	c.fleet.store.setDown(false)
	c.fleet.store.mu.Lock()
	c.fleet.store.lostAnswers = 0
	c.fleet.store.mu.Unlock()
	for _, node := range c.nodes {
		node.set(&node.storePartitioned, false)
		node.set(&node.peersPartitioned, false)
	}
	<-time.After(inForceLimit)
	c.checkRevisions()
	c.fleet.store.mu.Lock()
	value := c.fleet.store.keys[headKey].Value
	c.fleet.store.mu.Unlock()
	stored, err := decodeHead(value)
	if err != nil {
		c.problem = err.Error()
		return
	}
	for _, node := range c.nodes {
		if node.Current().Revision() != stored.Revision {
			c.problem = fmt.Sprintf("%s has revision %d in force, the store holds %d", node.host.ID, node.Current().Revision(), stored.Revision)
		}
		c.checkAccepted(node)
	}
}

// checkAccepted checks that a router has lost no accepted change: each is in force or was
// replaced by a later one.
func (c *chaos) checkAccepted(node *fakeNode) {
	for revision, change := range c.accepted {
		item, _ := node.Current().Item(change.Key)
		if item.Revision < revision {
			c.problem = fmt.Sprintf("%s lost accepted revision %d of %s", node.host.ID, revision, change.Key)
		}
		if item.Revision == revision && string(item.Value) != string(change.Value) {
			c.problem = fmt.Sprintf("%s has another value at accepted revision %d", node.host.ID, revision)
		}
	}
}

// Under any faults, an accepted change is never lost, no router's revision decreases while it runs,
// and at most one of two operators who race for an item is accepted. After the faults end, every
// accepted change is in force on every router within the limit.
func TestAcceptedChangesSurviveFaults(t *testing.T) {
	const nodes = 5
	rapid.Check(t, func(rt *rapid.T) {
		plan := drawPlan(rt, nodes)
		problem := ""
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer func() {
				cancel()
				sleep(t, time.Minute)
			}()
			f := newFakeFleet()
			c := &chaos{ctx: ctx, fleet: f, highest: make([]configuration.Revision, nodes), accepted: map[configuration.Revision]Change{}}
			for i := range nodes {
				c.nodes = append(c.nodes, f.add(ctx, fleet.HostID(fmt.Sprint("r", i)), fleet.DataCentre(fmt.Sprint("dc", i%3))))
			}
			sleep(t, 3*time.Second)
			for _, step := range plan {
				c.step(step)
			}
			c.heal()
			problem = c.problem
		})
		if problem != "" {
			rt.Fatalf("%s", problem)
		}
	})
}
