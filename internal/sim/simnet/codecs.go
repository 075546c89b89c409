package simnet

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"sync"
)

// parcel lets gob transfer a value of any registered type.
type parcel struct{ V any }

// codec holds both ends of one gob stream. Gob sends the description of a type only once
// per stream, as on a real link.
type codec struct {
	buf bytes.Buffer
	enc *gob.Encoder
	dec *gob.Decoder
}

// CodecPool copies values through gob. Idle codecs are kept in a slice: a sync.Pool would
// drop some at random, and a new codec has to learn every type again.
type CodecPool struct {
	mu     sync.Mutex
	idle   []*codec
	counts map[string]int
	bytes  int
}

// RoundTrip returns a copy of v, encoded and decoded as on a real link.
func (s *CodecPool) RoundTrip(v any) (any, error) {
	s.mu.Lock()
	var c *codec
	if k := len(s.idle); k > 0 {
		c, s.idle = s.idle[k-1], s.idle[:k-1]
	}
	s.mu.Unlock()
	if c == nil {
		c = &codec{}
		c.enc, c.dec = gob.NewEncoder(&c.buf), gob.NewDecoder(&c.buf)
	}
	if err := c.enc.Encode(parcel{v}); err != nil {
		return nil, err
	}
	size := c.buf.Len()
	var p parcel
	if err := c.dec.Decode(&p); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = append(s.idle, c)
	if s.counts == nil {
		s.counts = map[string]int{}
	}
	s.counts[fmt.Sprintf("%T", v)]++
	s.bytes += size
	return p.V, nil
}
