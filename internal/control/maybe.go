package control

import (
	"encoding/json"
	"time"
)

// Maybe is a figure that may not be known. A pointer would not do: gob takes one to zero
// for none.
type Maybe struct {
	Known bool
	Value float64
}

// some is a figure that is known.
func some(f float64) Maybe { return Maybe{true, f} }

// ago is the time since t in milliseconds, where t is known.
func ago(now, t time.Time) Maybe {
	if t.IsZero() {
		return Maybe{}
	}
	return some(float64(now.Sub(t).Milliseconds()))
}

// MarshalJSON writes null for what is not known.
func (m Maybe) MarshalJSON() ([]byte, error) {
	if !m.Known {
		return []byte("null"), nil
	}
	return json.Marshal(m.Value)
}
