package usage

import (
	"runtime"
	"testing"
)

func TestUsageFollowsWhatIsHeld(t *testing.T) {
	a := Now()
	b := make([]byte, 64<<20)
	z := Now()
	if a.Goroutines == 0 || z.Heap < a.Heap+32<<20 || z.Held < z.Heap {
		t.Errorf("before %+v, with 64 MiB more %+v", a, z)
	}
	runtime.KeepAlive(b)
}
