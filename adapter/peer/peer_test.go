package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/internal/logtest"
	"agateswitch/internal/pipenet"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

const (
	testKey = "a-peer-key-of-at-least-32-characters"
	// recoveryGoal is the users' limit for retrying on a new connection after a stall.
	recoveryGoal = 3 * time.Second
)

type directory struct{}

func (directory) Router(id fleet.HostID) (fleet.Host, bool) {
	return fleet.Host{ID: id, PeerAddress: string(id) + ":1"}, true
}

// pair is two connected routers; a calls b.
type pair struct {
	network *pipenet.Network
	a       *Mesh
	log     *logtest.Buffer
	handled int
	// release ends the handlers of method "slow".
	release chan struct{}
}

type message struct{ Text string }

func newPair(t *testing.T, keyOfA string) *pair {
	t.Helper()
	b := &pair{network: &pipenet.Network{}, log: &logtest.Buffer{}, release: make(chan struct{})}
	logger := log.New(b.log)
	b.a = NewWithDial(b.network.Dial, "a", directory{}, keyOfA, logger)
	called := NewWithDial(b.network.Dial, "b", directory{}, testKey, logger)
	var mu sync.Mutex
	called.Handle("echo", func(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
		mu.Lock()
		defer mu.Unlock()
		b.handled++
		var got message
		err := decode(&got)
		return message{Text: string(from) + got.Text}, err
	})
	called.Handle("slow", func(ctx context.Context, _ fleet.HostID, _ port.Decode) (any, error) {
		select {
		case <-b.release:
		case <-ctx.Done():
		}
		return message{}, nil
	})
	ctx, stop := context.WithCancel(t.Context())
	listener := b.network.Listen("b:1")
	done := make(chan struct{})
	go func() { defer close(done); called.Serve(ctx, listener) }()
	t.Cleanup(func() { b.a.closeLinks(); stop(); <-done })
	return b
}

func (b *pair) echo(ctx context.Context, text string) (string, error) {
	var got message
	err := b.a.Call(ctx, "b", "echo", message{Text: text}, &got)
	return got.Text, err
}

// A call on a stalled connection succeeds on a new one, within recoveryGoal.
func TestCallRetriesOnFreshConnectionAfterStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newPair(t, testKey)
		got, err := b.echo(t.Context(), "1")
		must.NoError(t, err)
		must.Eq(t, "a1", got)
		must.Eq(t, 1, b.network.Dials())
		b.network.Blackhole()
		started := time.Now()
		got, err = b.echo(t.Context(), "2")
		must.NoError(t, err)
		must.Eq(t, "a2", got)
		must.Eq(t, 2, b.network.Dials())
		must.LessEq(t, recoveryGoal, time.Since(started))
		t.Logf("answered %s after the stall", time.Since(started))
	})
}

// Pongs keep a connection alive while a handler runs for long.
func TestSlowHandlerKeepsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newPair(t, testKey)
		time.AfterFunc(time.Minute, func() { close(b.release) })
		must.NoError(t, b.a.Call(t.Context(), "b", "slow", message{}, &message{}))
		must.Eq(t, 1, b.network.Dials())
	})
}

// The transfer of the answer takes longer than stallTimeout and writeTimeout.
func TestLargeAnswerOnSlowLinkIsNoStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newPair(t, testKey)
		b.network.Throttle("b", 10e6/8)
		text := strings.Repeat("x", 1<<20)
		got, err := b.echo(t.Context(), text)
		must.NoError(t, err)
		must.Eq(t, len("a"+text), len(got))
		must.Eq(t, 1, b.network.Dials())
	})
}

// A peer that does not read blocks a write. The write and the calls queued behind it fail within
// recoveryGoal.
func TestHungWriteTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newPair(t, testKey)
		paused := b.network.Listen("frozen:1")
		defer paused.Close()
		go func() {
			for {
				connection, err := paused.Accept()
				if err != nil {
					return
				}
				serverHandshake(connection, []byte(testKey), "frozen")
			}
		}()
		started := time.Now()
		var calls sync.WaitGroup
		for range 10 {
			calls.Go(func() {
				err := b.a.Call(t.Context(), "frozen", "echo", message{}, &message{})
				must.ErrorIs(t, err, port.ErrPeerUnreachable)
			})
		}
		calls.Wait()
		must.LessEq(t, recoveryGoal, time.Since(started))
	})
}

// A peer without the fleet's key, such as a router of another fleet, is refused by both sides.
func TestUnauthenticatedPeersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newPair(t, "another-key-of-at-least-32-characters")
		_, err := b.echo(t.Context(), "1")
		must.ErrorIs(t, err, port.ErrPeerUnreachable)
		must.StrContains(t, err.Error(), string(errUnauthenticated))
		must.Zero(t, b.handled)

		// A peer that reflects the called router's own proof is refused, too.
		connection, err := b.network.Dial(t.Context(), "tcp", "b:1")
		must.NoError(t, err)
		defer connection.Close()
		must.NoError(t, writeFrame(connection, hello{Version: protocolVersion, From: "a", To: "b", Nonce: newNonce()}))
		var received challenge
		must.NoError(t, readFrame(connection, maxHandshakeFrame, &received))
		must.NoError(t, writeFrame(connection, proof{Proof: received.Proof}))
		must.Error(t, readFrame(connection, maxHandshakeFrame, &envelope{}))
		must.StrContains(t, b.log.String(), string(errUnauthenticated))
	})
}

