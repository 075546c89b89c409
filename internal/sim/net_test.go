package sim

import (
	"reflect"
	"sync"
	"testing"

	"walkrudder/internal/link"
)

type freight struct {
	N    int
	List []string
}

// What travels arrives whole, as a copy that shares nothing with what was sent, also
// where many travel at once and where one of them cannot travel at all.
func TestWhatTravelsIsACopy(t *testing.T) {
	t.Parallel()
	link.Register[freight]()
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			sent := freight{i, []string{"a", "b"}}
			got, err := through(sent)
			if err != nil || !reflect.DeepEqual(got, sent) {
				t.Errorf("%+v arrived as %+v, %v", sent, got, err)
				return
			}
			if sent.List[0] = "x"; got.(freight).List[0] != "a" {
				t.Error("a list is shared")
			}
			if _, err := through(func() {}); err == nil {
				t.Error("a function travelled")
			}
		})
	}
	wg.Wait()
}
