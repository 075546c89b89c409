package proxy

import (
	"sync"
	"sync/atomic"
)

// memory bounds the bytes of requests and answers held at once. New requests are
// turned away beyond the bound; an answer is taken in past it, for its request has run
// and nothing but the answer is of use now.
type memory struct {
	most int64
	used atomic.Int64
}

// take reserves n bytes, or tells that there is no room.
func (m *memory) take(n int) bool {
	if m.used.Add(int64(n)) > m.most {
		m.used.Add(-int64(n))
		return false
	}
	return true
}

// force reserves n bytes past the bound.
func (m *memory) force(n int) { m.used.Add(int64(n)) }

// give returns n bytes.
func (m *memory) give(n int) { m.used.Add(-int64(n)) }

// maxPooled is the largest buffer kept for use again: a few large downloads must not
// stay in memory for good.
const maxPooled = 256 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, 2048); return &b }}

func getBuffer() []byte { return (*buffers.Get().(*[]byte))[:0] }

func putBuffer(b []byte) {
	if c := cap(b); c == 0 || c > maxPooled {
		return
	}
	buffers.Put(&b)
}
