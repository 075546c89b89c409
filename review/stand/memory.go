package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// heavyBody is the length of an answer, heavyTargets how many targets there are in each zone, and
	// heavySlots what each of them works on at once.
	heavyBody                = 6_000_000
	heavyTargets, heavySlots = 10, 3
	// heavyClients is how many requests each of two machines gets in a round: all at once in a burst,
	// else heavyLanes at a time.
	heavyClients, heavyLanes = 45, 3
	heavyRounds              = 4
	heavyWait                = 20 * time.Second
	// heavyStep and heavyPause are how each client reads: 48 Mbit/s.
	heavyStep, heavyPause = 60_000, 10 * time.Millisecond
	// endsMost is how often a process may end by itself in a day.
	endsMost = 2
)

// memory: many clients fetch large answers at once; the platform ends a process that is above its
// memory, as the pages say, and starts it again.
func memory(rec *record, trouble bool) (verdict, error) {
	f, err := newFleet(small(), rec)
	if err != nil {
		return failed, err
	}
	defer f.lower()
	if err := f.raise(); err != nil {
		return failed, err
	}
	for _, z := range f.zones {
		for range heavyTargets {
			if _, err := f.target("archive", z, heavySlots, 200*time.Millisecond, heavyBody); err != nil {
				return failed, err
			}
		}
	}
	bundles := route{Name: "r-bundles", Host: "shop.example", Prefix: "/bundles/", Repeat: "download", Service: "archive", Version: 1, TimeoutMS: int(heavyWait.Milliseconds()), AimMS: 1500, Attempts: 2}
	if f.insist("the operator", 0, order([]string{bundles.text()}, []string{serviceText("archive", 1)}, limitsText, "")) != 200 {
		return failed, errors.New("the configuration was not taken")
	}
	if err := f.serving(); err != nil {
		return failed, err
	}
	watched := []*weighedMachine{{machine: f.machines[1]}, {machine: f.machines[3]}}
	stop := make(chan struct{})
	var platform sync.WaitGroup
	for _, w := range watched {
		platform.Go(func() { f.weigh(w, stop) })
	}
	for round := range heavyRounds {
		if err := f.serving(); err != nil {
			return failed, err
		}
		time.Sleep(3500 * time.Millisecond)
		var cs sync.WaitGroup
		var whole, refused, other atomic.Int64
		for _, w := range watched {
			lanes := make(chan struct{}, heavyClients)
			if !trouble {
				lanes = make(chan struct{}, heavyLanes)
			}
			for range heavyClients {
				cs.Go(func() {
					lanes <- struct{}{}
					defer func() { <-lanes }()
					switch status, n := f.fetch(w.machine); {
					case status == 200 && n == heavyBody:
						whole.Add(1)
					case status == 503:
						refused.Add(1)
					default:
						other.Add(1)
					}
				})
			}
		}
		cs.Wait()
		rec.say("round %d: %d answers came whole, %d requests were refused, %d had no whole answer", round+1, whole.Load(), refused.Load(), other.Load())
	}
	close(stop)
	platform.Wait()
	n := 0
	for _, w := range watched {
		rec.say("the gateway of %s had %d MB at its peak, its limit is %d, and went over it %d times", w.name, w.peak, f.memoryMB, w.ends)
		if w.ends > endsMost {
			n++
		}
	}
	if n == len(watched) {
		return broken, nil
	}
	return held, nil
}

// weighedMachine is a machine whose gateway the platform watches.
type weighedMachine struct {
	*machine
	peak, ends int
}

// weigh ends the gateway whenever it is above its memory, and starts it again.
func (f *fleet) weigh(w *weighedMachine, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		mb := resident(w.gateway)
		w.peak = max(w.peak, mb)
		if mb <= f.memoryMB {
			continue
		}
		w.ends++
		f.rec.say("the gateway of %s has %d MB, its limit is %d: the platform ends it and starts it again", w.name, mb, f.memoryMB)
		w.gateway.signal(syscall.SIGKILL)
		<-w.gateway.done
		time.Sleep(300 * time.Millisecond)
		if err := w.gateway.start(); err != nil {
			f.rec.say("it does not start: %v", err)
			return
		}
	}
}

// fetch gets one large answer.
func (f *fleet) fetch(m *machine) (status, n int) {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.Dial("tcp", f.at(m.ip, portFront))
	if err != nil {
		return 0, 0
	}
	defer c.Close()
	id := fmt.Sprintf("%016x", rand.Uint64())
	if _, err := fmt.Fprintf(c, "GET /bundles/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Remaining-Time: %d\r\n\r\n", id, heavyWait.Milliseconds()); err != nil {
		return 0, 0
	}
	if err := c.SetReadDeadline(time.Now().Add(heavyWait)); err != nil {
		return 0, 0
	}
	r, err := http.ReadResponse(bufio.NewReaderSize(c, 4<<10), nil)
	if err != nil {
		return 0, 0
	}
	defer r.Body.Close()
	for b := make([]byte, heavyStep); err == nil; time.Sleep(heavyPause) {
		k := 0
		k, err = io.ReadFull(r.Body, b)
		n += k
	}
	return r.StatusCode, n
}

// resident is how much memory a process has, in MB.
func resident(p *process) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var all, res int
	if _, err := fmt.Sscan(string(b), &all, &res); err != nil {
		return 0
	}
	return res * os.Getpagesize() >> 20
}
