package capacity

import (
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"agateswitch/adapter/hostlist"
	"agateswitch/core/admission"
	"agateswitch/core/claim"
	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/core/membership"
	"agateswitch/core/placement"
	"agateswitch/core/rendezvous"
	"agateswitch/standin/hosts"

	"github.com/shoenig/test/must"
)

// start is the time at which all tests begin.
var start = time.Date(2026, time.March, 1, 9, 0, 0, 0, time.UTC)

// measure logs a quantity at each size and the line fitted through the values. It returns the
// estimate at the target size: the value of the line or, if larger, the one measured there.
func measure(t *testing.T, name string, sizes []int, target int, measureAt func(size int) float64) float64 {
	t.Helper()
	var points []Point
	for _, size := range sizes {
		points = append(points, Point{Size: float64(size), Value: measureAt(size)})
	}
	line := Fit(points)
	estimate := line.At(float64(target))
	for _, point := range points {
		if point.Size == float64(target) {
			estimate = max(estimate, point.Value)
		}
	}
	t.Logf("%s: %.0f; slope %.1f, base %.0f, residual %.3f, straight %t; at %d: %.0f",
		name, points, line.Slope, line.Intercept, line.MaxResidual, line.IsLinear(), target, estimate)
	return estimate
}

// heapBytes returns the bytes of heap that a value retains.
func heapBytes(build func() any) float64 {
	before := heapAlloc()
	value := build()
	used := heapAlloc() - before
	runtime.KeepAlive(value)
	return used
}

func heapAlloc() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// contractsDelta returns a delta that adds the given number of contracts.
func contractsDelta(count int) configuration.Delta {
	delta := configuration.Delta{To: configuration.Revision(count)}
	for i := range count {
		name := fmt.Sprintf("team-%04d", i)
		digest := sha256.Sum256([]byte(name))
		value, _ := json.Marshal(configuration.Contract{
			Team: fleet.Team(name), KeyDigests: []string{hex.EncodeToString(digest[:])},
			Pools: []fleet.PoolID{"farrier-lm"}, RequestsPerSecond: 10,
		})
		delta.Items = append(delta.Items, configuration.Item{
			Key:      configuration.Key{Kind: configuration.KindContract, Name: name},
			Revision: configuration.Revision(i + 1), Value: value,
		})
	}
	return delta
}

// fleetHosts returns as many hosts, divided into routers and engines in the proportion of the target.
func fleetHosts(size int) (routers []fleet.Host, upstreams []fleet.Upstream) {
	target := FleetTarget()
	for i := range size {
		dataCentre := fleet.DataCentre(fmt.Sprint("arima-", i%4))
		if i*(target.Routers+target.Engines)/size < target.Routers {
			routers = append(routers, fleet.Host{
				ID: fleet.HostID(fmt.Sprintf("tunapuna-%03d", i)), DataCentre: dataCentre, Region: "arima",
				HTTPAddress: addressOf(i) + ":8080", PeerAddress: addressOf(i) + ":8081", State: fleet.Live,
			})
			continue
		}
		upstreams = append(upstreams, fleet.Upstream{
			ID: fleet.UpstreamID(fmt.Sprintf("farrier-lm-%03d", i)), Pool: "farrier-lm", DataCentre: dataCentre,
			Version: "2026-03-01", Address: addressOf(i) + ":8090", State: fleet.Live,
		})
	}
	return routers, upstreams
}

// addressOf returns an IPv4 address derived from a hash of the host's number.
func addressOf(i int) string {
	hash := rendezvous.Hash(fmt.Sprint("host-", i))
	return fmt.Sprintf("10.%d.%d.%d", 100+hash%100, 100+hash/100%100, 100+hash/10_000%100)
}

// The memory of a router's configuration grows with the contracts and stays within the limit.
func TestCapacityOfConfiguration(t *testing.T) {
	sizes := []int{10, 100, 1100}
	memory := measure(t, "configuration, bytes of memory by contracts", sizes, FleetTarget().Teams, func(size int) float64 {
		return heapBytes(func() any {
			snapshot, _, err := configuration.Empty().Apply(contractsDelta(size))
			must.NoError(t, err)
			return snapshot
		})
	})
	must.LessEq(t, ControlLimits().MemoryBytes, memory)
}

// An owner's memory is bounded, so the sizes lie below the bound, where it grows with the chats.
func TestCapacityOfChatMemory(t *testing.T) {
	target := FleetTarget()
	perShard := target.Chats / target.Shards
	memory := measure(t, "shard owner, bytes of memory by chats", []int{4000, 12_000, 36_000}, perShard, func(size int) float64 {
		return heapBytes(func() any { return ownerWithChats(t, size) })
	})
	must.LessEq(t, ControlLimits().MemoryBytes, memory)
}

