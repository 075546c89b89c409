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
	// maxBody bounds the body of a request, in bytes.
	maxBody = 2 << 20
	// changeTimeout bounds the wait for a change to come into force.
	changeTimeout = 10 * time.Second
	// heartbeatTimeout bounds the handling of a heartbeat; one that announces leaving waits
	// for the gateways.
	heartbeatTimeout = 4 * time.Second
)

// HTTPServer returns the HTTP server for targets, operators and the platform.
func (ctl *Controller) HTTPServer(metrics fiber.Handler) *fiber.App {
	app := fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: maxBody, ReadTimeout: 15 * time.Second, IdleTimeout: time.Minute,
		ErrorHandler: func(c *fiber.Ctx, err error) error {
			code := 500
			if e, ok := err.(*fiber.Error); ok {
				code = e.Code
			}
			return writeError(c, code, err.Error())
		}})
	app.Use(recover.New())
	app.Get(httpapi.ReadyPath, func(c *fiber.Ctx) error {
		if !ctl.Ready() {
			return c.Status(503).SendString("not ready\n")
		}
		return c.SendString("ready\n")
	})
	if metrics != nil {
		app.Get(httpapi.MetricsPath, metrics)
	}
	app.Post(httpapi.BeatPath, ctl.postHeartbeat)
	app.Post("/v1/changes", ctl.postChange)
	app.Post("/v1/say", ctl.postStatement)
	app.Get("/v1/picture", func(c *fiber.Ctx) error { return ctl.execute(c, "show picture") })
	return app
}

// postStatement executes a statement sent as plain text.
func (ctl *Controller) postStatement(c *fiber.Ctx) error { return ctl.execute(c, string(c.Body())) }

// execute executes a statement and writes its result.
func (ctl *Controller) execute(c *fiber.Ctx, text string) error {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	r, err := ctl.Statements.Execute(ctx, text)
	switch {
	case errors.Is(err, statement.ErrInvalid):
		return writeError(c, 400, strings.TrimPrefix(err.Error(), statement.ErrInvalid.Error()+"\n"))
	case errors.Is(err, quorum.ErrNoQuorum), errors.Is(err, quorum.ErrNoCore):
		c.Set("Retry-After", "1")
		return writeError(c, 503, err.Error())
	case err != nil:
		return writeError(c, 404, err.Error())
	}
	if x, ok := r.Data.(commands.Result); ok {
		c.Status(statusOf[x.Outcome])
		ctl.Log.Info("change request handled", "step", "say", "outcome", x.Outcome, "version", x.Version)
	}
	return c.JSON(r)
}

func writeError(c *fiber.Ctx, code int, reason string) error {
	return c.Status(code).JSON(struct {
		Error string `json:"error"`
	}{reason})
}

func (ctl *Controller) postHeartbeat(c *fiber.Ctx) error {
	b, err := httpapi.ParseBeat(c.Body())
	if err != nil {
		return writeError(c, 400, err.Error())
	}
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	r, err := ctl.Heartbeats.Receive(ctx, b)
	if err != nil {
		c.Set("Retry-After", "1")
		return writeError(c, 503, err.Error())
	}
	return c.JSON(httpapi.BeatResponse{OK: true, Seq: r.Seq, Leaving: b.Leaving, Gone: r.Gone})
}

// statusOf maps the outcome of a change request to an HTTP status.
var statusOf = map[string]int{commands.InForce: 200, commands.Valid: 200, commands.Invalid: 422, commands.Conflict: 409, commands.OutcomeUnknown: 504, commands.NoMajority: 503}

func (ctl *Controller) postChange(c *fiber.Ctx) error {
	var o commands.Order
	d := json.NewDecoder(bytes.NewReader(c.Body()))
	d.DisallowUnknownFields()
	if err := d.Decode(&o); err != nil {
		return writeError(c, 400, "order: "+err.Error())
	}
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	r := ctl.Changer.Apply(ctx, o)
	ctl.Log.Info("change request handled", "step", "change", "outcome", r.Outcome, "version", r.Version, "token", o.Token, "by", o.Operator)
	return c.Status(statusOf[r.Outcome]).JSON(r)
}
