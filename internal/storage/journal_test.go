package storage

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

func loadRecords(t *testing.T, j *FileJournal) []string {
	t.Helper()
	rs, err := j.Load()
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, r := range rs {
		out = append(out, string(r))
	}
	return out
}

func TestAJournalOutlivesItsProcess(t *testing.T) {
	dir := t.TempDir()
	j := OpenJournal(dir, "x")
	if got := loadRecords(t, j); got != nil {
		t.Fatalf("records without a file: %q", got)
	}
	if j.Append([][]byte{[]byte("0")}) == nil {
		t.Error("Append succeeded on a file whose end is unknown")
	}
	for _, err := range []error{j.Replace([][]byte{[]byte("a")}), j.Append([][]byte{[]byte("b"), []byte("c")}), j.Append(nil)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	// A restarted process reads a file that its predecessor did not close.
	reopened := OpenJournal(dir, "x")
	if got := loadRecords(t, reopened); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("%q", got)
	}
	if err := reopened.Replace([][]byte{[]byte("d")}); err != nil {
		t.Fatal(err)
	}
	if err := reopened.Append([][]byte{[]byte("e")}); err != nil {
		t.Fatal(err)
	}
	if got := loadRecords(t, OpenJournal(dir, "x")); !slices.Equal(got, []string{"d", "e"}) {
		t.Errorf("%q", got)
	}
	for _, x := range []*FileJournal{j, reopened, OpenJournal(dir, "y")} {
		if err := x.Close(); err != nil {
			t.Error(err)
		}
	}
}

// Whatever remains of the file, Load returns an unaltered prefix of its records.
func TestATornOrDamagedJournalIsReadAsFarAsItIsWhole(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "x")
	var want []string
	var records [][]byte
	for i := range 5 {
		want = append(want, fmt.Sprintf("record %d", i))
		records = append(records, []byte(want[i]))
	}
	raw := encodeRecords(records)
	recordLen := len(raw) / len(records)
	check := func(what string, b []byte, n int) {
		t.Helper()
		if err := os.WriteFile(path, b, 0o600); err != nil {
			t.Fatal(err)
		}
		if got := loadRecords(t, OpenJournal(dir, "x")); !slices.Equal(got, want[:n]) {
			t.Errorf("%s: %q, want the first %d", what, got, n)
		}
	}
	for n := range len(raw) + 1 {
		check(fmt.Sprintf("torn at %d", n), raw[:n], n/recordLen)
		check(fmt.Sprintf("zeroes from %d", n), append(bytes.Clone(raw[:n]), make([]byte, 64)...), n/recordLen)
	}
	for n := range raw {
		b := bytes.Clone(raw)
		b[n] ^= 0x41
		check(fmt.Sprintf("damaged at %d", n), b, n/recordLen)
	}
	check("a huge length", append(bytes.Clone(raw), 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1), 5)
}