func ownerWithChats(t *testing.T, chats int) *placement.Owner {
	settings := placement.Settings{BoundFactor: 1.25, ColdConcurrency: 1, MaxConcurrency: 64, GrantTTL: 2 * time.Minute}
	owner := placement.NewOwner("tunapuna-001", 1, settings)
	var upstreams []fleet.Upstream
	for i := range 8 {
		upstreams = append(upstreams, fleet.Upstream{ID: fleet.UpstreamID(fmt.Sprint("farrier-lm-", i)), Pool: "farrier-lm", State: fleet.Live})
	}
	owner.SetUpstreams(start, upstreams)
	now := start
	for i := range chats {
		now = now.Add(100 * time.Millisecond)
		decision := owner.Acquire(now, placement.Request{
			Ticket: admission.Ticket{Nonce: uint64(i)}, Chat: uint64(i+1) * 0x9e3779b97f4a7c15, Prefill: 3000, Decode: 400,
			Deadline: now.Add(time.Second),
		})
		must.Nil(t, decision.Refusal)
		must.False(t, decision.Waiting)
		owner.Complete(now, fleet.Completion{Grant: decision.Grant.ID, Outcome: fleet.OutcomeComplete})
	}
	return owner
}

// The memory of a budget owner grows with the routers that draw and with its teams, and stays within
// the limit.
func TestCapacityOfBudgets(t *testing.T) {
	target := FleetTarget()
	memory := measure(t, "budget owner, bytes of memory of one team by routers", []int{10, 100, 380}, target.Routers, func(size int) float64 {
		return heapBytes(func() any {
			budget := admission.NewBudget(start, admission.Limits{Rate: 100, Burst: 200, Concurrency: 400})
			for i := range size {
				budget.Draw(start, admission.DrawRequest{From: fleet.HostID(fmt.Sprint("r", i)), Tokens: 3, Slots: 4})
			}
			return budget
		})
	})
	// Teams are spread unevenly, so the check allows a router to own ten times the mean.
	const skew = 10
	teams := skew * float64(target.Teams) / float64(target.Routers)
	t.Logf("budget owner, bytes of memory for %.0f teams: %.0f", teams, teams*memory)
	must.LessEq(t, ControlLimits().MemoryBytes, teams*memory)
}

// The store writes of a claim owner grow with the calls in a group. Its memory grows with the calls
// of ten minutes and stays within the limit.
func TestCapacityOfClaims(t *testing.T) {
	sizes := []int{1, 10, 50}
	measure(t, "claim owner, bytes of one write of claims by calls in it", sizes, 50, func(size int) float64 {
		claims, _ := claimWriteBytes(t, size)
		return claims
	})
	measure(t, "claim owner, bytes of one write of answers of 300 bytes by calls in it", sizes, 50, func(size int) float64 {
		_, answers := claimWriteBytes(t, size)
		return answers
	})
	// A shard keeps the calls of ten minutes. The store's write rate allows 1,000 calls a second.
	const rate, seconds = 1000, 600
	memory := measure(t, "claim owner, bytes of memory by calls in ten minutes", []int{1000, 2000, 4000}, rate*seconds/claim.ShardCount, func(size int) float64 {
		return heapBytes(func() any {
			shard := claim.NewShard(start, 1e12)
			for i := range size {
				shard.Begin(start, testClaim(i))
			}
			return shard
		})
	})
	must.LessEq(t, ControlLimits().MemoryBytes, memory)
}

// claimWriteBytes returns the bytes of keys and values in the write of a group's claims and in the
// write of their answers.
func claimWriteBytes(t *testing.T, calls int) (claims, answers float64) {
	shard := claim.NewShard(start, 1e12)
	for i := range calls {
		shard.Begin(start, testClaim(i))
	}
	transaction, found := shard.Next(start)
	must.True(t, found)
	must.SliceLen(t, calls, transaction.Writes)
	shard.HandleOutcome(start, claim.Outcome{Applied: true, Revision: 1})
	for i := range calls {
		claimed := testClaim(i)
		claimed.Revision = 1
		shard.Finish(start, claimed, fleet.ClaimAnswer{Status: http.StatusCreated, Body: make([]byte, 300)})
	}
	ends, found := shard.Next(start.Add(time.Second))
	must.True(t, found)
	must.SliceLen(t, calls, ends.Writes)
	return transactionBytes(transaction), transactionBytes(ends)
}

func transactionBytes(transaction claim.Transaction) float64 {
	bytes := 0
	for _, write := range transaction.Writes {
		bytes += len(write.Key) + len(write.Value)
	}
	return float64(bytes)
}

