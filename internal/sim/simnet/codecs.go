package simnet

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"sync"
)

type parcel struct{ V any }

// codec is both ends of one gob stream, through which the description of a type travels
// once, as on a real link.
type codec struct {
	b   bytes.Buffer
	enc *gob.Encoder
	dec *gob.Decoder
}

// Codecs copy values through gob. Kept are those at rest: a sync.Pool would drop some at random, and
// a new one learns every type again.
type Codecs struct {
	mu    sync.Mutex
	rest  []*codec
	kinds map[string]int
	bytes int
}

// Through is a copy of v as it comes out at the other end of a link.
func (s *Codecs) Through(v any) (any, error) {
	s.mu.Lock()
	var c *codec
	if k := len(s.rest); k > 0 {
		c, s.rest = s.rest[k-1], s.rest[:k-1]
	}
	s.mu.Unlock()
	if c == nil {
		c = &codec{}
		c.enc, c.dec = gob.NewEncoder(&c.b), gob.NewDecoder(&c.b)
	}
	if err := c.enc.Encode(parcel{v}); err != nil {
		return nil, err
	}
	size := c.b.Len()
	var p parcel
	if err := c.dec.Decode(&p); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rest = append(s.rest, c)
	if s.kinds == nil {
		s.kinds = map[string]int{}
	}
	s.kinds[fmt.Sprintf("%T", v)]++
	s.bytes += size
	return p.V, nil
}
