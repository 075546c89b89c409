// Package upgrade moves a service's requests from targets of one version to targets of
// another (docs/rollouts.md). It holds the state of such a move, what a gateway may send to
// which version, and the judgement of a new version by its answers. It talks to nobody:
// control decides and stores, proxy sends.
//
// Package rollout is something else: it stages changes of the configuration.
package upgrade

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/steperr"
)

// Phase is where an upgrade stands. It never goes back, and Completed and Reverted are final.
type Phase uint8

// The phases of an upgrade.
const (
	// Canary sends a small share to a few targets of the new version.
	Canary Phase = iota + 1
	// Shifting raises the share in steps, up to all.
	Shifting
	// Completed serves by the new version alone: the old targets may stop at any moment.
	Completed
	// Reverted serves by the old version alone.
	Reverted
)

var phaseNames = map[Phase]string{Canary: "canary", Shifting: "shifting", Completed: "completed", Reverted: "reverted"}

// String is the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// Full is the share of all requests, in thousandths.
const Full = 1000

const (
	// maxDenied bounds the versions that a service remembers as denied.
	maxDenied = 16
	// maxText bounds a version's name.
	maxText = 256
)

// Upgrade is one service's newest upgrade: what its item holds.
type Upgrade struct {
	Service string `json:"-"` // the item's name
	Number  uint64 `json:"-"` // the item's version; it rises with each step
	// From is the version that most targets had when the upgrade was ordered, "" where there was none.
	From string `json:"from,omitempty"`
	To   string `json:"to"`
	// Order is the Number of the first step.
	Order uint64 `json:"order"`
	Phase Phase  `json:"phase"`
	// Share is the part of the requests for To, in thousandths.
	Share int `json:"share"`
	// Ordered is the time of day of the order, and Term how long the upgrade may take.
	Ordered time.Time     `json:"ordered"`
	Term    time.Duration `json:"term"`
	// Exposure is the part of the requests, in thousandths, that a bad version may get in the term.
	Exposure int `json:"exposure"`
	// Denied are versions that get nothing: those that were reverted, or replaced.
	Denied []string `json:"denied,omitempty"`
	// Reason says why the upgrade ended.
	Reason string `json:"reason,omitempty"`
}

// Active tells whether the upgrade is under way.
func (u Upgrade) Active() bool { return u.Phase == Canary || u.Phase == Shifting }

// Denies tells whether targets of a version get nothing.
func (u Upgrade) Denies(version string) bool { return slices.Contains(u.Denied, version) }

// Due is the time of day by which the upgrade is to have ended.
func (u Upgrade) Due() time.Time { return u.Ordered.Add(u.Term) }

// Key names the item of a service's upgrade.
func Key(service string) item.Key { return item.Key{Kind: item.Upgrade, Name: service} }

// Item encodes the upgrade. The same content gives the same bytes.
func (u Upgrade) Item() item.Item {
	u.Ordered = u.Ordered.UTC().Truncate(time.Millisecond)
	b, err := json.Marshal(u)
	if err != nil {
		// All fields are texts, numbers and a time.
		panic(err)
	}
	return item.Item{Key: Key(u.Service), Version: u.Number, Body: b}
}

// FromItem decodes an upgrade.
func FromItem(i item.Item) (Upgrade, error) {
	var u Upgrade
	if i.Kind != item.Upgrade || i.Gone {
		return u, steperr.New("read upgrade", i.Name, "not an upgrade")
	}
	if err := json.Unmarshal(i.Body, &u); err != nil {
		return u, steperr.Wrap("read upgrade", i.Name, err)
	}
	u.Service, u.Number = i.Name, i.Version
	if u.Phase < Canary || u.Phase > Reverted {
		return u, steperr.New("read upgrade", i.Name, "phase %d is not known", u.Phase)
	}
	return u, nil
}

// next is the following step of an upgrade.
func (u Upgrade) next() Upgrade {
	u.Number++
	u.Denied = slices.Clone(u.Denied)
	return u
}

// Step raises the share of the new version.
func (u Upgrade) Step(share int) Upgrade {
	n := u.next()
	n.Phase, n.Share = Shifting, share
	return n
}

// Complete ends the upgrade with the new version in force; old are the versions that it replaces.
func (u Upgrade) Complete(old []string) Upgrade {
	n := u.next()
	n.Phase, n.Share, n.Reason = Completed, Full, ""
	for _, version := range append(old, u.From) {
		if version != u.To {
			n.deny(version)
		}
	}
	return n
}

// Revert ends the upgrade with the old version in force.
func (u Upgrade) Revert(reason string) Upgrade {
	n := u.next()
	n.Phase, n.Share, n.Reason = Reverted, 0, reason
	n.deny(u.To)
	return n
}

func (u *Upgrade) deny(version string) {
	if version == "" || slices.Contains(u.Denied, version) {
		return
	}
	u.Denied = append(u.Denied, version)
	u.Denied = u.Denied[max(0, len(u.Denied)-maxDenied):]
}

// Order asks that a service's requests move to targets of a version.
type Order struct {
	Service string
	To      string
	Term    time.Duration
	// Exposure is the part of the requests, in thousandths, that a bad version may get in the term; 0 is usual.
	Exposure int
}

// Check tells what is wrong with an order by itself.
func (o Order) Check() error {
	switch {
	case o.Service == "" || len(o.Service) > maxText:
		return fmt.Errorf("service: 1 to %d characters are wanted", maxText)
	case o.To == "" || len(o.To) > maxText:
		return fmt.Errorf("version: 1 to %d characters are wanted", maxText)
	case o.Term <= 0 || o.Term > maxTerm:
		return fmt.Errorf("term: more than 0 and at most %v is wanted", maxTerm)
	}
	return nil
}

// maxTerm is the longest that an upgrade may be given.
const maxTerm = 7 * 24 * time.Hour

// Verdict is what becomes of an order.
type Verdict uint8

const (
	// Begun is an order that starts a new upgrade.
	Begun Verdict = iota + 1
	// Repeated is one that was taken before.
	Repeated
	// Busy is one for a service that another upgrade is under way for.
	Busy
)

// Take tells what becomes of an order, given the service's newest upgrade, of no phase where there was none, and the
// version that most of its targets have.
func (o Order) Take(was Upgrade, from string, now time.Time) (Upgrade, Verdict) {
	same := was.Phase != 0 && was.To == o.To
	switch {
	case was.Active() && same && was.Term == o.Term:
		return was, Repeated
	case was.Active():
		return was, Busy
	case same && (was.Phase == Completed || now.Before(was.Due()) && was.Term == o.Term):
		// A version that was reverted may be ordered anew once the time of that order is over.
		return was, Repeated
	}
	u := Upgrade{Service: o.Service, Number: was.Number + 1, Order: was.Number + 1, From: from, To: o.To, Phase: Canary, Ordered: now, Term: o.Term,
		Exposure: cmp.Or(o.Exposure, usualExposure)}
	u.Share = max(1, int(canaryExposure*float64(u.Exposure)))
	u.Denied = slices.DeleteFunc(slices.Clone(was.Denied), func(version string) bool { return version == o.To })
	return u, Begun
}
