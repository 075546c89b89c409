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

	"walkrudder/internal/http1/http1test"
	"walkrudder/internal/httpapi"
)

// Mode selects how a target behaves.
type Mode int32

// Modes of a target.
const (
	Healthy         Mode = iota
	Slow                 // takes 20 times as long
	Silent               // executes the request and never answers
	ClosingAfterRun      // executes it and closes the connection
	BadStamp             // answers with a wrong stamp or none
	Truncating           // breaks off the body
	Refusing             // answers "not run", truthfully
	Swapping             // answers with another request's answer
	Unresponsive         // accepts connections and answers nothing, not even probes
	Malformed            // executes the request and answers with a malformed response
)

// Target is a stand-in target: one listener and one run at a time.
type Target struct {
	ID                string
	Service           string
	Zone              string
	Addr              string
	AnnouncedAddr     string // a relay's address to announce instead of Addr, if set
	Capacity          int
	HeartbeatInterval time.Duration
	MeanWork          time.Duration // mean execution time of a request
	Controllers       func() []string
	Rec               *Records

	mode          atomic.Int32
	modeShare     atomic.Int64 // percentage of requests that the mode applies to
	inc           atomic.Uint64
	seq           atomic.Uint64
	leaving       atomic.Bool
	heartbeatsOff atomic.Bool

	mu        sync.Mutex
	ln        net.Listener
	srv       *http.Server
	cancel    context.CancelFunc
	lastStamp string // of an earlier answer, for Swapping
	lastBody  []byte
}

// SetMode makes the target behave as m for share percent of its requests.
func (t *Target) SetMode(m Mode, share int) {
	t.modeShare.Store(int64(share))
	t.mode.Store(int32(m))
}

// Inc returns the incarnation of the target's run.
func (t *Target) Inc() uint64 { return t.inc.Load() }

// Start begins a new run at Addr; port 0 is replaced by a free port at the first start.
func (t *Target) Start(ctx context.Context) error {
	ln, err := net.Listen("tcp", t.Addr)
	if err != nil {
		return err
	}
	t.Addr = ln.Addr().String()
	ctx, end := context.WithCancel(ctx)
	// A later run needs a larger incarnation, even across targets at one address.
	t.inc.Store(uint64(time.Now().UnixNano() / 1000))
	t.seq.Store(0)
	t.leaving.Store(false)
	t.heartbeatsOff.Store(false)
	t.SetMode(Healthy, 100)
	srv := &http.Server{Handler: http.HandlerFunc(t.serve), ReadHeaderTimeout: 10 * time.Second}
	t.mu.Lock()
	t.ln, t.srv, t.cancel = ln, srv, end
	t.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	go t.sendHeartbeats(ctx)
	return nil
}

// Crash ends the run at once: it closes all connections and sends nothing more.
func (t *Target) Crash() {
	t.mu.Lock()
	srv, end := t.srv, t.cancel
	t.mu.Unlock()
	if end != nil {
		end()
		_ = srv.Close()
		t.Rec.RecordCrash(Crash{Target: t.ID, Inc: t.Inc(), At: time.Now()})
	}
}

// Leave announces that the target leaves until a controller acknowledges it, and returns the time of
// the acknowledgement.
func (t *Target) Leave(ctx context.Context) (time.Time, error) {
	t.leaving.Store(true)
	requestedAt := time.Now()
	for ctx.Err() == nil {
		if a, err := t.sendHeartbeat(ctx); err == nil && a.Leaving {
			at := time.Now()
			t.Rec.RecordLeave(Leave{Target: t.ID, Inc: t.Inc(), RequestedAt: requestedAt, AckedAt: at})
			return at, nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Time{}, ctx.Err()
}

func (t *Target) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		if !t.heartbeatsOff.Load() {
			if a, err := t.sendHeartbeat(ctx); err == nil && a.Gone {
				// Removed while alive: begin a new run.
				t.Rec.RecordEviction(Leave{Target: t.ID, Inc: t.Inc(), AckedAt: time.Now()})
				t.inc.Store(uint64(time.Now().UnixNano() / 1000))
				t.seq.Store(0)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(t.HeartbeatInterval*9/10 + time.Duration(rand.Int64N(int64(t.HeartbeatInterval)/5+1))):
		}
	}
}

var heartbeatClient = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 20 * time.Second}}

