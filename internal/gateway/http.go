package gateway

import (
	"context"
	"net"
	"net/textproto"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/recover"

	"walkrudder/internal/httpapi"
	"walkrudder/internal/passage"
)

const (
	// maxBody bounds the body of any request; bindings have lower limits.
	maxBody = 16 << 20
	// readTimeout bounds the reading of one request.
	readTimeout = 15 * time.Second
	// idleTimeout is how long a client connection may be idle.
	idleTimeout = 60 * time.Second
)

// middleware wraps a handler of calls.
type middleware func(fiber.Handler) fiber.Handler

// HTTPServer returns the HTTP server for callers and the platform.
func (g *Gateway) HTTPServer(metrics fiber.Handler) *fiber.App {
	app := fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: maxBody, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		ReadBufferSize: 16 << 10, DisableDefaultContentType: true, UnescapePath: false, CaseSensitive: true, StrictRouting: true,
		ErrorHandler: g.handleError})
	app.Use(recover.New())
	app.Get(httpapi.ReadyPath, func(c *fiber.Ctx) error {
		if !g.Ready() {
			c.Set("Retry-After", "1")
			return c.Status(503).SendString("not ready\n")
		}
		return c.SendString("ready\n")
	})
	if metrics != nil {
		app.Get(httpapi.MetricsPath, metrics)
	}
	h := g.handleCall
	for _, m := range []middleware{g.closeWhenStopping} {
		h = m(h)
	}
	app.Use(h)
	return app
}

// closeWhenStopping closes keep-alive connections once this node is stopping, so that
// clients connect to another one.
func (g *Gateway) closeWhenStopping(next fiber.Handler) fiber.Handler {
	return func(c *fiber.Ctx) error {
		err := next(c)
		if g.Stopping() {
			c.Context().SetConnectionClose()
		}
		return err
	}
}

// handleError answers requests that fiber itself rejects.
func (g *Gateway) handleError(c *fiber.Ctx, err error) error {
	code := 500
	if e, ok := err.(*fiber.Error); ok {
		code = e.Code
	}
	response := httpapi.ErrorResponse{Status: code, Code: httpapi.Malformed}
	if code == 413 {
		response.Code = httpapi.TooLarge
	}
	return g.writeError(c, response, "")
}

// handleCall passes one call to the proxy and writes its answer.
func (g *Gateway) handleCall(c *fiber.Ctx) error {
	r := copyRequest(c)
	if r.URI == "" || r.URI[0] != '/' {
		return g.writeError(c, httpapi.ErrorResponse{Status: 400, Code: httpapi.Malformed}, "")
	}
	client := c.Get(httpapi.ClientHeader)
	call := g.Proxy.Handle(context.Background(), client, c.Get(httpapi.KeyHeader), r)
	if call.ErrorResponse != nil {
		return g.writeError(c, *call.ErrorResponse, call.ID)
	}
	c.Status(call.Response.Status)
	for _, h := range call.Response.Header {
		c.Context().Response.Header.Add(h[0], h[1])
	}
	c.Set(httpapi.CallHeader, call.ID)
	if r.Method == fiber.MethodHead {
		c.Context().Response.SkipBody = true
		return nil
	}
	return c.Send(call.Response.Body)
}

func (g *Gateway) writeError(c *fiber.Ctx, response httpapi.ErrorResponse, call string) error {
	if response.RetryDelay > 0 {
		c.Set("Retry-After", response.RetryAfter())
	}
	for _, a := range response.Allow {
		c.Append("Allow", a)
	}
	if call != "" {
		c.Set(httpapi.CallHeader, call)
	}
	c.Set("Content-Type", "application/json")
	g.countError(response.Code)
	return c.Status(response.Status).Send(response.Body(call))
}

func (g *Gateway) countError(code string) {
	if g.Count != nil {
		g.Count(code, "")
	}
}

// copyRequest copies a request out of the server's buffers, which are reused while a send
// may still be running. It omits hop-by-hop header fields and those that Connection names.
func copyRequest(c *fiber.Ctx) *passage.Request {
	in := c.Request()
	r := &passage.Request{Method: string(in.Header.Method()), URI: string(in.Header.RequestURI()), Host: string(in.Header.Host()),
		Body: append([]byte(nil), in.Body()...)}
	connectionFields := map[string]bool{}
	for _, v := range in.Header.PeekAll("Connection") {
		for _, n := range splitList(string(v)) {
			connectionFields[textproto.CanonicalMIMEHeaderKey(n)] = true
		}
	}
	for k, v := range in.Header.All() {
		n := string(k)
		switch n {
		case "Host", "Content-Length", httpapi.RequestHeader, httpapi.TargetHeader, "Expect":
			continue
		}
		if !httpapi.IsHopByHop(n) && !connectionFields[n] {
			r.Header = append(r.Header, [2]string{n, string(v)})
		}
	}
	ip := c.IP()
	if ip != "" && net.ParseIP(ip) != nil {
		r.Header = append(r.Header, [2]string{"X-Forwarded-For", ip})
	}
	return r
}

// splitList splits a comma-separated header value.
func splitList(s string) []string {
	var out []string
	for len(s) > 0 {
		i := 0
		for i < len(s) && s[i] != ',' {
			i++
		}
		out = append(out, textproto.TrimString(s[:i]))
		s = s[min(len(s), i+1):]
	}
	return out
}
