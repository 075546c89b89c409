package upgrade

import "time"

// TrafficClass is how a gateway treats the targets of one version.
type TrafficClass uint8

const (
	// StableTraffic is for targets that share the service's regular requests.
	StableTraffic TrafficClass = iota + 1
	// CanaryTraffic is for targets that get exactly the share of the requests that the upgrade assigns.
	CanaryTraffic
	// NoTraffic is for targets that get no requests.
	NoTraffic
)

// VersionRouting determines to which versions' targets a gateway may send requests. It is not safe for
// concurrent use; its owner guards it.
//
// A target of a version other than its service's starts only after the order for the upgrade was
// acknowledged. A gateway that knows everything acknowledged up to a moment after it first saw a
// version, and knows of no upgrade to it, can therefore conclude that there was none: the version is
// confirmed. Until then a version gets no requests, unless it is the one that the service was first
// seen with.
type VersionRouting struct {
	seen    map[string]*versionSighting
	upgrade Upgrade
	// stoppedStep is the Number of the step in which this gateway stopped on its own; 0 means it did not.
	stoppedStep uint64
}

// versionSighting records when a version was first seen.
type versionSighting struct {
	firstSeen time.Time
	confirmed bool
}

// Upgrade is the newest known upgrade; its phase is 0 if there is none.
func (v *VersionRouting) Upgrade() Upgrade { return v.upgrade }

// ApplyUpgrade stores an upgrade and reports whether it is newer than the known one.
func (v *VersionRouting) ApplyUpgrade(u Upgrade) bool {
	if u.Number <= v.upgrade.Number {
		return false
	}
	if u.Order != v.upgrade.Order {
		v.stoppedStep = 0
	}
	v.upgrade = u
	return true
}

// Observe reports how many targets there are of each version. The most common version of the first
// call is confirmed at once.
func (v *VersionRouting) Observe(counts map[string]int, now time.Time) {
	first := len(v.seen) == 0
	if first {
		v.seen = map[string]*versionSighting{}
	}
	mostCommon := ""
	for version, n := range counts {
		if v.seen[version] == nil {
			v.seen[version] = &versionSighting{firstSeen: now}
		}
		if n > counts[mostCommon] || n == counts[mostCommon] && version < mostCommon {
			mostCommon = version
		}
	}
	if first && counts[mostCommon] > 0 {
		v.seen[mostCommon].confirmed = true
	}
}

// Confirm confirms the versions first seen before knownUntil, up to which all acknowledged changes are
// known, and reports whether there were any.
func (v *VersionRouting) Confirm(knownUntil time.Time) (changed bool) {
	for _, s := range v.seen {
		if !s.confirmed && knownUntil.After(s.firstSeen) {
			s.confirmed = true
			changed = true
		}
	}
	return changed
}

// Class returns the traffic class of a version's targets.
func (v *VersionRouting) Class(version string) TrafficClass {
	u := &v.upgrade
	confirmed := v.seen[version] != nil && v.seen[version].confirmed
	switch {
	case u.Phase != 0 && version == u.To:
		return v.newVersionClass()
	case u.IsDenied(version), !confirmed, u.Active() && u.Share >= FullShare && !v.Stopped():
		return NoTraffic
	}
	return StableTraffic
}

// newVersionClass is the traffic class of the new version.
func (v *VersionRouting) newVersionClass() TrafficClass {
	switch {
	case v.upgrade.Phase == Completed:
		return StableTraffic
	case v.upgrade.Phase == Reverted || v.Stopped():
		return NoTraffic
	case v.upgrade.Share >= FullShare:
		return StableTraffic
	}
	return CanaryTraffic
}

// StopLocally stops sending to the new version at this gateway until the upgrade ends. It returns false if the upgrade is not
// active or this gateway had stopped before.
func (v *VersionRouting) StopLocally() bool {
	if !v.upgrade.Active() || v.Stopped() {
		return false
	}
	v.stoppedStep = v.upgrade.Number
	return true
}

// Stopped reports whether this gateway has stopped on its own.
func (v *VersionRouting) Stopped() bool { return v.stoppedStep > 0 && v.upgrade.Active() }

// Share is the ratio of this gateway's requests that goes to canary targets, from 0 to 1.
func (v *VersionRouting) Share() float64 {
	if !v.upgrade.Active() || v.Stopped() || v.upgrade.Share >= FullShare {
		return 0
	}
	return float64(v.upgrade.Share) / FullShare
}
