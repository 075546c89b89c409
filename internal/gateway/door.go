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
	// maxBody bounds any caller's body; bindings bound theirs below it.
	maxBody = 16 << 20
	// readTime bounds the reading of one request.
	readTime = 15 * time.Second
	// idleTime is how long a caller's link may lie idle.
	idleTime = 60 * time.Second
)

// middleware is a closure around the handling of a call.
type middleware func(fiber.Handler) fiber.Handler

// Door makes the HTTP server for callers and the platform.
func (f *Gateway) Door(metrics fiber.Handler) *fiber.App {
	app := fiber.New(fiber.Config{DisableStartupMessage: true, BodyLimit: maxBody, ReadTimeout: readTime, IdleTimeout: idleTime,
		ReadBufferSize: 16 << 10, DisableDefaultContentType: true, UnescapePath: false, CaseSensitive: true, StrictRouting: true,
		ErrorHandler: f.defect})
	app.Use(recover.New())
	app.Get(httpapi.ReadyPath, func(c *fiber.Ctx) error {
		if !f.Ready() {
			c.Set("Retry-After", "1")
			return c.Status(503).SendString("not ready\n")
		}
		return c.SendString("ready\n")
	})
	if metrics != nil {
		app.Get(httpapi.MetricsPath, metrics)
	}
	h := f.call
	for _, m := range []middleware{f.parting} {
		h = m(h)
	}
	app.Use(h)
	return app
}

// parting tells callers' kept links to go elsewhere once this node is stopping.
func (f *Gateway) parting(next fiber.Handler) fiber.Handler {
	return func(c *fiber.Ctx) error {
		err := next(c)
		if f.Stopping() {
			c.Context().SetConnectionClose()
		}
		return err
	}
}

// defect answers what fiber itself refuses.
func (f *Gateway) defect(c *fiber.Ctx, err error) error {
	code := 500
	if e, ok := err.(*fiber.Error); ok {
		code = e.Code
	}
	v := httpapi.Verdict{Status: code, Code: httpapi.Malformed}
	if code == 413 {
		v.Code = httpapi.TooLarge
	}
	return f.verdict(c, v, "")
}

// call leads one call through the passage.
func (f *Gateway) call(c *fiber.Ctx) error {
	r := copyRequest(c)
	if r.URI == "" || r.URI[0] != '/' {
		return f.verdict(c, httpapi.Verdict{Status: 400, Code: httpapi.Malformed}, "")
	}
	client := c.Get(httpapi.ClientField)
	t := f.Passage.Handle(context.Background(), client, c.Get(httpapi.KeyField), r)
	if t.Verdict != nil {
		return f.verdict(c, *t.Verdict, t.ID)
	}
	c.Status(t.Response.Status)
	for _, h := range t.Response.Header {
		c.Context().Response.Header.Add(h[0], h[1])
	}
	c.Set(httpapi.CallField, t.ID)
	if r.Method == fiber.MethodHead {
		c.Context().Response.SkipBody = true
		return nil
	}
	return c.Send(t.Response.Body)
}

func (f *Gateway) verdict(c *fiber.Ctx, v httpapi.Verdict, call string) error {
	if v.Retry > 0 {
		c.Set("Retry-After", v.RetryAfter())
	}
	for _, a := range v.Allow {
		c.Append("Allow", a)
	}
	if call != "" {
		c.Set(httpapi.CallField, call)
	}
	c.Set("Content-Type", "application/json")
	f.count(v.Code)
	return c.Status(v.Status).Send(v.Body(call))
}

func (f *Gateway) count(code string) {
	if f.Count != nil {
		f.Count(code, "")
	}
}

// copyRequest takes a request out of the server's buffers, which are used again
// while a sending may still be under way. Fields that end at this connection,
// also those that Connection names, stay behind.
func copyRequest(c *fiber.Ctx) *passage.Request {
	q := c.Request()
	r := &passage.Request{Method: string(q.Header.Method()), URI: string(q.Header.RequestURI()), Host: string(q.Header.Host()),
		Body: append([]byte(nil), q.Body()...)}
	named := map[string]bool{}
	for _, v := range q.Header.PeekAll("Connection") {
		for _, n := range splitList(string(v)) {
			named[textproto.CanonicalMIMEHeaderKey(n)] = true
		}
	}
	for k, v := range q.Header.All() {
		n := string(k)
		switch n {
		case "Host", "Content-Length", httpapi.RequestField, httpapi.TargetField, "Expect":
			continue
		}
		if !httpapi.Hop(n) && !named[n] {
			r.Header = append(r.Header, [2]string{n, string(v)})
		}
	}
	ip := c.IP()
	if ip != "" && net.ParseIP(ip) != nil {
		r.Header = append(r.Header, [2]string{"X-Forwarded-For", ip})
	}
	return r
}

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
