package proxy

import (
	"fmt"
	"testing"
)

func TestKeepAlive(t *testing.T) {
	for v, want := range map[string]string{"timeout=10": "9s", "timeout=1": "700ms", "max=5, timeout=2": "1.7s", "": "5s", "timeout=x": "5s", "timeout=0": "0s", "Timeout = 4": "3.6s"} {
		if got := keepAliveTimeout([]byte(v)); fmt.Sprint(got) != want {
			t.Errorf("%q: %v, want %v", v, got, want)
		}
	}
}
