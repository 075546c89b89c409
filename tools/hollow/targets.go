package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"walkrudder/internal/target"
)

// TargetsArgs describe one process of hollow targets, all of one zone.
type TargetsArgs struct {
	For      time.Duration `arg:"--for" default:"1m"`
	Net      int           `arg:"--net" default:"70"`
	Zone     int           `arg:"--zone"`
	Count    int           `arg:"--count" default:"1"`
	Services int           `arg:"--services" default:"1"`
	Every    time.Duration `arg:"--every" default:"1s"`
	Doors    string        `arg:"--doors,required"`
	Homes    bool          `arg:"--homes" help:"send later beats to where the answer says; else to any"`
}

// hollowTarget is one target; a new run begins where one ended.
type hollowTarget struct {
	zone, n, run int
	seq          uint64
	c            net.Conn
	r            *bufio.Reader
	to           string
}

func (x *hollowTarget) beat(services int) target.Heartbeat {
	return target.Heartbeat{ID: fmt.Sprintf("i-%d-%05d-%d", x.zone, x.n, x.run), Service: serviceName(x.n % services),
		Addr: fmt.Sprintf("10.%d.%d.%d:8080", x.zone, x.n/250, x.n%250+1), Zone: zoneName(x.zone), Version: "v1", Slots: 3, Seq: x.seq}
}

// send makes one call over the target's kept connection.
func (x *hollowTarget) send(from, method string, b target.Heartbeat) (told beatTold, err error) {
	const limit = time.Second
	if x.c == nil {
		d := net.Dialer{Timeout: limit, LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
		if x.c, err = d.Dial("tcp", x.to); err != nil {
			return told, err
		}
		x.r = bufio.NewReaderSize(x.c, 1<<10)
	}
	defer func() {
		if err != nil {
			x.hangUp()
		}
	}()
	if err := x.c.SetDeadline(time.Now().Add(limit)); err != nil {
		return told, err
	}
	body, err := json.Marshal(b)
	if err != nil {
		return told, err
	}
	w := fmt.Appendf(nil, "%s %s/%s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", method, beatPath, b.ID, x.to, len(body))
	if _, err := x.c.Write(append(w, body...)); err != nil {
		return told, err
	}
	var res fasthttp.Response
	if err := res.Read(x.r); err != nil {
		return told, err
	}
	if res.StatusCode() != fasthttp.StatusOK {
		return told, fmt.Errorf("status %d", res.StatusCode())
	}
	return told, json.Unmarshal(res.Body(), &told)
}

func (x *hollowTarget) hangUp() {
	if x.c != nil {
		_ = x.c.Close()
		x.c = nil
	}
}

var errCut = errors.New("cut off")

func (a *TargetsArgs) start(ctx context.Context) (*handler, error) {
	life, end := context.WithCancel(ctx)
	doors := strings.Split(a.Doors, ",")
	delay := ways(a.Zone)
	var cut atomic.Pointer[map[string]bool]
	cut.Store(&map[string]bool{})
	var mu sync.Mutex
	took := map[string][]int64{}
	counts := map[string]int64{}
	replace := make(chan struct{}, 4096)
	call := func(x *hollowTarget, what, method string, b target.Heartbeat) error {
		ip, _, _ := net.SplitHostPort(x.to)
		begun := time.Now()
		var told beatTold
		err := errCut
		if (*cut.Load())[ip] {
			time.Sleep(time.Second)
		} else {
			time.Sleep(delay(ip))
			told, err = x.send(ipOf(a), method, b)
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			counts[what+" failed"]++
			x.hangUp()
			x.to = doors[rand.IntN(len(doors))]
			return err
		}
		counts[what]++
		took[what] = append(took[what], int64(time.Since(begun)))
		to := doors[rand.IntN(len(doors))]
		if a.Homes && told.Home != "" {
			to = told.Home
		}
		if to != x.to {
			x.hangUp()
			x.to = to
		}
		return nil
	}
	var wg sync.WaitGroup
	for i := range a.Count {
		x := &hollowTarget{zone: a.Zone, n: i, to: doors[rand.IntN(len(doors))]}
		wg.Go(func() {
			defer x.hangUp()
			bell := time.NewTimer(time.Duration(rand.Float64() * float64(a.Every)))
			defer bell.Stop()
			for {
				select {
				case <-life.Done():
					return
				case <-replace:
					a.replace(life, x, call)
					continue
				case <-bell.C:
				}
				x.seq++
				for range 4 {
					if call(x, "beat", "PUT", x.beat(a.Services)) == nil || life.Err() != nil {
						break
					}
				}
				bell.Reset(time.Duration((0.95 + 0.1*rand.Float64()) * float64(a.Every)))
			}
		})
	}
	var rate atomic.Int64 // replacements in a thousand seconds
	wg.Go(func() { replacer(life, &rate, replace) })
	do := func(_ context.Context, o Order) (t Told) {
		switch o.Op {
		case "mark":
		case "replace":
			rate.Store(int64(o.Rate * 1000))
		case "cut":
			m := map[string]bool{}
			for _, x := range o.Cut {
				m[x] = true
			}
			cut.Store(&m)
		default:
			return Told{Err: "no such order"}
		}
		mu.Lock()
		defer mu.Unlock()
		t.Took, t.Counts, t.Ready = took, counts, a.Count
		took, counts = map[string][]int64{}, map[string]int64{}
		return t
	}
	return &handler{do: do, stop: func() { end(); wg.Wait() }}, nil
}

func ipOf(a *TargetsArgs) string { return ip(a.Net, targetNet, a.Zone) }

// replace ends a run as planned, and begins the next.
func (a *TargetsArgs) replace(ctx context.Context, x *hollowTarget, call func(*hollowTarget, string, string, target.Heartbeat) error) {
	x.seq++
	b := x.beat(a.Services)
	b.Draining = true
	for range 4 {
		if call(x, "drain", "PUT", b) == nil || ctx.Err() != nil {
			break
		}
	}
	for range 4 {
		if call(x, "leave", "DELETE", b) == nil || ctx.Err() != nil {
			break
		}
	}
	x.run++
	x.seq = 1
	_ = call(x, "first", "PUT", x.beat(a.Services))
}

// replacer has targets replaced at a rate.
func replacer(ctx context.Context, rate *atomic.Int64, replace chan<- struct{}) {
	const step = 100 * time.Millisecond
	t := time.NewTicker(step)
	defer t.Stop()
	due := 0.0
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for due += float64(rate.Load()) / 1000 * step.Seconds(); due >= 1; due-- {
			select {
			case replace <- struct{}{}:
			default:
			}
		}
	}
}
