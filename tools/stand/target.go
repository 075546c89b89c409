package stand

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
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

	"github.com/samber/lo"

	"walkrudder/internal/httpapi"
)

// Mode is how a target behaves.
type Mode int32

// The modes of a target.
const (
	Good     Mode = iota
	Slow          // takes long
	Silent        // runs the request and never answers
	Losing        // runs it and closes the link
	Garbling      // answers without, or with a wrong, stamp
	Cutting       // breaks the body off
	Refusing      // says "not run", truly
	Swapping      // answers with another request's answer
	Vanished      // accepts links and does nothing at all, probes included
)

// Target is a stand-in target: one listener, one identity at a time.
type Target struct {
	ID          string
	Service     string
	Zone        string
	Addr        string
	Face        string // the address it announces, where that is a relay's
	Capacity    int
	Every       time.Duration
	Work        time.Duration // mean time of a run
	Controllers func() []string
	Rec         *Records

	mode    atomic.Int32
	share   atomic.Int64 // of requests that Mode applies to, in percent
	inc     atomic.Uint64
	seq     atomic.Uint64
	leaving atomic.Bool
	mute    atomic.Bool // sends no beats

	mu   sync.Mutex
	ln   net.Listener
	srv  *http.Server
	stop context.CancelFunc
	last string // an earlier answer's stamp
	body []byte
}

// Set makes the target behave as m for share percent of its requests.
func (t *Target) Set(m Mode, share int) {
	t.share.Store(int64(share))
	t.mode.Store(int32(m))
}

// Inc is the target's run.
func (t *Target) Inc() uint64 { return t.inc.Load() }

// Start begins a new run, at Addr; a port of 0 is chosen once and kept.
func (t *Target) Start(ctx context.Context) error {
	ln, err := net.Listen("tcp", t.Addr)
	if err != nil {
		return err
	}
	t.Addr = ln.Addr().String()
	ctx, end := context.WithCancel(ctx)
	// A later run has a larger number, also across targets at one address.
	t.inc.Store(uint64(time.Now().UnixNano() / 1000))
	t.seq.Store(0)
	t.leaving.Store(false)
	t.mute.Store(false)
	t.Set(Good, 100)
	srv := &http.Server{Handler: http.HandlerFunc(t.serve), ReadHeaderTimeout: 10 * time.Second}
	t.mu.Lock()
	t.ln, t.srv, t.stop = ln, srv, end
	t.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	go t.beats(ctx)
	return nil
}

// Crash ends the run at once: links are cut, nothing more is said.
func (t *Target) Crash() {
	t.mu.Lock()
	srv, end := t.srv, t.stop
	t.mu.Unlock()
	if end != nil {
		end()
		_ = srv.Close()
		t.Rec.Down(Down{Target: t.ID, Inc: t.Inc(), At: time.Now()})
	}
}

// Leave announces leaving until a controller acknowledges it, then tells when.
func (t *Target) Leave(ctx context.Context) (time.Time, error) {
	t.leaving.Store(true)
	asked := time.Now()
	for ctx.Err() == nil {
		if a, err := t.beat(ctx); err == nil && a.Leaving {
			at := time.Now()
			t.Rec.Leave(Leave{Target: t.ID, Inc: t.Inc(), Asked: asked, Acked: at})
			return at, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Time{}, ctx.Err()
}

func (t *Target) beats(ctx context.Context) {
	for ctx.Err() == nil {
		if !t.mute.Load() {
			if a, err := t.beat(ctx); err == nil && a.Gone {
				// Let go while alive: begin anew.
				t.Rec.Gone(Leave{Target: t.ID, Inc: t.Inc(), Acked: time.Now()})
				t.inc.Store(uint64(time.Now().UnixNano() / 1000))
				t.seq.Store(0)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(t.Every*9/10 + time.Duration(rand.Int64N(int64(t.Every)/5+1))):
		}
	}
}

var beater = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 20 * time.Second}}

func (t *Target) beat(ctx context.Context) (a httpapi.BeatResponse, err error) {
	ms := t.Controllers()
	b, _ := json.Marshal(httpapi.Beat{ID: t.ID, Service: t.Service, Zone: t.Zone, Addr: cmp.Or(t.Face, t.Addr), Capacity: t.Capacity, Leaving: t.leaving.Load(),
		Seq: t.seq.Add(1), Inc: t.Inc(), EveryMS: int(t.Every.Milliseconds())})
	err = errors.New("no controller")
	for _, i := range rand.Perm(len(ms)) {
		// A controller that does not answer is left soon, but for a leaving, which waits for gateways.
		cx, end := context.WithTimeout(ctx, lo.Ternary(t.leaving.Load(), 5*time.Second, 800*time.Millisecond))
		defer end()
		var q *http.Request
		if q, err = http.NewRequestWithContext(cx, "POST", "http://"+ms[i]+httpapi.BeatPath, bytes.NewReader(b)); err != nil {
			return a, err
		}
		q.Header.Set("Content-Type", "application/json")
		var r *http.Response
		if r, err = beater.Do(q); err != nil {
			continue
		}
		raw, _ := io.ReadAll(io.LimitReader(r.Body, 1<<16))
		_ = r.Body.Close()
		if r.StatusCode != 200 {
			err = fmt.Errorf("beat: %s %s", r.Status, raw)
			continue
		}
		return a, json.Unmarshal(raw, &a)
	}
	return a, err
}

// Digest tells bodies apart.
func Digest(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:8])
}

