package watch

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"errors"
	"io"
	"sync"

	"walkrudder/internal/item"
	"walkrudder/internal/steperr"
	"walkrudder/internal/target"
)

const (
	// packThreshold is the size from which changes are compressed. A starting node receives
	// thousands of similar items, and links are slow and metered.
	packThreshold = 16 << 10
	// maxUnpacked limits the uncompressed size of an answer.
	maxUnpacked = 16 << 20
)

var errUnpackedTooLarge = errors.New("uncompressed size exceeds the limit")

// packed is the content of WatchTold.Packed.
type packed struct {
	Items []item.Item
	Runs  []target.Run
}

var flateWriters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		// The level is a constant of the flate package, so this can't fail.
		panic(err)
	}
	return w
}}

// pack compresses the items and runs of a large answer into Packed.
func (t *WatchTold) pack() error {
	n := 0
	for _, i := range t.Items {
		n += len(i.Name) + len(i.Body) + 16
	}
	for _, r := range t.Runs {
		n += len(r.ID) + len(r.Addr) + len(r.Service) + len(r.Zone) + len(r.Version) + 24
	}
	if n < packThreshold {
		return nil
	}
	var b bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&b)
	if err := gob.NewEncoder(w).Encode(packed{t.Items, t.Runs}); err != nil {
		return steperr.Wrap("pack news", "", err)
	}
	if err := w.Close(); err != nil {
		return steperr.Wrap("pack news", "", err)
	}
	t.Items, t.Runs, t.Packed = nil, nil, b.Bytes()
	return nil
}

// limitedReader fails once a stream unpacks to more than the limit.
type limitedReader struct {
	src       io.Reader
	remaining int
}

func (b *limitedReader) Read(p []byte) (int, error) {
	if b.remaining <= 0 {
		return 0, errUnpackedTooLarge
	}
	n, err := b.src.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, err
}

// unpack restores Items and Runs from Packed.
func (t *WatchTold) unpack() error {
	if len(t.Packed) == 0 {
		return nil
	}
	var p packed
	r := flate.NewReader(bytes.NewReader(t.Packed))
	if err := gob.NewDecoder(&limitedReader{r, maxUnpacked}).Decode(&p); err != nil {
		return steperr.Wrap("unpack news", t.Me.ID, err)
	}
	t.Items, t.Runs, t.Packed = append(t.Items, p.Items...), append(t.Runs, p.Runs...), nil
	return nil
}
