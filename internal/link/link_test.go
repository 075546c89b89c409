package link

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

type (
	echoAsk  struct{ Text string }
	echoTold struct{ Text string }
	boomAsk  struct{ N int }
)

func startServer(t *testing.T) (*TCP, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := NewMux()
	Handle(mux, func(_ context.Context, w Identity, a echoAsk) (echoTold, error) {
		if a.Text == "fail" {
			return echoTold{}, errors.New("as asked")
		}
		return echoTold{w.ID + ":" + a.Text}, nil
	})
	Handle(mux, func(context.Context, Identity, boomAsk) (echoTold, error) { panic("boom") })
	server := NewTCP(Identity{ID: "srv", Kind: "controller"}, "", log.New(io.Discard))
	go server.Serve(ln, mux)
	t.Cleanup(server.Close)
	return server, ln.Addr().String()
}

func TestLinkAnswersAndSurvivesPanics(t *testing.T) {
	_, addr := startServer(t)
	client := NewTCP(Identity{ID: "cli", Kind: "tool"}, "", log.New(io.Discard))
	defer client.Close()
	ctx := context.Background()
	for range 3 {
		r, err := Call[echoTold](ctx, client, addr, echoAsk{"hi"})
		if err != nil || r.Text != "cli:hi" {
			t.Fatalf("%v %v", r, err)
		}
		if _, err := client.Call(ctx, addr, echoAsk{"fail"}); err == nil {
			t.Fatal("the handler's error was not returned")
		}
		if _, err := client.Call(ctx, addr, boomAsk{1}); err == nil {
			t.Fatal("a panic in the handler was returned as a response")
		}
	}
}

// An invalid message ends its own connection only; the next connection is served.
func TestBrokenFramesEndTheirLinkOnly(t *testing.T) {
	_, addr := startServer(t)
	var good bytes.Buffer
	if err := newFramer(nil, &good).write(greeting{protocolMagic, protocolVersion, "x", "tool"}); err != nil {
		t.Fatal(err)
	}
	huge := binary.BigEndian.AppendUint32(nil, MaxFrameSize+1)
	for name, raw := range map[string][]byte{
		"no gob":             append(binary.BigEndian.AppendUint32(nil, 5), "hello"...),
		"too large":          huge,
		"empty":              {0, 0, 0, 0},
		"greeting then junk": append(bytes.Clone(good.Bytes()), 0, 0, 0, 3, 1, 2, 3),
		"greeting too large": append(bytes.Clone(good.Bytes()), huge...),
	} {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write(raw)
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := io.Copy(io.Discard, c); err != nil {
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				t.Errorf("%s: the connection was left open", name)
			}
		}
		_ = c.Close()
	}
	c := NewTCP(Identity{ID: "cli", Kind: "tool"}, "", log.New(io.Discard))
	defer c.Close()
	if _, err := Call[echoTold](context.Background(), c, addr, echoAsk{"still"}); err != nil {
		t.Fatal(err)
	}
}

func FuzzFrames(f *testing.F) {
	var b bytes.Buffer
	w := newFramer(nil, &b)
	_ = w.write(greeting{protocolMagic, protocolVersion, "x", "tool"})
	_ = w.write(&envelope{ID: 1, Body: echoAsk{"x"}})
	f.Add(b.Bytes())
	f.Add([]byte{0, 0, 0, 1, 0})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	RegisterPair[echoAsk, echoTold]()
	f.Fuzz(func(t *testing.T, raw []byte) {
		r := newFramer(bytes.NewReader(raw), io.Discard)
		var g greeting
		if r.read(&g) != nil || g.validate() != nil {
			return
		}
		for range 10 {
			var e envelope
			if r.read(&e) != nil {
				return
			}
		}
	})
}

type blobAsk struct {
	Name string
	Blob []byte
}

// TestALargeFrameIsNotKept: neither end retains buffers of the size of the largest value sent,
// and small values are sent after it as before, with their types described once.
func TestALargeFrameIsNotKept(t *testing.T) {
	Register[blobAsk]()
	var wire bytes.Buffer
	writer, reader := newFramer(nil, &wire), newFramer(&wire, nil)
	roundTrip := func(n int) int {
		t.Helper()
		if err := writer.write(&envelope{ID: uint64(n), Body: blobAsk{"b", bytes.Repeat([]byte{7}, n)}}); err != nil {
			t.Fatal(err)
		}
		size := wire.Len()
		var e envelope
		if err := reader.read(&e); err != nil {
			t.Fatal(err)
		}
		if a, ok := e.Body.(blobAsk); !ok || len(a.Blob) != n || e.ID != uint64(n) {
			t.Fatalf("%T with %d bytes, ID %d", e.Body, len(a.Blob), e.ID)
		}
		return size
	}
	first, second := roundTrip(10), roundTrip(10)
	if second >= first {
		t.Errorf("types are described in each frame: %d and %d bytes", first, second)
	}
	enc, dec := writer.enc, reader.dec
	roundTrip(maxRetainedFrame / 2)
	if writer.enc != enc || reader.dec != dec {
		t.Error("a small frame reset the stream")
	}
	roundTrip(4 << 20)
	if writer.enc == enc || reader.dec == dec {
		t.Error("the stream and its buffers were retained after a large frame")
	}
	for name, n := range map[string]int{"writer": writer.writeBuf.Cap(), "reader": reader.readBuf.Cap()} {
		if n > 2*maxRetainedFrame {
			t.Errorf("the %s retains %d bytes", name, n)
		}
	}
	roundTrip(4 << 20)
	for range 3 {
		roundTrip(100)
	}
}

// The size limit also applies to a length with the stream reset bit.
func TestAMarkedFrameIsBounded(t *testing.T) {
	var header [4]byte
	binary.BigEndian.PutUint32(header[:], streamResetBit|(MaxFrameSize+1))
	var v echoAsk
	if err := newFramer(bytes.NewReader(header[:]), io.Discard).read(&v); !errors.Is(err, errFrameSize) {
		t.Errorf("%v", err)
	}
}
