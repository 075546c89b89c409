package target

import "walkrudder/internal/steperr"

// Check rejects a heartbeat that lacks a required field or exceeds the limits of a table.
func (b Heartbeat) Check() error {
	for _, f := range []struct{ name, text string }{{"id", b.ID}, {"service", b.Service}, {"address", b.Addr}} {
		if f.text == "" {
			return steperr.New("beat", b.ID, "%s is missing", f.name)
		}
	}
	for _, f := range []struct{ name, text string }{{"id", b.ID}, {"service", b.Service}, {"address", b.Addr}, {"zone", b.Zone}, {"version", b.Version}} {
		if len(f.text) > maxStringLen {
			return steperr.New("beat", "", "%s is longer than %d", f.name, maxStringLen)
		}
	}
	if b.Slots < 0 || b.Cold < 0 {
		return steperr.New("beat", b.ID, "slots and the time of slowness are not below 0")
	}
	return nil
}
