package proxy

import (
	"sync"
	"sync/atomic"
)

// memoryBudget bounds the bytes of requests and answers held at once. New requests are
// rejected beyond the limit; answers are accepted past it, because their requests have run
// and only the answer is still of use.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// tryReserve reserves n bytes; it returns false if the limit would be exceeded.
func (m *memoryBudget) tryReserve(n int) bool {
	if m.used.Add(int64(n)) > m.limit {
		m.used.Add(-int64(n))
		return false
	}
	return true
}

// reserve reserves n bytes even past the limit.
func (m *memoryBudget) reserve(n int) { m.used.Add(int64(n)) }

// release returns n bytes.
func (m *memoryBudget) release(n int) { m.used.Add(-int64(n)) }

// maxPooledBuffer is the largest buffer kept for reuse, so that a few large downloads do not
// occupy memory permanently.
const maxPooledBuffer = 256 << 10

var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 2048); return &b }}

func getBuffer() []byte { return (*bufferPool.Get().(*[]byte))[:0] }

func putBuffer(b []byte) {
	if c := cap(b); c == 0 || c > maxPooledBuffer {
		return
	}
	bufferPool.Put(&b)
}
