// Package metrics counts for the metrics endpoint, through the Prometheus library.
package metrics

import (
	"github.com/gofiber/fiber/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Tally is one process's metrics.
type Tally struct {
	reg *prometheus.Registry
	ev  *prometheus.CounterVec
}

// New makes the metrics of a program.
func New(program string) *Tally {
	t := &Tally{reg: prometheus.NewRegistry(), ev: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "walkrudder", Subsystem: program,
		Name: "events_total", Help: "What happened, by kind and service."}, []string{"what", "service"})}
	t.reg.MustRegister(t.ev, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return t
}

// Add counts one event.
func (t *Tally) Add(what, service string) { t.ev.WithLabelValues(what, service).Inc() }

// Gauge shows f's value under name.
func (t *Tally) Gauge(name, help string, f func() float64) {
	t.reg.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "walkrudder", Name: name, Help: help}, f))
}

// Handler serves the metrics.
func (t *Tally) Handler() fiber.Handler {
	h := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(t.reg, promhttp.HandlerOpts{}))
	return func(c *fiber.Ctx) error {
		h(c.Context())
		return nil
	}
}
