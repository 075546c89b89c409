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

// maxPastVersions bounds the number of earlier versions per item whose content digests are kept.
const maxPastVersions = 32

// PastVersion is an earlier version of an item with the digest of the only content that
// this version may have.
type PastVersion struct {
	Version uint64
	Digest  string
}

// Decision is the value of an item register: the newest item and the contents of its
// earlier versions (design 20.4).
type Decision struct {
	Item item.Item // zero Kind if nothing was decided
	// Call identifies the call that proposed the item, as a digest of all items of that call;
	// empty if unknown.
	Call string
	Past []PastVersion
}

// Decided reports whether the register holds an item.
func (d Decision) Decided() bool { return d.Item.Kind != 0 }

// offerOutcome is the result of offering an item to a register.
type offerOutcome uint8

const (
	// offerNewest means that the item becomes the newest.
	offerNewest offerOutcome = iota
	// offerRepeated means that the register knows this version with this content already, or that
	// the version is older than all that it remembers.
	offerRepeated
	// offerSuperseded means that the item is older than the newest and its version was unknown.
	// Only the digest of that version's content is added.
	offerSuperseded
	// offerConflicting means that the item's version already has another content.
	offerConflicting
)

// afterOffer returns the decision after a call offers an item to the register, and the outcome.
func (d Decision) afterOffer(it item.Item, call string) (Decision, offerOutcome) {
	switch c := cmp.Compare(it.Version, d.Item.Version); {
	case !d.Decided():
		return Decision{Item: it, Call: call}, offerNewest
	case c > 0:
		return Decision{Item: it, Call: call, Past: addPastVersion(d.Past, PastVersion{d.Item.Version, d.Item.Digest()})}, offerNewest
	case c == 0 && it.Equal(d.Item):
		return d, offerRepeated
	case c == 0:
		return d, offerConflicting
	}
	i, found := slices.BinarySearchFunc(d.Past, it.Version, func(p PastVersion, v uint64) int { return cmp.Compare(p.Version, v) })
	switch {
	case found && d.Past[i].Digest == it.Digest():
		return d, offerRepeated
	case found:
		return d, offerConflicting
	case i == 0 && len(d.Past) >= maxPastVersions:
		// Older than every version still remembered: ignored, whatever its content.
		return d, offerRepeated
	}
	return Decision{Item: d.Item, Call: d.Call, Past: addPastVersion(d.Past, PastVersion{it.Version, it.Digest()})}, offerSuperseded
}

// addPastVersion returns a copy of past with p added, without the oldest version if the limit is exceeded.
func addPastVersion(past []PastVersion, p PastVersion) []PastVersion {
	out := append(slices.Clone(past), p)
	slices.SortFunc(out, func(a, b PastVersion) int { return cmp.Compare(a.Version, b.Version) })
	return out[max(0, len(out)-maxPastVersions):]
}

// withDecidedItem returns the decision once an item is known to be decided: the item
// replaces an older one that was only accepted by this voter.
func (d Decision) withDecidedItem(it item.Item) Decision {
	switch {
	case d.Decided() && it.Version < d.Item.Version:
		return d
	case !d.Item.Equal(it):
		d.Call = ""
	}
	d.Item = it
	return d
}

// callDigest returns a digest of all items of a call, independent of their order.
func callDigest(items []item.Item) string {
	lines := make([]string, 0, len(items))
	for _, it := range items {
		lines = append(lines, fmt.Sprintf("%d %q %d %s", it.Kind, it.Name, it.Version, it.Digest()))
	}
	slices.Sort(lines)
	sum := sha256.Sum256([]byte(strings.Join(lines, "\n")))
	return hex.EncodeToString(sum[:8])
}

// record is one voter's state of one item register.
type record struct {
	Promised Ballot
	Accepted Ballot
	Decision Decision
	// bodyOmitted is only set during a transfer: the body of the decision's item was left out
	// because the merge item that the same voter sends has it.
	bodyOmitted bool
}

// combine returns the state of a seat that holds both records: the decision of the higher
// ballot, and the highest promise.
func (r record) combine(o record) record {
	if o.Accepted.Compare(r.Accepted) > 0 {
		r.Accepted, r.Decision, r.bodyOmitted = o.Accepted, o.Decision, o.bodyOmitted
	}
	if o.Promised.Compare(r.Promised) > 0 {
		r.Promised = o.Promised
	}
	return r
}
