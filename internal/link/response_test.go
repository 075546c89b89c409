package link

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"github.com/charmbracelet/log"
)

// brokenPeer accepts connections, greets, reads one request of each and writes what respond returns. closed has a value
// for each connection that the other side closed.
func brokenPeer(t *testing.T, respond func(frames *framer, request envelope) []byte) (addr string, closed chan bool) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	closed = make(chan bool, 16)
	serve := func(c net.Conn) {
		defer c.Close()
		frames := newFramer(c, c)
		var g greeting
		var request envelope
		if frames.read(&g) != nil || frames.write(greeting{protocolMagic, protocolVersion, "peer", "controller"}) != nil || frames.read(&request) != nil {
			return
		}
		_, _ = c.Write(respond(frames, request))
		_, _ = io.Copy(io.Discard, c)
		closed <- true
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String(), closed
}

// frameOf returns the bytes of a frame, in the gob stream of frames.
func frameOf(frames *framer, v any) []byte {
	var out bytes.Buffer
	frames.writer = &out
	_ = frames.write(v)
	return out.Bytes()
}

// What a peer sends and is no response ends its connection, and the call fails at once.
func TestBrokenResponsesFailTheCall(t *testing.T) {
	RegisterPair[echoAsk, echoTold]()
	size := func(n uint32) []byte { return binary.BigEndian.AppendUint32(nil, n) }
	for name, respond := range map[string]func(frames *framer, request envelope) []byte{
		"no gob":    func(*framer, envelope) []byte { return append(size(5), "hello"...) },
		"too large": func(*framer, envelope) []byte { return size(MaxFrameSize + 1) },
		"empty":     func(*framer, envelope) []byte { return size(0) },
		"bytes behind a value": func(f *framer, q envelope) []byte {
			frame := append(frameOf(f, &envelope{ID: q.ID, Reply: true, Body: echoTold{"x"}}), 0)
			binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))
			return frame
		},
		"a request of its own": func(f *framer, q envelope) []byte { return frameOf(f, &envelope{ID: q.ID, Body: echoTold{"x"}}) },
	} {
		addr, closed := brokenPeer(t, respond)
		client := NewTCP(Identity{ID: "cli", Kind: "tool"}, "", log.New(io.Discard))
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		if r, err := Call[echoTold](ctx, client, addr, echoAsk{"hi"}); err == nil || ctx.Err() != nil {
			t.Errorf("%s: %+v, %v", name, r, err)
		}
		select {
		case <-closed:
		case <-ctx.Done():
			t.Errorf("%s: the connection was left open", name)
		}
		cancel()
		client.Close()
	}
}

// A response of another type, or to no call, is not taken for the response to a call.
func TestResponsesOfOthersAreNotTaken(t *testing.T) {
	RegisterPair[echoAsk, echoTold]()
	for name, respond := range map[string]func(frames *framer, request envelope) []byte{
		"another type": func(f *framer, q envelope) []byte {
			return frameOf(f, &envelope{ID: q.ID, Reply: true, Body: echoAsk{"x"}})
		},
		"no body": func(f *framer, q envelope) []byte { return frameOf(f, &envelope{ID: q.ID, Reply: true}) },
		"to another call": func(f *framer, q envelope) []byte {
			return frameOf(f, &envelope{ID: q.ID + 1, Reply: true, Body: echoTold{"x"}})
		},
		"an error": func(f *framer, q envelope) []byte {
			return frameOf(f, &envelope{ID: q.ID, Reply: true, Err: "no", Body: echoTold{"x"}})
		},
	} {
		addr, _ := brokenPeer(t, respond)
		client := NewTCP(Identity{ID: "cli", Kind: "tool"}, "", log.New(io.Discard))
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		if r, err := Call[echoTold](ctx, client, addr, echoAsk{"hi"}); err == nil {
			t.Errorf("%s: taken as %+v", name, r)
		}
		cancel()
		client.Close()
	}
}
