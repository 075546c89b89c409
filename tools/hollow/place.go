package main

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// The plan's places.
const (
	zones   = 6
	regions = 2
	// nearWay and farWay are the times of both ways between zones of one region, and
	// between regions.
	nearWay = 2 * time.Millisecond
	farWay  = 24 * time.Millisecond
)

func zoneName(z int) string { return "z" + strconv.Itoa(z) }

// regionOf puts the first half of the zones into one region, the rest into the other.
func regionOf(z int) int { return z * regions / zones }

// The third number of a process's IP says its role, the last its zone or number.
const (
	controllerNet = 1
	gatewayNet    = 2
	targetNet     = 3
)

// ip is where a process of a deployment is. Deployments that run at the same time
// differ by their net.
func ip(net, role, n int) string { return fmt.Sprintf("127.%d.%d.%d", net, role, n+1) }

// roleOf is the role of who calls from an IP.
func roleOf(ip string) string {
	f := strings.Split(ip, ".")
	if len(f) != 4 {
		return "other"
	}
	switch f[2] {
	case strconv.Itoa(controllerNet):
		return "controller"
	case strconv.Itoa(gatewayNet):
		return "gateway"
	case strconv.Itoa(targetNet):
		return "target"
	}
	return "other"
}

// controllerZone is the zone of the n-th controller.
func controllerZone(n int) int { return n % zones }

// zoneOf is the zone in which an IP is.
func zoneOf(ip string) (int, bool) {
	f := strings.Split(ip, ".")
	if len(f) != 4 {
		return 0, false
	}
	n, err := strconv.Atoi(f[3])
	if err != nil || n < 1 {
		return 0, false
	}
	return controllerZone(n - 1), true
}

// ways gives the delay from a zone to an IP.
func ways(from int) func(ip string) time.Duration {
	return func(ip string) time.Duration {
		switch z, ok := zoneOf(ip); {
		case !ok || z == from:
			return 0
		case regionOf(z) == regionOf(from):
			return nearWay
		}
		return farWay
	}
}
