package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rollout"

	"github.com/shoenig/test/must"
)

func hosts(count int) []fleet.Host {
	var all []fleet.Host
	for i := range count {
		all = append(all, fleet.Host{ID: fleet.HostID(fmt.Sprint("h", i))})
	}
	return all
}

// In a fleet of any size, no router receives reports of more than eight others in the tree of
// evidence. The tree has at most three levels with the target's 380 routers.
func TestTreeWidthAndDepth(t *testing.T) {
	for count, maxLevels := range map[int]int{1: 0, 9: 1, 73: 2, 380: 3} {
		all := hosts(count)
		children := map[fleet.HostID]int{}
		parents := map[fleet.HostID]fleet.HostID{}
		for _, host := range all {
			if parent, isLeader := rollout.Parent("m", host.ID, all); !isLeader {
				parents[host.ID] = parent
				children[parent]++
			}
		}
		must.MapLen(t, count-1, parents)
		for host := range parents {
			levels := 0
			for at, found := parents[host]; found; at, found = parents[at] {
				levels++
			}
			must.LessEq(t, maxLevels, levels)
		}
		for _, childCount := range children {
			must.LessEq(t, 8, childCount)
		}
	}
}

func BenchmarkParent(b *testing.B) {
	for _, count := range []int{8, 64, 380} {
		all := hosts(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				rollout.Parent("m", "h3", all)
			}
		})
	}
}

func BenchmarkFingerprint(b *testing.B) {
	for _, count := range []int{8, 64, 380} {
		all := hosts(count)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				rollout.Fingerprint(all)
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	move := rollout.Move{ID: "m", From: "1", To: "2"}
	for b.Loop() {
		move.Choose("chat", 0.25)
	}
}

// BenchmarkDetector adds one second of evidence at the target's rate, in five reports.
func BenchmarkDetector(b *testing.B) {
	for _, routes := range []int{1, 4, 8} {
		b.Run(fmt.Sprint(routes, "routes"), func(b *testing.B) {
			now := time.Now()
			move := rollout.Move{ID: "m", From: "1", To: "2", Begun: now, Deadline: now.Add(time.Hour)}
			detector := rollout.NewDetector(move)
			for b.Loop() {
				for range 5 {
					var folded rollout.Evidence
					for i := range 35 {
						folded.Add(move, fleet.Evidence{
							Version: []fleet.Version{"1", "2"}[i%2], Route: fmt.Sprint(i % routes), Cold: i%3 == 0,
							FirstToken: time.Duration(100+i) * time.Millisecond, TokenInterval: 20 * time.Millisecond,
						})
					}
					now = now.Add(200 * time.Millisecond)
					detector.Add(now, folded.Take())
					detector.Verdict(true)
				}
			}
		})
	}
}