// A connection that sends no hello is closed within recoveryGoal.
func TestHandshakeTimeoutClosesConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newPair(t, testKey)
		connection, err := b.network.Dial(t.Context(), "tcp", "b:1")
		must.NoError(t, err)
		started := time.Now()
		must.Error(t, readFrame(connection, maxHandshakeFrame, &envelope{}))
		must.LessEq(t, recoveryGoal, time.Since(started))
		must.StrContains(t, b.log.String(), "peer refused")
	})
}

// A malformed or unexpected frame closes its connection with a logged error. Other connections
// keep working.
func TestHostileFramesCloseTheirConnection(t *testing.T) {
	frame := func(body string) []byte {
		return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
	}
	cases := map[string][]byte{
		"giant length":      {0xff, 0xff, 0xff, 0xff},
		"no msgpack":        frame("\xc1"),
		"cut value":         frame("\x85\xa1k"),
		"trailing bytes":    frame("\xc0\xc0"),
		"array of billions": frame("\xdd\xff\xff\xff\xff"),
		"nested too deep":   frame(string(bytes.Repeat([]byte{0x91}, 1<<20)) + "\xc0"),
		"another type":      frame("\xa4text"),
		"unknown kind":      frame("\x81\xa1k\x09"),
		"answer unasked":    frame("\x81\xa1k\x02"),
	}
	for name, sent := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newPair(t, testKey)
				connection, err := b.network.Dial(t.Context(), "tcp", "b:1")
				must.NoError(t, err)
				must.NoError(t, clientHandshake(connection, []byte(testKey), hello{From: "c", To: "b"}))
				connection.Write(sent)
				var answer envelope
				must.Error(t, readFrame(connection, MaxFrameBytes, &answer))
				must.StrContains(t, b.log.String(), "peer connection closed")
				got, err := b.echo(t.Context(), "1")
				must.NoError(t, err)
				must.Eq(t, "a1", got)
			})
		})
	}
}

// Calls of a peer beyond the limit are refused, and its connection stays open.
func TestConcurrentCallsOfAPeerAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newPair(t, testKey)
		var calls sync.WaitGroup
		const limit = 256
		errs := make(chan error, 2*limit)
		for range 2 * limit {
			calls.Go(func() { errs <- b.a.Call(t.Context(), "b", "slow", message{}, &message{}) })
		}
		synctest.Wait()
		close(b.release)
		calls.Wait()
		close(errs)
		refused := 0
		for err := range errs {
			if err != nil {
				must.StrContains(t, err.Error(), "too many calls are running")
				refused++
			}
		}
		must.Eq(t, limit, refused)
		must.Eq(t, 1, b.network.Dials())
	})
}

// A link is replaced when its host's address changes, so that links do not accumulate.
func TestLinkIsReplacedWhenAddressChanges(t *testing.T) {
	b := &Mesh{directory: directory{}, links: map[fleet.HostID]*link{}}
	for i := range 3 {
		b.link(fleet.Host{ID: "b", PeerAddress: fmt.Sprint("b:", i)})
	}
	must.MapLen(t, 1, b.links)
	must.Eq(t, "b:2", b.links["b"].address)
}

// Truncated, oversized and deeply nested values are refused before the recursive decoder runs.
func TestMalformedValuesAreRefusedBeforeDecoding(t *testing.T) {
	nested := func(depth int) []byte { return append(bytes.Repeat([]byte{0x91}, depth), 0xc0) }
	must.NoError(t, validate(nested(maxDepth)))
	for _, broken := range [][]byte{
		nil, nested(maxDepth + 1), nested(8 << 20), {0xdd, 0xff, 0xff, 0xff, 0xff}, {0xdf, 0xff, 0xff, 0xff, 0xff, 0},
		{0xc6, 0xff, 0xff, 0xff, 0xff}, {0xc1}, {0xc0, 0xc0}, {0xcf, 0}, {0xd8, 0}, {0xc9, 0, 0, 0, 1, 0},
	} {
		must.ErrorIs(t, decode(broken, new(any)), errMalformed)
	}
}

// Every value that the codec encodes passes validation.
func TestValidateAcceptsEncodedValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		value := map[string]any{
			"b": rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"),
			"s": rapid.SliceOfN(rapid.String(), 0, 40).Draw(t, "strings"),
			"i": rapid.SliceOf(rapid.Int64()).Draw(t, "ints"),
			"f": rapid.Float64().Draw(t, "float"),
			"m": rapid.MapOf(rapid.Uint64(), rapid.Bool()).Draw(t, "map"),
			"t": time.Unix(rapid.Int64Range(0, 1<<40).Draw(t, "time"), 5),
			"l": string(make([]byte, rapid.IntRange(0, 70000).Draw(t, "length"))),
		}
		body, err := msgpack.Marshal(value)
		must.NoError(t, err)
		must.NoError(t, validate(body))
	})
}

// Any bytes from a peer are refused or read as a frame, which is unchanged after it is encoded and read
// again.
func FuzzReadFrame(f *testing.F) {
	good, _ := encodeFrame(envelope{Kind: kindRequest, ID: 7, Method: "m", Body: []byte{0x81, 0xa1, 'a', 0xc3}})
	f.Add(good)
	f.Add([]byte{0, 0, 0, 5, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, text []byte) {
		near, far := net.Pipe()
		go func() { far.Write(text); far.Close() }()
		defer near.Close()
		var message envelope
		if readFrame(near, MaxFrameBytes, &message) != nil {
			return
		}
		again, err := encodeFrame(message)
		must.NoError(t, err)
		var second envelope
		must.NoError(t, readFrame(bytes.NewReader(again), MaxFrameBytes, &second))
		must.Eq(t, message, second)
		var into any
		decode(message.Body, &into)
	})
}
