package configuration

import (
	"fmt"
	"strings"
	"testing"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// history is the sequence of accepted changes. It is the model with which every replica is
// compared.
type history struct {
	items    []Item
	revision Revision
	floor    Revision
}

// change draws a put or delete of one of a few contracts. Digests move between contracts, but
// no two live contracts share one, as validation requires.
func (h *history) change(t *rapid.T) {
	h.revision++
	team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
	digest := rapid.SampledFrom([]string{"k1", "k2", "k3", "k4"}).Draw(t, "digest")
	item := contractItem(team, digest, h.revision)
	if h.isDigestInUse(digest, team) || rapid.Bool().Draw(t, "delete") {
		item.Value, item.Deleted = nil, true
	}
	h.items = append(h.items, item)
}

func (h *history) isDigestInUse(digest, team string) bool {
	for key, item := range h.latest(h.revision) {
		if key.Name != team && !item.Deleted && strings.Contains(string(item.Value), digest) {
			return true
		}
	}
	return false
}

// compact raises the floor, up to which tombstones are removed.
func (h *history) compact(t *rapid.T) {
	h.floor = Revision(rapid.IntRange(int(h.floor), int(h.revision)).Draw(t, "floor"))
}

// latest returns the newest item of each key up to a revision.
func (h *history) latest(to Revision) map[Key]Item {
	state := map[Key]Item{}
	for _, item := range h.items {
		if item.Revision <= to {
			state[item.Key] = item
		}
	}
	return state
}

// since returns the delta that a replica reads from the key-value service.
func (h *history) since(revision Revision) Delta {
	delta := Delta{From: revision, To: h.revision, Floor: h.floor, Full: revision < h.floor}
	for _, item := range h.latest(h.revision) {
		kept := !item.Deleted || item.Revision > h.floor
		if kept && (delta.Full || item.Revision > revision) {
			delta.Items = append(delta.Items, item)
		}
	}
	return delta
}

// Replicas receive deltas late, duplicated, in any order and from each other, and restart
// empty, while the service compacts tombstones. No replica's revision decreases, and each
// replica holds exactly the accepted state at its revision.
func TestReplicasNeverRegressAndAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &history{}
		replicas := []*Snapshot{Empty(), Empty(), Empty()}
		inFlight := []Delta{}
		draw := func(label string) int { return rapid.IntRange(0, len(replicas)-1).Draw(t, label) }
		apply := func(i int, delta Delta) {
			next, changed, err := replicas[i].Apply(delta)
			must.NoError(t, err)
			must.True(t, changed == (next.Revision() > replicas[i].Revision()))
			must.GreaterEq(t, replicas[i].Revision(), next.Revision())
			replicas[i] = next
		}
		t.Repeat(map[string]func(*rapid.T){
			"accept":  func(t *rapid.T) { h.change(t) },
			"compact": func(t *rapid.T) { h.compact(t) },
			"watch": func(*rapid.T) {
				i := draw("watcher")
				apply(i, h.since(replicas[i].Revision()))
			},
			"exchange": func(*rapid.T) {
				i := draw("asker")
				apply(i, replicas[draw("asked")].Since(replicas[i].Revision()))
			},
			"restart": func(*rapid.T) { replicas[draw("restarted")] = Empty() },
			"ask": func(*rapid.T) {
				source, from := replicas[draw("asked")], replicas[draw("asker")].Revision()
				inFlight = append(inFlight, source.Since(from))
			},
			"deliver": func(*rapid.T) {
				if len(inFlight) > 0 {
					apply(draw("receiver"), rapid.SampledFrom(inFlight).Draw(t, "delta"))
				}
			},
			"": func(t *rapid.T) {
				for _, replica := range replicas {
					checkAgainstHistory(t, h, replica)
				}
			},
		})
	})
}

func checkAgainstHistory(t *rapid.T, h *history, replica *Snapshot) {
	live := 0
	for key, item := range h.latest(replica.Revision()) {
		found, ok := replica.Item(key)
		must.Eq(t, !item.Deleted, ok, must.Sprintf("%s at revision %d", key, replica.Revision()))
		if ok {
			must.Eq(t, item.Revision, found.Revision)
			live++
		}
	}
	must.SliceLen(t, live, replica.Items(KindContract))
	checkIndexes(t, replica)
}

// checkIndexes compares the replica's indexes with its items.
func checkIndexes(t *rapid.T, replica *Snapshot) {
	digests := 0
	for _, item := range replica.Items(KindContract) {
		contract, found := replica.Contract(fleet.Team(item.Key.Name))
		must.True(t, found)
		for _, digest := range contract.KeyDigests {
			team, found := replica.TeamByDigest(digest)
			must.True(t, found)
			must.Eq(t, contract.Team, team)
			digests++
		}
	}
	must.MapLen(t, digests, replica.teamsByDigest)
	must.MapLen(t, len(replica.Items(KindContract)), replica.contracts)
}

// The pages of a delta join to the full delta, and each page respects its size limit.
func TestPagesJoinToFullDelta(t *testing.T) {
	snapshot := snapshotWithContracts(1100)
	for _, from := range []Revision{0, 500} {
		joined, cursor := Delta{}, FirstPage
		for more := true; more; {
			var page Delta
			page, more = snapshot.Page(from, cursor, 16<<10)
			bytes := 0
			for _, item := range page.Items {
				bytes += len(item.Value)
			}
			must.LessEq(t, 16<<10, bytes)
			cursor = page.Items[len(page.Items)-1].Revision
			items := append(joined.Items, page.Items...)
			joined = page
			joined.Items = items
		}
		must.Eq(t, snapshot.Since(from), joined)
	}
}

// BenchmarkApplyOneChange measures the application of a delta with one changed contract, by the
// number of contracts.
func BenchmarkApplyOneChange(b *testing.B) {
	for _, count := range []int{10, 100, 1100} {
		b.Run(fmt.Sprintf("contracts=%d", count), func(b *testing.B) {
			snapshot := snapshotWithContracts(count)
			revision := snapshot.Revision() + 1
			delta := Delta{From: revision - 1, To: revision, Items: []Item{contractItem("team-0003", digestOf("new"), revision)}}
			b.ReportAllocs()
			for b.Loop() {
				if _, changed, err := snapshot.Apply(delta); !changed || err != nil {
					b.Fatal(changed, err)
				}
			}
		})
	}
}

// BenchmarkApplyFullState builds the same state from an empty snapshot, as the baseline of
// BenchmarkApplyOneChange.
func BenchmarkApplyFullState(b *testing.B) {
	for _, count := range []int{10, 100, 1100} {
		b.Run(fmt.Sprintf("contracts=%d", count), func(b *testing.B) {
			full := snapshotWithContracts(count).Since(0)
			b.ReportAllocs()
			for b.Loop() {
				if _, changed, err := Empty().Apply(full); !changed || err != nil {
					b.Fatal(changed, err)
				}
			}
		})
	}
}
