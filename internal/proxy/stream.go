package proxy

import (
	"io"
	"slices"
	"sync"

	"walkrudder/internal/http1"
)

// bodyStream is the body of a large answer that is forwarded to the caller while it is still
// received from the target (design 24.9). One goroutine reads at the target's speed, another
// writes at the caller's: a slow caller uses memory here and does not hold up the target. A body
// that is cut off on the way in is also cut off on the way out, so it never looks
// complete.
type bodyStream struct {
	size    int
	changed chan struct{} // signals new bytes or the end
	done    chan struct{} // closed at the end

	mu     sync.Mutex
	body   []byte
	err    error
	ended  bool
	source *conn // connection being read; nil after the end
}

func newBodyStream(c *conn, size int) *bodyStream {
	return &bodyStream{size: size, source: c, body: getBuffer(), changed: make(chan struct{}, 1), done: make(chan struct{})}
}

// fill reads the body. reserve is called before each growth of the buffer, and waitTurn before each
// piece is read.
func (p *bodyStream) fill(r io.Reader, reserve, waitTurn func(int)) error {
	for at := 0; at < p.size; {
		k := min(p.size-at, http1.ReadStep)
		reserve(k)
		p.mu.Lock()
		p.body = slices.Grow(p.body, k)
		p.mu.Unlock()
		for end := at + k; at < end; {
			waitTurn(min(largeBodyStep, end-at))
			// Only this goroutine writes, and only beyond the published length.
			m, err := io.ReadFull(r, p.body[at:min(at+largeBodyStep, end)])
			at += m
			p.mu.Lock()
			p.body = p.body[:at]
			p.mu.Unlock()
			if err != nil {
				return http1.UnexpectedEOF(err)
			}
			p.notify()
		}
	}
	return nil
}

func (p *bodyStream) notify() {
	select {
	case p.changed <- struct{}{}:
	default:
	}
}

// finish marks the end of the body; err is set if it was cut off.
func (p *bodyStream) finish(err error) {
	p.mu.Lock()
	p.err, p.ended, p.source = err, true, nil
	p.mu.Unlock()
	p.notify()
	close(p.done)
}

// readFrom returns the bytes from offset at, and waits if there are none yet.
func (p *bodyStream) readFrom(at int) ([]byte, error) {
	for {
		p.mu.Lock()
		b, err, over := p.body[at:], p.err, p.ended
		p.mu.Unlock()
		if len(b) > 0 || over {
			return b, err
		}
		<-p.changed
	}
}

// abort interrupts the reading if it is still going on, and waits for its end.
func (p *bodyStream) abort() {
	p.mu.Lock()
	if p.source != nil {
		p.source.abort()
	}
	p.mu.Unlock()
	<-p.done
}