func (t *Target) sendHeartbeat(ctx context.Context) (a httpapi.BeatResponse, err error) {
	addrs := t.Controllers()
	b, _ := json.Marshal(httpapi.Beat{ID: t.ID, Service: t.Service, Zone: t.Zone, Addr: cmp.Or(t.AnnouncedAddr, t.Addr), Capacity: t.Capacity, Leaving: t.leaving.Load(),
		Seq: t.seq.Add(1), Inc: t.Inc(), EveryMS: int(t.HeartbeatInterval.Milliseconds())})
	err = errors.New("no controller")
	for _, i := range rand.Perm(len(addrs)) {
		// The timeout is short so that another controller is tried soon. A leave takes longer, as it waits for gateways.
		callCtx, cancel := context.WithTimeout(ctx, lo.Ternary(t.leaving.Load(), 5*time.Second, 800*time.Millisecond))
		defer cancel()
		var q *http.Request
		if q, err = http.NewRequestWithContext(callCtx, "POST", "http://"+addrs[i]+httpapi.BeatPath, bytes.NewReader(b)); err != nil {
			return a, err
		}
		q.Header.Set("Content-Type", "application/json")
		var r *http.Response
		if r, err = heartbeatClient.Do(q); err != nil {
			continue
		}
		raw, _ := io.ReadAll(io.LimitReader(r.Body, 1<<16))
		_ = r.Body.Close()
		if r.StatusCode != 200 {
			err = fmt.Errorf("heartbeat: %s %s", r.Status, raw)
			continue
		}
		return a, json.Unmarshal(raw, &a)
	}
	return a, err
}

// Digest returns a short hash of a body.
func Digest(b []byte) string {
	h := sha256.Sum256(b)
	return hex.EncodeToString(h[:8])
}

// OrderHeader is the header that carries the caller's order to the target.
const OrderHeader = "X-Order"

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	m := Mode(t.mode.Load())
	order := r.Header.Get(OrderHeader)
	if r.URL.Path != httpapi.ProbePath {
		t.Rec.RecordArrival(Arrival{At: time.Now(), Target: t.ID, Inc: t.Inc(), Service: t.Service, Order: order, SendID: r.Header.Get(httpapi.RequestHeader), Path: r.URL.Path})
	}
	if m == Unresponsive {
		<-r.Context().Done()
		return
	}
	if r.URL.Path == httpapi.ProbePath {
		n, _ := strconv.ParseUint(r.URL.Query().Get("seq"), 10, 64)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(httpapi.ProbeResponse{ID: t.ID, Service: t.Service, Inc: t.Inc(), Seq: n, Leaving: t.leaving.Load()})
		return
	}
	if m != Healthy && rand.Int64N(100) >= t.modeShare.Load() {
		m = Healthy
	}
	in, _ := io.ReadAll(io.LimitReader(r.Body, 32<<20))
	inc, sendID := t.Inc(), r.Header.Get(httpapi.RequestHeader)
	st := httpapi.Stamp{ID: t.ID, Service: t.Service, Inc: inc, Request: sendID}
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
	t.Rec.RecordExec(Exec{At: time.Now(), Target: t.ID, Service: t.Service, Inc: inc, Order: order, SendID: sendID, Path: r.URL.Path, IntendedTarget: r.Header.Get(httpapi.TargetHeader), Digest: Digest(body), Malformed: m == Malformed})
	d := time.Duration(float64(t.MeanWork) * (0.5 + rand.Float64()))
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
	case ClosingAfterRun:
		closeConn(w)
		return
	case BadStamp:
		switch rand.IntN(3) {
		case 0:
			stamp = ""
		case 1:
			stamp = httpapi.Stamp{ID: t.ID, Service: t.Service, Inc: inc + 1, Request: sendID, Length: len(body)}.String()
		case 2:
			stamp = httpapi.Stamp{ID: t.ID, Service: t.Service, Inc: inc, Request: sendID + "x", Length: len(body)}.String()
		}
	case Malformed:
		writeMalformed(w, stamp, body)
		return
	case Swapping:
		t.mu.Lock()
		if t.lastStamp != "" {
			stamp, body = t.lastStamp, t.lastBody
		} else {
			t.lastStamp, t.lastBody = stamp, body
		}
		t.mu.Unlock()
	case Truncating:
		w.Header().Set(httpapi.StampHeader, stamp)
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:len(body)/2])
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		closeConn(w)
		return
	}
	if stamp != "" {
		w.Header().Set(httpapi.StampHeader, stamp)
	}
	w.Header().Set("Content-Type", "application/json")
	if rand.IntN(4) == 0 {
		// Some answers use chunked encoding.
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

// Body is the body of a successful answer.
type Body struct {
	Order   string `json:"order"`
	Service string `json:"service"`
	Target  string `json:"target"`
	Got     int    `json:"got"`
	Pad     string `json:"pad"`
}

// writeMalformed writes a malformed answer and closes the connection.
func writeMalformed(w http.ResponseWriter, stamp string, body []byte) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer c.Close()
	_, _ = io.WriteString(c, http1test.DrawMalformed(rand.IntN).Response(httpapi.StampHeader+": "+stamp+"\r\n", string(body)))
}

// closeConn closes the connection without an answer.
func closeConn(w http.ResponseWriter) {
	if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
		_ = c.Close()
		return
	}
	panic(http.ErrAbortHandler)
}
