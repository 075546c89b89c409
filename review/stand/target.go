package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// target is a sound server of one service, as the users' pages describe it.
type target struct {
	f             *fleet
	id, service   string
	zone, address string
	slots         int
	// work is how long a request takes, size the length of its answer.
	work time.Duration
	size int

	busy     chan struct{}
	draining atomic.Bool
	seq      atomic.Int64
	ln       net.Listener
	end      chan struct{}

	mu   sync.Mutex
	runs map[string]int // by request
}

func (f *fleet) target(service, zone string, slots int, work time.Duration, size int) (*target, error) {
	f.host++
	t := &target{f: f, id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, zone: zone, slots: slots, work: work, size: size,
		address: f.at(fmt.Sprintf("127.%d.%d.%d", f.net, 10, f.host), portTarget), busy: make(chan struct{}, slots), end: make(chan struct{}), runs: map[string]int{}}
	var err error
	if t.ln, err = net.Listen("tcp", t.address); err != nil {
		return nil, err
	}
	s := &http.Server{Handler: t, IdleTimeout: 10 * time.Second}
	go func() { _ = s.Serve(t.ln) }()
	go t.beats()
	return t, nil
}

// beats tells any controller about every heartbeat.
func (t *target) beats() {
	for {
		for _, m := range t.f.controllers() {
			if t.call(m, http.MethodPut) == 200 {
				break
			}
		}
		select {
		case <-t.end:
			return
		case <-time.After(time.Duration(t.f.beatMS) * time.Millisecond):
		}
	}
}

func (t *target) call(m *machine, method string) int {
	state := "ready"
	if t.draining.Load() {
		state = "draining"
	}
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone_id":%q,"version":"v1","capacity_slots":%d,"state":%q,"warmup_left_ms":0,"call_seq":%d}`,
		t.service, t.address, t.zone, t.slots, state, t.seq.Add(1))
	q, err := http.NewRequest(method, "http://"+t.f.at(m.ip, portControl)+"/instances/"+t.id, strings.NewReader(body))
	if err != nil {
		return 0
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := asker.Do(q)
	if err != nil {
		return 0
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// ServeHTTP runs a request that is meant for this run.
func (t *target) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", t.id)
		return
	}
	id := q.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if want := q.Header.Get("X-Expected-Instance"); want != "" && want != t.id {
		w.Header().Set("X-Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	t.busy <- struct{}{}
	t.mu.Lock()
	t.runs[id]++
	t.mu.Unlock()
	t.f.rec.say("target %s of %s runs %s %s, request %s", t.id, t.service, q.Method, q.URL.Path, id)
	time.Sleep(t.work)
	<-t.busy
	w.Header().Set("X-Server-Seal", "seal-"+t.id)
	w.Header().Set("Content-Length", strconv.Itoa(t.size))
	b := make([]byte, 64<<10)
	for i := range b {
		b[i] = 'a' + byte(i%26)
	}
	for left := t.size; left > 0; {
		n, err := w.Write(b[:min(left, len(b))])
		if err != nil {
			return
		}
		left -= n
	}
}
