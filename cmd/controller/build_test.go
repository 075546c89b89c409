package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
)

// The build command in the README links both daemons dynamically to the C library.
func TestDaemonsAreLinkedToTheCLibrary(t *testing.T) {
	dir := t.TempDir()
	c := exec.Command("go", "build", "-o", dir+"/", "../gateway", "../controller")
	c.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := c.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, n := range []string{"gateway", "controller"} {
		f, err := elf.Open(filepath.Join(dir, n))
		if err != nil {
			t.Fatal(err)
		}
		ls, err := f.ImportedLibraries()
		_ = f.Close()
		if err != nil || !slices.Contains(ls, "libc.so.6") {
			t.Errorf("%s imports %v, %v", n, ls, err)
		}
	}
}
