package control

import (
	"encoding/json"
	"time"
)

// Maybe is a number that may be unknown. A pointer would not do, because gob does not transmit a
// pointer to zero and it would decode as nil.
type Maybe struct {
	Known bool
	Value float64
}

// knownValue returns a Maybe that is known.
func knownValue(f float64) Maybe { return Maybe{true, f} }

// millisecondsSince returns the time from t to now in milliseconds, or an unknown value when t is zero.
func millisecondsSince(now, t time.Time) Maybe {
	if t.IsZero() {
		return Maybe{}
	}
	return knownValue(float64(now.Sub(t).Milliseconds()))
}

// MarshalJSON encodes an unknown value as null.
func (m Maybe) MarshalJSON() ([]byte, error) {
	if !m.Known {
		return []byte("null"), nil
	}
	return json.Marshal(m.Value)
}
