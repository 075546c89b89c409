package snapshot

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"walkrudder/internal/item"
	"walkrudder/internal/quorum"
)

func route(name string, version uint64, body string) item.Item {
	return item.Item{Key: item.Key{Kind: item.Route, Name: name}, Version: version, Body: []byte(body)}
}

func tombstone(name string, version uint64) item.Item {
	return item.Item{Key: item.Key{Kind: item.Route, Name: name}, Version: version, Gone: true}
}

// storedState is the content of one disk of a core of three.
func storedState(node string, epoch uint64, items ...item.Item) quorum.StoredState {
	core := quorum.Core{Epoch: epoch}
	for _, id := range []string{"a", "b", "c"} {
		core.Seats = append(core.Seats, quorum.Seat{ID: id, Disk: "disk-" + id})
	}
	return quorum.StoredState{Owner: node, Disk: "disk-" + node, Core: core, Items: items}
}

func TestJoinTakesTheNewestOfEachItem(t *testing.T) {
	departure := item.Item{Key: item.Key{Kind: item.Departure, Name: "i-1"}, Version: 2}
	s, err := Merge([]quorum.StoredState{
		storedState("a", 4, route("r", 2, "two"), route("q", 7, "seven"), departure),
		storedState("b", 4, route("r", 3, "three"), tombstone("q", 9)),
		storedState("c", 3, route("r", 1, "one"), route("old", 1, "old")),
	}, time.Unix(5, 0))
	if err != nil {
		t.Fatal(err)
	}
	want := Snapshot{Taken: time.Unix(5, 0).UTC(), Epoch: 4, Nodes: []string{"a", "b"}, Need: 2,
		Items: []item.Item{route("old", 1, "old"), tombstone("q", 9), route("r", 3, "three")}}
	if !reflect.DeepEqual(s, want) || s.Partial() {
		t.Errorf("%+v, want %+v", s, want)
	}
}

func TestTooFewDisksAreTold(t *testing.T) {
	emptied := storedState("b", 4)
	emptied.Disk = "another"
	s, err := Merge([]quorum.StoredState{storedState("a", 4), emptied, storedState("c", 3)}, time.Unix(5, 0))
	if err != nil || !s.Partial() {
		t.Errorf("%v, %v", s, err)
	}
	if _, err := Merge([]quorum.StoredState{{Owner: "a"}}, time.Unix(5, 0)); !errors.Is(err, ErrNoDisk) {
		t.Errorf("no core: %v", err)
	}
}

func TestAFileIsReadAsItWasWritten(t *testing.T) {
	s, err := Merge([]quorum.StoredState{storedState("a", 4, route("r", 2, "two"), tombstone("q", 9)), storedState("b", 4)}, time.Unix(5, 0))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "s")
	if err := Write(path, s); err != nil {
		t.Fatal(err)
	}
	if got, err := Read(path); err != nil || !reflect.DeepEqual(got, s) {
		t.Errorf("%+v, %v", got, err)
	}
	if err := Write(path, s); !errors.Is(err, os.ErrExist) {
		t.Errorf("existing file: %v", err)
	}
	if all, _ := os.ReadDir(filepath.Dir(path)); len(all) != 1 {
		t.Errorf("%d files are left", len(all))
	}
}

// A file with any single byte changed, or truncated anywhere, must be refused.
func TestADamagedFileIsRefused(t *testing.T) {
	s, err := Merge([]quorum.StoredState{storedState("a", 4, route("r", 2, "two"), tombstone("q", 9)), storedState("b", 4)}, time.Unix(5, 0))
	if err != nil {
		t.Fatal(err)
	}
	whole, err := s.encode()
	if err != nil {
		t.Fatal(err)
	}
	for i := range whole {
		broken := append([]byte(nil), whole...)
		broken[i] ^= 1
		if _, err := decode(broken); !errors.Is(err, ErrDamaged) {
			t.Fatalf("byte %d changed: %v", i, err)
		}
		if _, err := decode(whole[:i]); !errors.Is(err, ErrDamaged) {
			t.Fatalf("truncated to %d bytes: %v", i, err)
		}
	}
	if _, err := decode(append(whole, 0)); !errors.Is(err, ErrDamaged) {
		t.Errorf("one extra byte: %v", err)
	}
}
