package storage

import (
	"errors"
	"os"
	"path/filepath"
	"time"
)

// OpenOrReset opens a file as OpenBuntDisk does, but renames a corrupt file and starts with an
// empty one: what remains of a corrupt file must not be used for voting (design 5.3). The empty disk
// gets a new disk ID and copies all data from the other nodes. Before the rename, onDamaged is called
// with the new name of the damaged file.
func OpenOrReset(dir, name string, onDamaged func(movedTo string)) (*BuntDisk, error) {
	disk, err := OpenBuntDisk(dir, name)
	if !errors.Is(err, ErrCorrupt) {
		return disk, err
	}
	movedTo := name + ".spoiled-" + time.Now().UTC().Format("20060102T150405")
	onDamaged(movedTo)
	if err := os.Rename(filepath.Join(dir, name), filepath.Join(dir, movedTo)); err != nil {
		return nil, err
	}
	return OpenBuntDisk(dir, name)
}
