package quorum

import (
	"encoding/binary"
	"errors"
	"strconv"
	"strings"

	"walkrudder/internal/item"
)

// Merge items have a key space of their own on the disk. A register's disk key
// starts with another prefix, so that no register can fall here.
const (
	mergePrefix = "m/"
	// mergeForm is the version of the encoding of one merge item. Hand-written,
	// since gob would describe its type again in each of some thousand values.
	mergeForm = 1
	mergeGone = 1
)

var errMergeForm = errors.New("not a merge item")

// mergeKey is the disk key of a merge item.
func mergeKey(k item.Key) string { return keyUnder(mergePrefix, k) }

// keyUnder is the disk key of an item in a key space.
func keyUnder(prefix string, k item.Key) string {
	return prefix + strconv.Itoa(int(k.Kind)) + "/" + k.Name
}

// keyOf reads what keyUnder wrote.
func keyOf(prefix, key string) (item.Key, bool) {
	rest, under := strings.CutPrefix(key, prefix)
	kind, name, ok := strings.Cut(rest, "/")
	n, err := strconv.ParseUint(kind, 10, 8)
	return item.Key{Kind: item.Kind(n), Name: name}, under && ok && err == nil
}

// packMerge writes what the disk key does not say: the encoding's version, flags,
// the item's version, and the body.
func packMerge(it item.Item) []byte {
	b := make([]byte, 0, 2+binary.MaxVarintLen64+len(it.Body))
	var f byte
	if it.Gone {
		f = mergeGone
	}
	b = binary.AppendUvarint(append(b, mergeForm, f), it.Version)
	return append(b, it.Body...)
}

// unpackMerge reads a merge item from its disk key and value.
func unpackMerge(key string, b []byte) (it item.Item, err error) {
	k, ok := keyOf(mergePrefix, key)
	if !ok {
		return it, errMergeForm
	}
	if len(b) < 3 || b[0] != mergeForm || b[1]&^mergeGone != 0 {
		return it, errMergeForm
	}
	v, w := binary.Uvarint(b[2:])
	if w <= 0 {
		return it, errMergeForm
	}
	it.Key = k
	it.Version, it.Gone = v, b[1] == mergeGone
	if body := b[2+w:]; len(body) > 0 {
		it.Body = body
	}
	return it, nil
}
