package quorum

import (
	"encoding/binary"
	"errors"
	"strconv"
	"strings"

	"walkrudder/internal/item"
)

// Merge items have their own key prefix on disk, which differs from the prefix of the
// keyed registers, so that keys of the two never collide.
const (
	mergePrefix = "m/"
	// mergeFormat is the version of the encoding of one merge item. The encoding is written
	// by hand because gob would repeat its type description in each of several thousand values.
	mergeFormat    = 1
	mergeTombstone = 1
)

var errMergeFormat = errors.New("invalid merge item encoding")

// mergeDiskKey returns the disk key of a merge item.
func mergeDiskKey(k item.Key) string { return itemDiskKey(mergePrefix, k) }

// itemDiskKey returns the disk key of an item under a prefix.
func itemDiskKey(prefix string, k item.Key) string {
	return prefix + strconv.Itoa(int(k.Kind)) + "/" + k.Name
}

// parseItemDiskKey is the inverse of itemDiskKey.
func parseItemDiskKey(prefix, key string) (item.Key, bool) {
	rest, hasPrefix := strings.CutPrefix(key, prefix)
	kind, name, ok := strings.Cut(rest, "/")
	n, err := strconv.ParseUint(kind, 10, 8)
	return item.Key{Kind: item.Kind(n), Name: name}, hasPrefix && ok && err == nil
}

// encodeMergeItem encodes all parts of an item that the disk key does not contain: format
// version, flags, item version and body.
func encodeMergeItem(it item.Item) []byte {
	b := make([]byte, 0, 2+binary.MaxVarintLen64+len(it.Body))
	var flags byte
	if it.Gone {
		flags = mergeTombstone
	}
	b = binary.AppendUvarint(append(b, mergeFormat, flags), it.Version)
	return append(b, it.Body...)
}

// decodeMergeItem decodes a merge item from its disk key and value.
func decodeMergeItem(key string, b []byte) (it item.Item, err error) {
	k, ok := parseItemDiskKey(mergePrefix, key)
	if !ok {
		return it, errMergeFormat
	}
	if len(b) < 3 || b[0] != mergeFormat || b[1]&^mergeTombstone != 0 {
		return it, errMergeFormat
	}
	version, width := binary.Uvarint(b[2:])
	if width <= 0 {
		return it, errMergeFormat
	}
	it.Key = k
	it.Version, it.Gone = version, b[1] == mergeTombstone
	if body := b[2+width:]; len(body) > 0 {
		it.Body = body
	}
	return it, nil
}
