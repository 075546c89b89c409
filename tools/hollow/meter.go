package main

import (
	"bytes"
	"encoding/binary"
	"maps"
	"net"
	"strings"
	"sync"
)

// Count is of messages and of their bytes.
type Count struct{ N, Bytes int64 }

// Meter counts what passes connections, by the other end's role, direction and message.
type Meter struct {
	// Role names the role of who calls from an IP.
	Role func(ip string) string

	mu sync.Mutex
	by map[string]Count
}

func (m *Meter) add(key string, n, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.by == nil {
		m.by = map[string]Count{}
	}
	c := m.by[key]
	m.by[key] = Count{c.N + n, c.Bytes + bytes}
}

// Read returns the counts so far.
func (m *Meter) Read() map[string]Count {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.by)
}

// diff is what came on top of a.
func diff(a, b map[string]Count) map[string]Count {
	out := map[string]Count{}
	for k, y := range b {
		if x := a[k]; x != y {
			out[k] = Count{y.N - x.N, y.Bytes - x.Bytes}
		}
	}
	return out
}

// metered listens and counts. Frames says that what passes are link's frames; else all
// bytes count for "http", and each write for a message.
type metered struct {
	net.Listener
	m      *Meter
	frames bool
}

func (l metered) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	ip, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	role := l.m.Role(ip)
	w := &meteredConn{Conn: c, m: l.m}
	if l.frames {
		w.in, w.out = &frames{m: l.m, key: role + " in "}, &frames{m: l.m, key: role + " out "}
	} else {
		w.in, w.out = plain{l.m, role + " in http"}, plain{l.m, role + " out http"}
	}
	return w, nil
}

type feeder interface{ feed(p []byte) }

// meteredConn is read by one goroutine, and written by one at a time, as link does.
type meteredConn struct {
	net.Conn
	m       *Meter
	in, out feeder
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.in.feed(p[:n])
	}
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	// Counted first: whoever has an answer finds it counted.
	c.out.feed(p)
	return c.Conn.Write(p)
}

type plain struct {
	m   *Meter
	key string
}

func (w plain) feed(p []byte) { w.m.add(w.key, 1, int64(len(p))) }

const (
	// headLen is the length of a frame's mark, and sizeBits are those of it that hold the
	// frame's size.
	headLen  = 4
	sizeBits = 1<<31 - 1
	// peek is how much of a frame is looked at for its message's name: the first of a
	// kind on a link carries the description of its type before it.
	peek = 2 << 10
)

// frames cuts a stream into frames and counts each under its message's name.
type frames struct {
	m    *Meter
	key  string
	head []byte
	left int
	size int
	seen []byte
}

func (f *frames) feed(p []byte) {
	for len(p) > 0 {
		if f.left == 0 {
			k := min(headLen-len(f.head), len(p))
			f.head = append(f.head, p[:k]...)
			if p = p[k:]; len(f.head) < headLen {
				return
			}
			f.size = int(binary.BigEndian.Uint32(f.head) & sizeBits)
			f.left, f.head, f.seen = f.size, f.head[:0], f.seen[:0]
			continue
		}
		k := min(f.left, len(p))
		if room := peek - len(f.seen); room > 0 {
			f.seen = append(f.seen, p[:min(k, room)]...)
		}
		p = p[k:]
		if f.left -= k; f.left == 0 {
			f.m.add(f.key+message(f.seen), 1, int64(headLen+f.size))
		}
	}
}

// packages are those whose messages have names on links.
var packages = []string{"watch", "quorum"}

// message finds the name of a frame's message: gob writes the registered name of a
// value's type before the value.
func message(b []byte) string {
	for i := 0; i < len(b); i++ {
		d := bytes.IndexByte(b[i:], '.')
		if d < 0 {
			break
		}
		i += d
		for _, p := range packages {
			if !bytes.HasSuffix(b[:i], []byte(p)) {
				continue
			}
			e := i + 1
			for e < len(b) && (b[e] >= 'a' && b[e] <= 'z' || b[e] >= 'A' && b[e] <= 'Z') {
				e++
			}
			if name := string(b[i+1 : e]); name != "" && strings.ToUpper(name[:1]) == name[:1] {
				return p + "." + name
			}
		}
	}
	return "other"
}
