package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	slowClients = 8
	// slowBody is the length of a large answer, and slowWait for how long its client waits.
	slowBody = 7_500_000
	slowWait = 40 * time.Second
	// slowStep is what a slow client reads at once, and slowPause the time between two reads:
	// all of the body takes 25 s.
	slowStep, slowPause = 30_000, 100 * time.Millisecond
	// lostMost is how many such requests the rule lets pass.
	lostMost = 3
)

// slow: clients that read slowly, on kept connections, get large answers.
func slow(rec *record, trouble bool) (verdict, error) {
	f, err := newFleet(small(), rec)
	if err != nil {
		return failed, err
	}
	defer f.lower()
	if err := f.raise(); err != nil {
		return failed, err
	}
	for _, z := range f.zones {
		for range 3 {
			if _, err := f.target("archive", z, 2, 20*time.Millisecond, slowBody); err != nil {
				return failed, err
			}
		}
	}
	bundles := route{Name: "r-bundles", Host: "shop.example", Prefix: "/bundles/", Repeat: "download", Service: "archive", Version: 1, TimeoutMS: int(slowWait.Milliseconds()), AimMS: 400, Attempts: 2}
	if f.insist("the operator", 0, order([]string{bundles.text()}, []string{serviceText("archive", 1)}, limitsText, "")) != 200 {
		return failed, errors.New("the configuration was not taken")
	}
	if err := f.serving(); err != nil {
		return failed, err
	}
	time.Sleep(3500 * time.Millisecond) // all are in touch
	rec.say("the platform sends SIGHUP to all gateways")
	for _, m := range f.machines {
		m.gateway.signal(syscall.SIGHUP)
	}
	var cut, whole atomic.Int64
	var wg sync.WaitGroup
	for i := range slowClients {
		wg.Go(func() {
			switch err := f.download(f.machines[i%len(f.machines)], trouble); {
			case err == nil:
				whole.Add(1)
			case errors.Is(err, errCut):
				cut.Add(1)
			}
		})
	}
	wg.Wait()
	rec.say("%d of %d downloads came whole, %d were cut", whole.Load(), slowClients, cut.Load())
	switch {
	case cut.Load() > lostMost:
		return broken, nil
	case whole.Load()+cut.Load() < slowClients:
		return failed, errors.New("some clients had another outcome")
	}
	return held, nil
}

var errCut = errors.New("the connection ended before the whole answer")

// download makes a short request first, so that the connection is a kept one, and then a long one.
func (f *fleet) download(m *machine, trouble bool) error {
	d := net.Dialer{Timeout: time.Second}
	c, err := d.Dial("tcp", f.at(m.ip, portFront))
	if err != nil {
		return err
	}
	defer c.Close()
	if t, ok := c.(*net.TCPConn); ok && trouble {
		_ = t.SetReadBuffer(32 << 10)
	}
	in := bufio.NewReaderSize(c, 4<<10)
	for _, method := range []string{http.MethodHead, http.MethodGet} {
		id := fmt.Sprintf("%016x", rand.Uint64())
		began := time.Now()
		f.rec.say("a client sends %s shop.example/bundles/a to %s, request %s, and waits %d ms", method, m.name, id, slowWait.Milliseconds())
		if _, err := fmt.Fprintf(c, "%s /bundles/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Remaining-Time: %d\r\n\r\n", method, id, slowWait.Milliseconds()); err != nil {
			return err
		}
		r, err := http.ReadResponse(in, &http.Request{Method: method})
		if err != nil {
			return err
		}
		if r.StatusCode != http.StatusOK || r.Header.Get("X-Server-Seal") == "" {
			return fmt.Errorf("answered %d", r.StatusCode)
		}
		got := 0
		for b := make([]byte, slowStep); ; {
			n, err := io.ReadFull(r.Body, b)
			got += n
			if errors.Is(err, io.EOF) || method == http.MethodHead {
				break
			}
			if err != nil && !(errors.Is(err, io.ErrUnexpectedEOF) && got == slowBody) {
				f.rec.say("request %s: the connection ended after %.1f s with %d of %d bytes: %v", id, time.Since(began).Seconds(), got, slowBody, err)
				return errCut
			}
			if trouble {
				time.Sleep(slowPause)
			}
		}
		f.rec.say("request %s is answered %d, %d bytes, after %.1f s", id, r.StatusCode, got, time.Since(began).Seconds())
	}
	return nil
}
