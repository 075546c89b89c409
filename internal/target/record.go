package target

import (
	"encoding/binary"

	"walkrudder/internal/steperr"
)

// The first byte of a record is its format. recordFormatV1 is from releases that did not record the
// version of a target's software. Formats later than recordFormat are rejected.
const (
	recordFormatV1 = 1
	recordFormat   = 2
)

// Record encodes a run as a controller stores it for use after a restart. Cold is left out,
// because it is unknown how long the process will be down.
func (r Run) Record() []byte {
	b := []byte{recordFormat, byte(r.State)}
	for _, s := range []string{r.ID, r.Service, r.Addr, r.Zone, r.Version} {
		b = append(binary.AppendUvarint(b, uint64(len(s))), s...)
	}
	for _, n := range []uint64{uint64(max(r.Slots, 0)), r.Seq, r.Silent} {
		b = binary.AppendUvarint(b, n)
	}
	return b
}

// ReadRecord decodes the output of Record. The run is marked as recalled.
func ReadRecord(b []byte) (Run, error) {
	errInvalid := steperr.New("read record", "", "not a valid run record")
	if len(b) < 2 || b[0] != recordFormatV1 && b[0] != recordFormat {
		return Run{}, errInvalid
	}
	r := Run{State: State(b[1]), Recalled: true}
	texts := []*string{&r.ID, &r.Service, &r.Addr, &r.Zone, &r.Version}
	if b[0] == recordFormatV1 {
		texts = texts[:len(texts)-1]
	}
	b = b[2:]
	for _, s := range texts {
		n, k := binary.Uvarint(b)
		if k <= 0 || n > maxStringLen || uint64(len(b)-k) < n {
			return Run{}, errInvalid
		}
		*s, b = string(b[k:k+int(n)]), b[k+int(n):]
	}
	var slots uint64
	for _, u := range []*uint64{&slots, &r.Seq, &r.Silent} {
		n, k := binary.Uvarint(b)
		if k <= 0 {
			return Run{}, errInvalid
		}
		*u, b = n, b[k:]
	}
	if len(b) > 0 || slots > maxSlots || !r.valid() {
		return Run{}, errInvalid
	}
	r.Slots = int(slots)
	return r, nil
}
