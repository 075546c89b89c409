package steperr

import (
	"errors"
	"io"
	"testing"
)

func TestDefectCarriesInnermostPlace(t *testing.T) {
	err := Wrap("roll", "f1", Wrap("stage", "m2", io.ErrUnexpectedEOF))
	if s, m := Innermost(err); s != "stage" || m != "m2" {
		t.Fatalf("innermost step %q and peer %q, want stage m2", s, m)
	}
	if !errors.Is(err, io.ErrUnexpectedEOF) || !Class.Has(err) {
		t.Fatalf("cause or class lost: %v", err)
	}
	if Wrap("x", "y", nil) != nil {
		t.Fatal("Wrap of a nil error is not nil")
	}
}
