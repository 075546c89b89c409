// Package upgrade moves a service's requests from targets of one version to targets of
// another (docs/rollouts.md). It holds the state of an upgrade, what a gateway may send to
// which version, and the evaluation of a new version by its answers. It does no networking except
// for reports: package control decides and stores, package proxy sends.
//
// Package rollout is unrelated: it stages changes of the configuration.
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

// Phase is the phase of an upgrade. It never goes back, and Completed and Reverted are final.
type Phase uint8

// The phases of an upgrade.
const (
	// Canary sends a small share to a few targets of the new version.
	Canary Phase = iota + 1
	// Shifting raises the share in steps, up to all requests.
	Shifting
	// Completed sends all requests to the new version: the old targets may stop at any moment.
	Completed
	// Reverted sends all requests to the old version.
	Reverted
)

var phaseNames = map[Phase]string{Canary: "canary", Shifting: "shifting", Completed: "completed", Reverted: "reverted"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// FullShare is the share of all requests, in thousandths.
const FullShare = 1000

const (
	// maxDenied bounds the number of denied versions kept for a service.
	maxDenied = 16
	// maxNameLen bounds the length of a service's or version's name in bytes.
	maxNameLen = 256
)

// Upgrade is a service's newest upgrade, as stored in its item.
type Upgrade struct {
	Service string `json:"-"` // the item's name
	Number  uint64 `json:"-"` // the item's version; it increases with each step
	// From is the version that most targets had when the upgrade was ordered, "" if there was none.
	From string `json:"from,omitempty"`
	To   string `json:"to"`
	// Order is the Number of the first step.
	Order uint64 `json:"order"`
	Phase Phase  `json:"phase"`
	// Share is the part of the requests that goes to To, in thousandths.
	Share int `json:"share"`
	// Ordered is the wall-clock time of the order, and Term how long the upgrade may take.
	Ordered time.Time     `json:"ordered"`
	Term    time.Duration `json:"term"`
	// Exposure is the part of the requests, in thousandths, that a bad version may get within the term.
	Exposure int `json:"exposure"`
	// Denied are versions that get no requests: those that were reverted or replaced.
	Denied []string `json:"denied,omitempty"`
	// Reason says why the upgrade ended.
	Reason string `json:"reason,omitempty"`
}

// Active reports whether the upgrade is in progress.
func (u Upgrade) Active() bool { return u.Phase == Canary || u.Phase == Shifting }

// IsDenied reports whether targets of a version get no requests.
func (u Upgrade) IsDenied(version string) bool { return slices.Contains(u.Denied, version) }

// Deadline is the wall-clock time by which the upgrade must have ended.
func (u Upgrade) Deadline() time.Time { return u.Ordered.Add(u.Term) }

// Key is the key of the item of a service's upgrade.
func Key(service string) item.Key { return item.Key{Kind: item.Upgrade, Name: service} }

// Item encodes the upgrade. The same content gives the same bytes.
func (u Upgrade) Item() item.Item {
	u.Ordered = u.Ordered.UTC().Truncate(time.Millisecond)
	b, err := json.Marshal(u)
	if err != nil {
		// All fields are strings, numbers and a time, which can be encoded.
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

// next returns a copy with the next number.
func (u Upgrade) next() Upgrade {
	u.Number++
	u.Denied = slices.Clone(u.Denied)
	return u
}

// WithShare returns the step that raises the share of the new version.
func (u Upgrade) WithShare(share int) Upgrade {
	n := u.next()
	n.Phase, n.Share = Shifting, share
	return n
}

// Complete returns the step that ends the upgrade with the new version; old are the versions that it replaces.
func (u Upgrade) Complete(old []string) Upgrade {
	n := u.next()
	n.Phase, n.Share, n.Reason = Completed, FullShare, ""
	for _, version := range append(old, u.From) {
		if version != u.To {
			n.deny(version)
		}
	}
	return n
}

// Revert returns the step that ends the upgrade with the old version.
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

// Order requests that a service's requests move to targets of a version.
type Order struct {
	Service string
	To      string
	Term    time.Duration
	// Exposure is the part of the requests, in thousandths, that a bad version may get within the term; 0 is the default.
	Exposure int
}

// Validate checks an order on its own, without the state of its service.
func (o Order) Validate() error {
	switch {
	case o.Service == "" || len(o.Service) > maxNameLen:
		return fmt.Errorf("service: 1 to %d characters are wanted", maxNameLen)
	case o.To == "" || len(o.To) > maxNameLen:
		return fmt.Errorf("version: 1 to %d characters are wanted", maxNameLen)
	case o.Term <= 0 || o.Term > maxTerm:
		return fmt.Errorf("term: more than 0 and at most %v is wanted", maxTerm)
	}
	return nil
}

// maxTerm is the longest term of an upgrade.
const maxTerm = 7 * 24 * time.Hour

// OrderOutcome is the result of applying an order.
type OrderOutcome uint8

const (
	// Started means that the order starts a new upgrade.
	Started OrderOutcome = iota + 1
	// Repeated means that the same order was applied before.
	Repeated
	// Conflicting means that another upgrade of the service is active.
	Conflicting
)

// Apply applies an order to the service's newest upgrade, whose phase is 0 if there is none; from is the
// version that most of its targets have.
func (o Order) Apply(current Upgrade, from string, now time.Time) (Upgrade, OrderOutcome) {
	sameVersion := current.Phase != 0 && current.To == o.To
	switch {
	case current.Active() && sameVersion && current.Term == o.Term:
		return current, Repeated
	case current.Active():
		return current, Conflicting
	case sameVersion && (current.Phase == Completed || now.Before(current.Deadline()) && current.Term == o.Term):
		// A reverted version may be ordered again after the deadline of its order.
		return current, Repeated
	}
	u := Upgrade{Service: o.Service, Number: current.Number + 1, Order: current.Number + 1, From: from, To: o.To, Phase: Canary, Ordered: now, Term: o.Term,
		Exposure: cmp.Or(o.Exposure, defaultExposure)}
	u.Share = max(1, int(canaryExposureRatio*float64(u.Exposure)))
	u.Denied = slices.DeleteFunc(slices.Clone(current.Denied), func(version string) bool { return version == o.To })
	return u, Started
}