// OrderField carries the caller's order through to the target.
const OrderField = "X-Order"

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	m := Mode(t.mode.Load())
	order := r.Header.Get(OrderField)
	if r.URL.Path != httpapi.ProbePath {
		t.Rec.Arrive(Arrival{At: time.Now(), Target: t.ID, Inc: t.Inc(), Service: t.Service, Order: order, Number: r.Header.Get(httpapi.RequestHeader), Path: r.URL.Path})
	}
	if m == Vanished {
		<-r.Context().Done()
		return
	}
	if r.URL.Path == httpapi.ProbePath {
		n, _ := strconv.ParseUint(r.URL.Query().Get("seq"), 10, 64)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(httpapi.ProbeResponse{ID: t.ID, Service: t.Service, Inc: t.Inc(), Seq: n, Leaving: t.leaving.Load()})
		return
	}
	if m != Good && rand.Int64N(100) >= t.share.Load() {
		m = Good
	}
	in, _ := io.ReadAll(io.LimitReader(r.Body, 32<<20))
	inc, num := t.Inc(), r.Header.Get(httpapi.RequestHeader)
	st := httpapi.Stamp{ID: t.ID, Service: t.Service, Inc: inc, Request: num}
	if m == Refusing {
		st.Length = 0
		w.Header().Set(httpapi.StampHeader, st.String())
		w.Header().Set(httpapi.NotRunHeader, "1")
		w.WriteHeader(503)
		return
	}
	size := 200
	if i := strings.LastIndex(r.URL.RawQuery, "size="); i >= 0 {
		if n, err := strconv.Atoi(r.URL.RawQuery[i+5:]); err == nil && n < 20<<20 {
			size = n
		}
	}
	body, _ := json.Marshal(Body{Order: order, Service: t.Service, Target: t.ID, Got: len(in), Pad: strings.Repeat("x", size)})
	st.Length = len(body)
	t.Rec.Exec(Exec{At: time.Now(), Target: t.ID, Service: t.Service, Inc: inc, Order: order, Number: num, Path: r.URL.Path, Meant: r.Header.Get(httpapi.TargetHeader), Digest: Digest(body)})
	d := time.Duration(float64(t.Work) * (0.5 + rand.Float64()))
	if m == Slow {
		d *= 20
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
		return
	}
	stamp := st.String()
	switch m {
	case Silent:
		<-r.Context().Done()
		return
	case Losing:
		hijack(w)
		return
	case Garbling:
		switch rand.IntN(3) {
		case 0:
			stamp = ""
		case 1:
			stamp = httpapi.Stamp{ID: t.ID, Service: t.Service, Inc: inc + 1, Request: num, Length: len(body)}.String()
		case 2:
			stamp = httpapi.Stamp{ID: t.ID, Service: t.Service, Inc: inc, Request: num + "x", Length: len(body)}.String()
		}
	case Swapping:
		t.mu.Lock()
		if t.last != "" {
			stamp, body = t.last, t.body
		} else {
			t.last, t.body = stamp, body
		}
		t.mu.Unlock()
	case Cutting:
		w.Header().Set(httpapi.StampHeader, stamp)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		hijack(w)
		return
	}
	if stamp != "" {
		w.Header().Set(httpapi.StampHeader, stamp)
	}
	w.Header().Set("Content-Type", "application/json")
	if rand.IntN(4) == 0 {
		// Some answers come in chunks.
		w.WriteHeader(200)
		_, _ = w.Write(body[:len(body)/2])
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		_, _ = w.Write(body[len(body)/2:])
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

// Body is a good answer's body.
type Body struct {
	Order   string `json:"order"`
	Service string `json:"service"`
	Target  string `json:"target"`
	Got     int    `json:"got"`
	Pad     string `json:"pad"`
}

// hijack cuts the link.
func hijack(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = c.Close()
		return
	}
	panic(http.ErrAbortHandler)
}
