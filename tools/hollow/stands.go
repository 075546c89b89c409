package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// StandsArgs describe stand-in targets, each at a port of its own.
type StandsArgs struct {
	For   time.Duration `arg:"--for" default:"1m"`
	Count int           `arg:"--count" default:"1"`
	Work  time.Duration `arg:"--work" help:"how long each request takes"`
	Body  int           `arg:"--body" default:"600"`
}

func (a *StandsArgs) start(ctx context.Context) (*handler, error) {
	var lns []net.Listener
	shut := func() {
		for _, l := range lns {
			_ = l.Close()
		}
	}
	var ports []string
	body := strings.Repeat("x", a.Body)
	life, end := context.WithCancel(ctx)
	var wg sync.WaitGroup
	for i := range a.Count {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			end()
			shut()
			return nil, err
		}
		lns = append(lns, ln)
		_, port, _ := net.SplitHostPort(ln.Addr().String())
		ports = append(ports, port)
		wg.Go(func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				go a.serve(life, c, runName(i), body)
			}
		})
	}
	return &handler{hello: Told{Inner: strings.Join(ports, ",")}, stop: func() { end(); shut(); wg.Wait() },
		do: func(_ context.Context, o Order) (t Told) {
			if o.Op != "mark" {
				t.Err = "no such order"
			}
			return t
		}}, nil
}

var errHead = errors.New("head too long")

// head reads a request's head: its path and the caller's own name for it.
func head(r *bufio.Reader) (path, id string, err error) {
	for n := 0; ; n++ {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return "", "", err
		}
		switch line = bytes.TrimRight(line, "\r\n"); {
		case n > 100:
			return "", "", errHead
		case len(line) == 0:
			return path, id, nil
		case n == 0:
			if f := bytes.Fields(line); len(f) == 3 {
				path = string(f[1])
			}
		default:
			if k, v, ok := bytes.Cut(line, []byte(":")); ok && strings.EqualFold(string(k), dialect.RequestID) {
				id = string(bytes.TrimSpace(v))
			}
		}
	}
}

// serve answers requests without a body on one connection, one at a time.
func (a *StandsArgs) serve(ctx context.Context, c net.Conn, name, body string) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer c.Close()
	r := bufio.NewReaderSize(c, 2<<10)
	var b []byte
	for {
		path, id, err := head(r)
		if err != nil {
			return
		}
		if path == "/health" {
			b = fmt.Appendf(b[:0], "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", dialect.Instance, name)
		} else {
			if a.Work > 0 {
				time.Sleep(a.Work)
			}
			b = fmt.Appendf(b[:0], "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Length: %d\r\n\r\n%s", dialect.RequestID, id, dialect.Seal, len(body), body)
		}
		if _, err := c.Write(b); err != nil {
			return
		}
	}
}
