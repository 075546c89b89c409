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

// A message must arrive complete, as a copy that shares no memory with the original, also when
// many are sent at once and one of them can't be encoded.
func TestWhatTravelsIsACopy(t *testing.T) {
	t.Parallel()
	link.Register[freight]()
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Go(func() {
			sent := freight{i, []string{"a", "b"}}
			got, err := codecRoundTrip(sent)
			if err != nil || !reflect.DeepEqual(got, sent) {
				t.Errorf("%+v arrived as %+v, %v", sent, got, err)
				return
			}
			if sent.List[0] = "x"; got.(freight).List[0] != "a" {
				t.Error("the copy shares a slice with the original")
			}
			if _, err := codecRoundTrip(func() {}); err == nil {
				t.Error("a function was encoded")
			}
		})
	}
	wg.Wait()
}
