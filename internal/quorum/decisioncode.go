package quorum

import (
	"encoding/binary"
	"errors"

	"walkrudder/internal/item"
)

// Item register records have their own key prefix on disk.
const (
	recordPrefix = "d/"
	// recordFormat is the version of the encoding of one record.
	recordFormat = 1
	// Flags of a record: an item was decided; the item is a tombstone; the body is omitted
	// because the merge item of the same name holds it.
	recordDecided     = 1 << 0
	recordTombstone   = 1 << 1
	recordBodyOmitted = 1 << 2
)

var errRecordFormat = errors.New("invalid item register record")

func recordDiskKey(k item.Key) string { return itemDiskKey(recordPrefix, k) }

// encodeRecord encodes all parts of a record that the disk key does not contain. With omitBody
// set, the body is left out because the merge item of the same name holds it.
func encodeRecord(r record, omitBody bool) []byte {
	flags := byte(0)
	if r.Decision.Decided() {
		flags |= recordDecided
	}
	if r.Decision.Item.Gone {
		flags |= recordTombstone
	}
	if omitBody {
		flags |= recordBodyOmitted
	}
	b := []byte{recordFormat, flags}
	for _, ballot := range []Ballot{r.Promised, r.Accepted} {
		b = binary.AppendUvarint(b, ballot.N)
		b = appendString(b, ballot.By)
	}
	b = appendString(b, r.Decision.Call)
	b = binary.AppendUvarint(b, r.Decision.Item.Version)
	b = binary.AppendUvarint(b, uint64(len(r.Decision.Past)))
	for _, p := range r.Decision.Past {
		b = binary.AppendUvarint(b, p.Version)
		b = appendString(b, p.Digest)
	}
	if omitBody {
		return b
	}
	return append(b, r.Decision.Item.Body...)
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

// recordReader reads the fields of a record in sequence. After the first read that fails, all
// further reads fail.
type recordReader struct {
	rest   []byte
	failed bool
}

func (r *recordReader) readUvarint() uint64 {
	n, width := binary.Uvarint(r.rest)
	if width <= 0 {
		r.failed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[width:]
	return n
}

func (r *recordReader) readString() string {
	n := r.readUvarint()
	if n > uint64(len(r.rest)) {
		r.failed, r.rest = true, nil
		return ""
	}
	s := string(r.rest[:n])
	r.rest = r.rest[n:]
	return s
}

// decodeRecord decodes a record from its disk key and value. bodyOmitted reports that the body
// is that of the merge item of the same name.
func decodeRecord(key string, b []byte) (r record, k item.Key, bodyOmitted bool, err error) {
	k, ok := parseItemDiskKey(recordPrefix, key)
	if !ok || len(b) < 2 || b[0] != recordFormat {
		return r, k, false, errRecordFormat
	}
	flags := b[1]
	in := recordReader{rest: b[2:]}
	for _, ballot := range []*Ballot{&r.Promised, &r.Accepted} {
		ballot.N, ballot.By = in.readUvarint(), in.readString()
	}
	r.Decision.Call = in.readString()
	r.Decision.Item.Version = in.readUvarint()
	past := in.readUvarint()
	if in.failed || past > maxPastVersions {
		return r, k, false, errRecordFormat
	}
	for range past {
		r.Decision.Past = append(r.Decision.Past, PastVersion{in.readUvarint(), in.readString()})
	}
	if in.failed {
		return r, k, false, errRecordFormat
	}
	if flags&recordDecided != 0 {
		r.Decision.Item.Key, r.Decision.Item.Gone = k, flags&recordTombstone != 0
	}
	bodyOmitted = flags&recordBodyOmitted != 0
	if len(in.rest) > 0 && !bodyOmitted {
		r.Decision.Item.Body = in.rest
	}
	return r, k, bodyOmitted, nil
}