// testClaim returns the claim of the i-th non-idempotent call. Its key has the form of a UUID version 7.
func testClaim(i int) fleet.Claim {
	key := fmt.Sprintf("%08x-%04x-7000-8000-%012x", start.UnixMilli()>>16, start.UnixMilli()&0xffff, i)
	return fleet.Claim{
		Team: "arima-yard", Key: key, BodyDigest: "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824",
		Holder: fleet.RequestID(fmt.Sprint("holder-", i)), Host: "tunapuna-001", Begun: start,
	}
}

// The memory of a router's host list and the traffic of reading it once a second grow with the hosts
// and stay within the limits.
func TestCapacityOfMembership(t *testing.T) {
	target, limits := FleetTarget(), ControlLimits()
	hostCount := target.Routers + target.Engines
	sizes := []int{98, 490, 980}
	list := measure(t, "membership, bytes of a whole host list by hosts", sizes, hostCount, func(size int) float64 {
		full, _ := hostListBytes(size)
		return full
	})
	measure(t, "membership, bytes of a whole host list compressed by gzip, by hosts", sizes, hostCount, compressedHostListBytes)
	unchanged := measure(t, "membership, bytes of an unchanged host list by hosts", sizes, hostCount, func(size int) float64 {
		_, unchanged := hostListBytes(size)
		return unchanged
	})
	memory := measure(t, "membership, bytes of memory by hosts", sizes, hostCount, func(size int) float64 {
		return heapBytes(func() any {
			view := membership.NewView(fleet.Host{ID: "self", State: fleet.Live})
			routers, upstreams := fleetHosts(size)
			view.ApplyList(start, routers, upstreams)
			return view
		})
	})
	must.LessEq(t, limits.MemoryBytes, memory)
	// A failed host changes the list twice: it is removed and its successor added. A replaced host
	// changes it three times, because it is listed as leaving first.
	changes := float64(2*target.FailedHosts + 3*target.ReplacedHosts)
	perSecond := unchanged + changes*list/SecondsPerDay
	t.Logf("membership, bytes a second over a day of %.0f changes: %.0f; in a second with a change: %.0f", changes, perSecond, list)
	must.LessEq(t, limits.TrafficBytesPerSecond, perSecond)
}

// hostListBytes returns the body size of a full host list, and the size of the headers and body of
// a conditional request for an unchanged one.
func hostListBytes(size int) (full, unchanged float64) {
	server := listServer(size)
	first := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodGet, hostlist.Path, nil)
	server.ServeHTTP(first, request)
	request.Header.Set("If-None-Match", first.Header().Get("ETag"))
	second := httptest.NewRecorder()
	server.ServeHTTP(second, request)
	return float64(first.Body.Len()), headerBytes(request.Header) + headerBytes(second.Header()) + float64(second.Body.Len())
}

// compressedHostListBytes returns the body size of a full host list from a platform that compresses it.
func compressedHostListBytes(size int) float64 {
	list := httptest.NewRecorder()
	listServer(size).ServeHTTP(list, httptest.NewRequest(http.MethodGet, hostlist.Path, nil))
	counted := &byteCounter{}
	compressor := gzip.NewWriter(counted)
	compressor.Write(list.Body.Bytes())
	compressor.Close()
	return float64(counted.bytes)
}

func listServer(size int) *hosts.Server {
	server := hosts.New()
	routers, upstreams := fleetHosts(size)
	for _, host := range routers {
		server.Put(hostlist.TargetGroup{Targets: []string{host.HTTPAddress}, Labels: map[string]string{
			hostlist.LabelRole: hostlist.RoleRouter, hostlist.LabelID: string(host.ID), hostlist.LabelPeer: host.PeerAddress,
			hostlist.LabelDataCentre: string(host.DataCentre), hostlist.LabelRegion: string(host.Region), hostlist.LabelState: string(host.State),
		}})
	}
	for _, upstream := range upstreams {
		server.Put(hostlist.TargetGroup{Targets: []string{upstream.Address}, Labels: map[string]string{
			hostlist.LabelRole: hostlist.RoleUpstream, hostlist.LabelID: string(upstream.ID), hostlist.LabelPool: string(upstream.Pool),
			hostlist.LabelDataCentre: string(upstream.DataCentre), hostlist.LabelVersion: string(upstream.Version), hostlist.LabelState: string(upstream.State),
		}})
	}
	return server
}

func headerBytes(header http.Header) float64 {
	counted := &byteCounter{}
	header.Write(counted)
	return float64(counted.bytes)
}

type byteCounter struct{ bytes int }

func (c *byteCounter) Write(content []byte) (int, error) {
	c.bytes += len(content)
	return len(content), nil
}
