package quorum

import (
	"encoding/binary"
	"errors"

	"walkrudder/internal/item"
)

// Records of item registers have a key space of their own on the disk.
const (
	recordPrefix = "d/"
	// recordForm is the version of the encoding of one record.
	recordForm = 1
	// The flags of a record: it holds an item, that item is a tombstone, and its body is
	// the one of the merge item of the same name, which is not written twice.
	recordDecided = 1 << 0
	recordGone    = 1 << 1
	recordMerged  = 1 << 2
)

var errRecordForm = errors.New("not the record of an item's register")

func recordKey(k item.Key) string { return keyUnder(recordPrefix, k) }

// packRecord writes what the disk key does not say. Where merged is set the body is left
// out: the merge item of the same name holds it.
func packRecord(r record, merged bool) []byte {
	flags := byte(0)
	if r.Decision.Decided() {
		flags |= recordDecided
	}
	if r.Decision.Item.Gone {
		flags |= recordGone
	}
	if merged {
		flags |= recordMerged
	}
	b := []byte{recordForm, flags}
	for _, ballot := range []Ballot{r.Promised, r.Accepted} {
		b = binary.AppendUvarint(b, ballot.N)
		b = appendText(b, ballot.By)
	}
	b = appendText(b, r.Decision.Call)
	b = binary.AppendUvarint(b, r.Decision.Item.Version)
	b = binary.AppendUvarint(b, uint64(len(r.Decision.Past)))
	for _, p := range r.Decision.Past {
		b = binary.AppendUvarint(b, p.Version)
		b = appendText(b, p.Digest)
	}
	if merged {
		return b
	}
	return append(b, r.Decision.Item.Body...)
}

func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// recordReader reads the parts of a record one after the other; the first that is not
// there spoils all that come after it.
type recordReader struct {
	left []byte
	bad  bool
}

func (r *recordReader) number() uint64 {
	n, width := binary.Uvarint(r.left)
	if width <= 0 {
		r.bad, r.left = true, nil
		return 0
	}
	r.left = r.left[width:]
	return n
}

func (r *recordReader) text() string {
	n := r.number()
	if n > uint64(len(r.left)) {
		r.bad, r.left = true, nil
		return ""
	}
	s := string(r.left[:n])
	r.left = r.left[n:]
	return s
}

// unpackRecord reads a record from its disk key and value. merged says that the body is
// that of the merge item of the same name.
func unpackRecord(key string, b []byte) (r record, k item.Key, merged bool, err error) {
	k, ok := keyOf(recordPrefix, key)
	if !ok || len(b) < 2 || b[0] != recordForm {
		return r, k, false, errRecordForm
	}
	flags := b[1]
	in := recordReader{left: b[2:]}
	for _, ballot := range []*Ballot{&r.Promised, &r.Accepted} {
		ballot.N, ballot.By = in.number(), in.text()
	}
	r.Decision.Call = in.text()
	r.Decision.Item.Version = in.number()
	past := in.number()
	if in.bad || past > maxPast {
		return r, k, false, errRecordForm
	}
	for range past {
		r.Decision.Past = append(r.Decision.Past, PastVersion{in.number(), in.text()})
	}
	if in.bad {
		return r, k, false, errRecordForm
	}
	if flags&recordDecided != 0 {
		r.Decision.Item.Key, r.Decision.Item.Gone = k, flags&recordGone != 0
	}
	merged = flags&recordMerged != 0
	if len(in.left) > 0 && !merged {
		r.Decision.Item.Body = in.left
	}
	return r, k, merged, nil
}
