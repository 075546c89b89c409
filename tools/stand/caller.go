package stand

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"walkrudder/internal/httpapi"
)

// CallKind is one kind of call in the mix.
type CallKind struct {
	Method       string
	Path         string
	Service      string
	Repeatable   bool
	Rate         float64 // calls per second, over all callers
	AnswerBytes  int     // size that the answer is asked for, if set
	RequestBytes int     // size of the request's body
	// MayBeUnbound means that the path is bound and unbound during the run: an answer that nothing
	// is bound there is expected.
	MayBeUnbound bool
}

// LoadBalancer stands in for the platform's single address: it polls the readiness of each gateway
// once a second and distributes calls over those that are ready.
type LoadBalancer struct {
	Addrs func() []string
	// NodeOf returns the ID of the node with this address.
	NodeOf func(addr string) string
	mu     sync.Mutex
	ready  []string
}

var readinessClient = &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// IsReady asks one node whether it is ready.
func IsReady(addr string) bool {
	r, err := readinessClient.Get("http://" + addr + httpapi.ReadyPath)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_ = r.Body.Close()
	return r.StatusCode == 200
}

// Run polls once a second until ctx ends.
func (b *LoadBalancer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		b.PollOnce()
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
		}
	}
}

// PollOnce polls every node once.
func (b *LoadBalancer) PollOnce() {
	addrs := b.Addrs()
	ok := make([]bool, len(addrs))
	var wg sync.WaitGroup
	for i, d := range addrs {
		wg.Go(func() { ok[i] = IsReady(d) })
	}
	wg.Wait()
	var ready []string
	for i, d := range addrs {
		if ok[i] {
			ready = append(ready, d)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
}

// Pick returns the address of a random ready node, or "" if there is none.
func (b *LoadBalancer) Pick() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return ""
	}
	return b.ready[rand.IntN(len(b.ready))]
}

// Callers makes calls of all kinds at their rates and records each outcome.
type Callers struct {
	Kinds     []CallKind
	Balancer  *LoadBalancer
	Rec       *Records
	RunID     string // distinguishes the orders of different runs
	lastOrder atomic.Uint64
	wg        sync.WaitGroup
	inFlight  atomic.Int64
}

var callClient = &http.Client{Timeout: 15 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}

// maxInFlight bounds the calls in flight.
const maxInFlight = 2000

// Run makes calls until ctx ends, then waits for the calls in flight.
func (c *Callers) Run(ctx context.Context) {
	for _, k := range c.Kinds {
		if k.Rate <= 0 {
			continue
		}
		c.wg.Go(func() {
			next := time.Now()
			for ctx.Err() == nil {
				// Poisson arrivals at the kind's rate.
				next = next.Add(time.Duration(rand.ExpFloat64() / k.Rate * float64(time.Second)))
				select {
				case <-ctx.Done():
					return
				case <-time.After(time.Until(next)):
				}
				if c.inFlight.Load() >= maxInFlight {
					continue
				}
				c.inFlight.Add(1)
				c.wg.Go(func() {
					defer c.inFlight.Add(-1)
					c.CallWithRetries(k)
				})
			}
		})
	}
	c.wg.Wait()
}

// CallWithRetries makes one call. If the call is not repeatable and its outcome is unknown to the
// caller, it is made up to three more times with the same key through any gateway.
func (c *Callers) CallWithRetries(k CallKind) {
	order := fmt.Sprintf("%s-%d", c.RunID, c.lastOrder.Add(1))
	o := c.Call(k, order, "")
	for i := 0; i < 3 && !k.Repeatable && (o.Status >= 300 || o.Err != "") && o.Code != httpapi.AlreadyRun; i++ {
		time.Sleep(time.Duration(100+rand.IntN(1400)) * time.Millisecond)
		o = c.Call(k, order, "")
	}
}

// Call makes one call and records its outcome; an empty order or address is replaced by a new one.
func (c *Callers) Call(k CallKind, order, addr string) Outcome {
	return c.callAsClient(k, order, addr, "")
}

// callAsClient is Call with a client name. Calls of a named client do not count as valid.
func (c *Callers) callAsClient(k CallKind, order, addr, client string) Outcome {
	if order == "" {
		order = fmt.Sprintf("%s-%d", c.RunID, c.lastOrder.Add(1))
	}
	if addr == "" {
		addr = c.Balancer.Pick()
	}
	o := Outcome{Order: order, Path: k.Path, Service: k.Service, Repeatable: k.Repeatable, Valid: !k.MayBeUnbound && client == "", Sent: time.Now(), Gateway: c.Balancer.NodeOf(addr)}
	defer func() { o.Done = time.Now(); c.Rec.RecordOutcome(o) }()
	if addr == "" {
		o.Err = NoNode
		return o
	}
	u := "http://" + addr + k.Path
	if k.AnswerBytes > 0 {
		u += fmt.Sprintf("?size=%d", k.AnswerBytes)
	}
	var in io.Reader
	if k.RequestBytes > 0 {
		in = bytes.NewReader(bytes.Repeat([]byte("p"), k.RequestBytes))
	}
	q, err := http.NewRequest(k.Method, u, in)
	if err != nil {
		o.Err = err.Error()
		return o
	}
	// The standard client retries by itself if a kept-alive connection turns out to be closed;
	// a body without GetBody prevents that.
	q.GetBody = nil
	q.Header.Set(OrderHeader, order)
	if client != "" {
		q.Header.Set(httpapi.ClientHeader, client)
	}
	if !k.Repeatable {
		q.Header.Set(httpapi.KeyHeader, order)
	}
	r, err := callClient.Do(q)
	if err != nil {
		o.Err = err.Error()
		return o
	}
	defer r.Body.Close()
	o.Call = r.Header.Get(httpapi.CallHeader)
	o.Status, o.Stamp, o.RetryAfter = r.StatusCode, r.Header.Get(httpapi.StampHeader), r.Header.Get("Retry-After")
	raw, err := io.ReadAll(io.LimitReader(r.Body, 64<<20))
	if err != nil {
		o.Err = err.Error()
		return o
	}
	o.Digest = Digest(raw)
	if r.StatusCode < 300 {
		var b Body
		if json.Unmarshal(raw, &b) == nil {
			o.BodyOrder = b.Order
			o.BodyComplete = k.AnswerBytes == 0 && len(b.Pad) == 200 || len(b.Pad) == k.AnswerBytes
		}
		return o
	}
	var v struct {
		Error, Why string
		Sent       bool
	}
	_ = json.Unmarshal(raw, &v)
	o.Code, o.Reason, o.Forwarded = v.Error, v.Why, v.Sent
	return o
}
