package storage

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// A corrupt file is kept under the reported name and replaced by an empty one; an intact
// file, or one with a torn tail, is opened as it is.
func TestADamagedFileIsSetAside(t *testing.T) {
	raw, second := threeCommits(t)
	bad := bytes.Clone(raw)
	for i := second - 20; i < second-5; i++ {
		bad[i] = '#'
	}
	for name, c := range map[string]struct {
		raw   []byte
		moved bool
	}{"intact": {raw, false}, "torn": {raw[:len(raw)-3], false}, "damaged": {bad, true}, "none": {nil, false}} {
		dir := t.TempDir()
		if c.raw != nil {
			if err := os.WriteFile(filepath.Join(dir, "x.db"), c.raw, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		var movedNames []string
		b, err := OpenOrReset(dir, "x.db", func(s string) { movedNames = append(movedNames, s) })
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		m := loadStrings(t, b)
		_ = b.Close()
		if len(movedNames) > 0 != c.moved || c.moved == (m["a"] != "") && c.raw != nil {
			t.Errorf("%s: renamed to %q, contains %v", name, movedNames, m)
		}
		if c.moved {
			if got, err := os.ReadFile(filepath.Join(dir, movedNames[0])); err != nil || !bytes.Equal(got, bad) {
				t.Errorf("the damaged file was not kept: %v", err)
			}
		}
	}
	if _, err := OpenOrReset(filepath.Join(t.TempDir(), "none"), "x.db", nil); err == nil {
		t.Error("opened a file in a folder that does not exist")
	}
}
