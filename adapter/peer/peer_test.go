package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"net"
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
	// freshWithin is the users' goal: the first try of a fresh connection after silence.
	freshWithin = 3 * time.Second
)

type directory struct{}

func (directory) Router(id fleet.HostID) (fleet.Host, bool) {
	return fleet.Host{ID: id, PeerAddress: string(id) + ":1"}, true
}

// bench is two routers, of which a calls b.
type bench struct {
	network *pipenet.Network
	a       *Mesh
	log     *logtest.Buffer
	handled int
	// release lets the handlers of "slow" end.
	release chan struct{}
}

type message struct{ Text string }

func newBench(t *testing.T, keyOfA string) *bench {
	t.Helper()
	b := &bench{network: &pipenet.Network{}, log: &logtest.Buffer{}, release: make(chan struct{})}
	logger := log.New(b.log)
	b.a = NewOn(b.network.Dial, "a", directory{}, keyOfA, logger)
	called := NewOn(b.network.Dial, "b", directory{}, testKey, logger)
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

func (b *bench) echo(ctx context.Context, text string) (string, error) {
	var got message
	err := b.a.Call(ctx, "b", "echo", message{Text: text}, &got)
	return got.Text, err
}

// A connection that has gone silent while new ones work costs the caller no answer.
func TestCallMovesFromASilentConnectionToAFreshOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, testKey)
		got, err := b.echo(t.Context(), "1")
		must.NoError(t, err)
		must.Eq(t, "a1", got)
		must.Eq(t, 1, b.network.Dials())
		b.network.Silence()
		started := time.Now()
		got, err = b.echo(t.Context(), "2")
		must.NoError(t, err)
		must.Eq(t, "a2", got)
		must.Eq(t, 2, b.network.Dials())
		must.LessEq(t, freshWithin, time.Since(started))
		t.Logf("answered %s after the silence", time.Since(started))
	})
}

// A handler that takes long is not mistaken for a silent connection.
func TestSlowHandlerKeepsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, testKey)
		time.AfterFunc(time.Minute, func() { close(b.release) })
		must.NoError(t, b.a.Call(t.Context(), "b", "slow", message{}, &message{}))
		must.Eq(t, 1, b.network.Dials())
	})
}

// A peer that does not read is given up, and so are the calls that wait behind the write.
func TestWriteThatHangsEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, testKey)
		frozen := b.network.Listen("frozen:1")
		defer frozen.Close()
		go func() {
			for {
				connection, err := frozen.Accept()
				if err != nil {
					return
				}
				admit(connection, []byte(testKey), "frozen")
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
		must.LessEq(t, freshWithin, time.Since(started))
	})
}

// Routers of another fleet, or programs that are no router, get and give nothing.
func TestStrangersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, "another-key-of-at-least-32-characters")
		_, err := b.echo(t.Context(), "1")
		must.ErrorIs(t, err, port.ErrPeerUnreachable)
		must.StrContains(t, err.Error(), string(errStranger))
		must.Zero(t, b.handled)

		// Someone who sends the called router's own proof back is refused too.
		connection, err := b.network.Dial(t.Context(), "tcp", "b:1")
		must.NoError(t, err)
		defer connection.Close()
		must.NoError(t, writeFrame(connection, hello{Version: protocolVersion, From: "a", To: "b", Nonce: newNonce()}))
		var asked challenge
		must.NoError(t, readFrame(connection, maxHandshakeFrame, &asked))
		must.NoError(t, writeFrame(connection, proof{Proof: asked.Proof}))
		must.Error(t, readFrame(connection, maxHandshakeFrame, &envelope{}))
		must.StrContains(t, b.log.String(), string(errStranger))
	})
}

func TestSilentStrangerIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, testKey)
		connection, err := b.network.Dial(t.Context(), "tcp", "b:1")
		must.NoError(t, err)
		started := time.Now()
		must.Error(t, readFrame(connection, maxHandshakeFrame, &envelope{}))
		must.LessEq(t, freshWithin, time.Since(started))
		must.StrContains(t, b.log.String(), "peer refused")
	})
}

// Whatever a peer sends, its connection is closed with a logged error, and others go on.
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
				b := newBench(t, testKey)
				connection, err := b.network.Dial(t.Context(), "tcp", "b:1")
				must.NoError(t, err)
				must.NoError(t, greet(connection, []byte(testKey), "c", "b"))
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

// A peer that starts calls without end has the excess refused; its connection lives.
func TestRunningCallsOfAPeerAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, testKey)
		var calls sync.WaitGroup
		const most = 256
		errs := make(chan error, 2*most)
		for range 2 * most {
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
		must.Eq(t, most, refused)
		must.Eq(t, 1, b.network.Dials())
	})
}

// Links of hosts that were replaced do not pile up.
func TestLinksFollowTheirHostsAddress(t *testing.T) {
	b := &Mesh{directory: directory{}, links: map[fleet.HostID]*link{}}
	for i := range 3 {
		b.link(fleet.Host{ID: "b", PeerAddress: fmt.Sprint("b:", i)})
	}
	must.MapLen(t, 1, b.links)
	must.Eq(t, "b:2", b.links["b"].address)
}

func TestShapeIsCheckedBeforeDecoding(t *testing.T) {
	nested := func(depth int) []byte { return append(bytes.Repeat([]byte{0x91}, depth), 0xc0) }
	must.NoError(t, checkShape(nested(maxDepth)))
	for _, broken := range [][]byte{
		nil, nested(maxDepth + 1), nested(8 << 20), {0xdd, 0xff, 0xff, 0xff, 0xff}, {0xdf, 0xff, 0xff, 0xff, 0xff, 0},
		{0xc6, 0xff, 0xff, 0xff, 0xff}, {0xc1}, {0xc0, 0xc0}, {0xcf, 0}, {0xd8, 0}, {0xc9, 0, 0, 0, 1, 0},
	} {
		must.ErrorIs(t, decode(broken, new(any)), errShape)
	}
}

// Whatever the codec writes passes the check.
func TestShapeTakesWhatTheCodecWrites(t *testing.T) {
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
		must.NoError(t, checkShape(body))
	})
}

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
