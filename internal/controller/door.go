package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/recover"

	"walkrudder/internal/commands"
	"walkrudder/internal/httpapi"
	"walkrudder/internal/quorum"
	"walkrudder/internal/statement"
)

const (
	// maxBody bounds an order.
	maxBody = 2 << 20
	// orderTime bounds the wait for a change to be in force.
	orderTime = 10 * time.Second
	// beatTime bounds the handling of a beat; a leaving one waits for gateways.
	beatTime = 4 * time.Second
)

// Door makes the HTTP server for targets, operators and the platform.
func (m *Controller) Door(metrics fiber.Handler) *fiber.App {
	app := fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: maxBody, ReadTimeout: 15 * time.Second, IdleTimeout: time.Minute,
		ErrorHandler: func(c *fiber.Ctx, err error) error {
			code := 500
			if e, ok := err.(*fiber.Error); ok {
				code = e.Code
			}
			return refuse(c, code, err.Error())
		}})
	app.Use(recover.New())
	app.Get(httpapi.ReadyPath, func(c *fiber.Ctx) error {
		if !m.Ready() {
			return c.Status(503).SendString("not ready\n")
		}
		return c.SendString("ready\n")
	})
	if metrics != nil {
		app.Get(httpapi.MetricsPath, metrics)
	}
	app.Post(httpapi.BeatPath, m.beat)
	app.Post("/v1/changes", m.change)
	app.Post("/v1/say", m.say)
	app.Get("/v1/picture", func(c *fiber.Ctx) error { return m.speak(c, "show picture") })
	return app
}

// say takes one saying as plain text.
func (m *Controller) say(c *fiber.Ctx) error { return m.speak(c, string(c.Body())) }

func (m *Controller) speak(c *fiber.Ctx, text string) error {
	ctx, end := context.WithTimeout(context.Background(), orderTime)
	defer end()
	r, err := m.Speaker.Say(ctx, text)
	switch {
	case errors.Is(err, statement.ErrSaid):
		return refuse(c, 400, strings.TrimPrefix(err.Error(), statement.ErrSaid.Error()+"\n"))
	case errors.Is(err, quorum.ErrNoQuorum), errors.Is(err, quorum.ErrNoCore):
		c.Set("Retry-After", "1")
		return refuse(c, 503, err.Error())
	case err != nil:
		return refuse(c, 404, err.Error())
	}
	if x, ok := r.Data.(commands.Result); ok {
		c.Status(statusOf[x.Outcome])
		m.Log.Info("order", "step", "say", "outcome", x.Outcome, "version", x.Version)
	}
	return c.JSON(r)
}

func refuse(c *fiber.Ctx, code int, why string) error {
	return c.Status(code).JSON(struct {
		Error string `json:"error"`
	}{why})
}

func (m *Controller) beat(c *fiber.Ctx) error {
	b, err := httpapi.ReadBeat(c.Body())
	if err != nil {
		return refuse(c, 400, err.Error())
	}
	ctx, end := context.WithTimeout(context.Background(), beatTime)
	defer end()
	r, err := m.Beater.Take(ctx, b)
	if err != nil {
		c.Set("Retry-After", "1")
		return refuse(c, 503, err.Error())
	}
	return c.JSON(httpapi.BeatAnswer{OK: true, Seq: r.Seq, Leaving: b.Leaving, Gone: r.Gone})
}

// statusOf is the HTTP status of an order's outcome.
var statusOf = map[string]int{commands.InForce: 200, commands.Valid: 200, commands.Invalid: 422, commands.Conflict: 409, commands.Unknown: 504, commands.NoCore: 503}

func (m *Controller) change(c *fiber.Ctx) error {
	var o commands.Order
	d := json.NewDecoder(bytes.NewReader(c.Body()))
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		return refuse(c, 400, "order: "+err.Error())
	}
	ctx, end := context.WithTimeout(context.Background(), orderTime)
	defer end()
	r := m.Changer.Change(ctx, o)
	m.Log.Info("order", "step", "change", "outcome", r.Outcome, "version", r.Version, "token", o.Token, "by", o.By)
	return c.Status(statusOf[r.Outcome]).JSON(r)
}
