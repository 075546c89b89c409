package main

import (
	"testing"
	"time"
)

func TestPlacesAreToldFromAddresses(t *testing.T) {
	for _, x := range []struct {
		from int
		to   string
		want time.Duration
	}{
		{0, ip(70, controllerNet, 0), 0},
		{0, ip(70, controllerNet, zones), 0}, // the controller after one in each zone is in the first again
		{0, ip(70, controllerNet, 2), nearWay},
		{0, ip(70, controllerNet, 3), farWay},
		{5, ip(70, controllerNet, 3), nearWay},
		{5, ip(70, gatewayNet, 5), 0},
		{0, "nowhere", 0},
	} {
		if d := ways(x.from)(x.to); d != x.want {
			t.Errorf("from zone %d to %s: %v, want %v", x.from, x.to, d, x.want)
		}
	}
	for role, n := range map[string]int{"controller": controllerNet, "gateway": gatewayNet, "target": targetNet} {
		if got := roleOf(ip(70, n, 3)); got != role {
			t.Errorf("%s taken for %s", role, got)
		}
	}
	if roleOf("127.0.0.1") != "other" || roleOf("") != "other" {
		t.Error("a stranger has a role")
	}
}

func TestPartsAddUp(t *testing.T) {
	for _, n := range []int{0, 1, 5, 6, 160, 680, 6300} {
		sum := 0
		for z := range zones {
			p := part(n, z)
			if p < n/zones || p > n/zones+1 {
				t.Errorf("%d of %d in zone %d", p, n, z)
			}
			sum += p
		}
		if sum != n {
			t.Errorf("%d of %d placed", sum, n)
		}
	}
}
