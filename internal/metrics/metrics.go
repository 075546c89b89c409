// Package metrics collects the metrics of a process with the Prometheus library.
package metrics

import (
	"github.com/gofiber/fiber/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Registry holds the metrics of one process.
type Registry struct {
	registry *prometheus.Registry
	events   *prometheus.CounterVec
}

// New returns the metrics of a process of program, which is the subsystem in the name of the event counter.
func New(program string) *Registry {
	r := &Registry{registry: prometheus.NewRegistry(), events: prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "walkrudder", Subsystem: program,
		Name: "events_total", Help: "What happened, by kind and service."}, []string{"what", "service"})}
	r.registry.MustRegister(r.events, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// Add counts one event of the kind what at a service.
func (r *Registry) Add(what, service string) { r.events.WithLabelValues(what, service).Inc() }

// Gauge registers a gauge that calls f for its value.
func (r *Registry) Gauge(name, help string, f func() float64) {
	r.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: "walkrudder", Name: name, Help: help}, f))
}

// Handler returns the handler of the metrics endpoint.
func (r *Registry) Handler() fiber.Handler {
	h := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{}))
	return func(c *fiber.Ctx) error {
		h(c.Context())
		return nil
	}
}
