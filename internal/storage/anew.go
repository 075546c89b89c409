package storage

import (
	"errors"
	"os"
	"path/filepath"
	"time"
)

// OpenAnew opens a file as OpenBunt does, but sets a damaged one aside and begins an empty
// one: what is left of it must not vote (design 5.3). This disk is then another
// incarnation, and reads everything from the others. aside, told before that, is the
// name under which the damaged file is kept.
func OpenAnew(dir, name string, told func(aside string)) (*Bunt, error) {
	b, err := OpenBunt(dir, name)
	if !errors.Is(err, ErrSpoiled) {
		return b, err
	}
	aside := name + ".spoiled-" + time.Now().UTC().Format("20060102T150405")
	told(aside)
	if err := os.Rename(filepath.Join(dir, name), filepath.Join(dir, aside)); err != nil {
		return nil, err
	}
	return OpenBunt(dir, name)
}
