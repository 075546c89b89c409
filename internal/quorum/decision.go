package quorum

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"walkrudder/internal/item"
)

// maxPast bounds the earlier versions of one name whose contents are remembered.
const maxPast = 32

// PastVersion is an earlier version of an item, and the digest of the one content that
// it may have.
type PastVersion struct {
	Version uint64
	Digest  string
}

// Decision is the value of one item's register: the newest item, and which contents the
// versions before it have (design 20.4).
type Decision struct {
	Item item.Item // of no kind where nothing was decided
	// Call names the call that offered the item, by the digest of all that it held; "" is not
	// known.
	Call string
	Past []PastVersion
}

// Decided tells whether there is an item at all.
func (d Decision) Decided() bool { return d.Item.Kind != 0 }

// verdict is what a register says of an item that is offered to it.
type verdict uint8

const (
	// taken is an item that becomes the newest.
	taken verdict = iota
	// repeated is one that is the newest, or was.
	repeated
	// overtaken is one below the newest, of whose version nothing was known: it changes
	// nothing but that its version has this content from now on.
	overtaken
	// conflicting is one whose version has another content.
	conflicting
)

// offer tells what becomes of the register when a call offers an item to it.
func (d Decision) offer(it item.Item, call string) (Decision, verdict) {
	switch c := cmp.Compare(it.Version, d.Item.Version); {
	case !d.Decided():
		return Decision{Item: it, Call: call}, taken
	case c > 0:
		return Decision{Item: it, Call: call, Past: withPast(d.Past, PastVersion{d.Item.Version, d.Item.Digest()})}, taken
	case c == 0 && it.Same(d.Item):
		return d, repeated
	case c == 0:
		return d, conflicting
	}
	i, found := slices.BinarySearchFunc(d.Past, it.Version, func(p PastVersion, v uint64) int { return cmp.Compare(p.Version, v) })
	switch {
	case found && d.Past[i].Digest == it.Digest():
		return d, repeated
	case found:
		return d, conflicting
	case i == 0 && len(d.Past) >= maxPast:
		// Older than all that is remembered: it changes nothing, whatever it holds.
		return d, repeated
	}
	return Decision{Item: d.Item, Call: d.Call, Past: withPast(d.Past, PastVersion{it.Version, it.Digest()})}, overtaken
}

// withPast is past with one more version, without the oldest where that is too many.
func withPast(past []PastVersion, p PastVersion) []PastVersion {
	out := append(slices.Clone(past), p)
	slices.SortFunc(out, func(a, b PastVersion) int { return cmp.Compare(a.Version, b.Version) })
	return out[max(0, len(out)-maxPast):]
}

// under is the decision where an item is known to be decided: an older one that was only
// accepted here gives way to it.
func (d Decision) under(it item.Item) Decision {
	switch {
	case d.Decided() && it.Version < d.Item.Version:
		return d
	case !d.Item.Same(it):
		d.Call = ""
	}
	d.Item = it
	return d
}

// callOf is the digest of all that a call holds, in whatever order.
func callOf(items []item.Item) string {
	lines := make([]string, 0, len(items))
	for _, it := range items {
		lines = append(lines, fmt.Sprintf("%d %q %d %s", it.Kind, it.Name, it.Version, it.Digest()))
	}
	slices.Sort(lines)
	sum := sha256.Sum256([]byte(strings.Join(lines, "\n")))
	return hex.EncodeToString(sum[:8])
}

// record is the state of one item's register at one voter.
type record struct {
	Promised Ballot
	Accepted Ballot
	Decision Decision
	// bodiless says, in a transfer only, that the body of the decision's item was left out: it
	// is that of the merge item which the same voter tells.
	bodiless bool
}

// join is what a seat holds that has both records: the decision of the higher ballot, and
// every promise.
func (r record) join(o record) record {
	if o.Accepted.Compare(r.Accepted) > 0 {
		r.Accepted, r.Decision, r.bodiless = o.Accepted, o.Decision, o.bodiless
	}
	if o.Promised.Compare(r.Promised) > 0 {
		r.Promised = o.Promised
	}
	return r
}
