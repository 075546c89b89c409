// Command gateway is the data plane: it takes callers' requests and passes them to
// targets.
package main

import (
	"context"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"walkrudder/internal/clock"
	"walkrudder/internal/gateway"
	"walkrudder/internal/link"
	"walkrudder/internal/metrics"
	"walkrudder/internal/passage"
	"walkrudder/internal/shell"
	"walkrudder/internal/startup"
	"walkrudder/platform"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "platform" {
		os.Exit(platform.GatewayMain(os.Args[2:], os.Stdout, os.Stderr))
	}
	var s startup.Gateway
	os.Exit(shell.Main(&s, "gateway", os.Args[1:], os.Stdout, os.Stderr, func(ctx context.Context, lg *log.Logger) error { return run(ctx, lg, s) }))
}

func run(ctx context.Context, lg *log.Logger, s startup.Gateway) error {
	inner, err := shell.Listen("inner", s.ListenAddr())
	if err != nil {
		return err
	}
	door, err := shell.Listen("door", s.Door)
	if err != nil {
		return err
	}
	line := link.NewTCP(link.Who{ID: s.ID, Kind: "gateway"}, s.Bind, lg)
	courier := passage.NewHTTPTransport(s.Bind)
	count := metrics.New("gateway")
	f := gateway.New(gateway.Config{Startup: s, Incarnation: shell.Incarnation(), Transport: line, Clock: clock.Wall{}, TargetClient: courier, Log: lg, Count: count.Add})
	go line.Serve(inner, f.Mux)
	life, end := context.WithCancel(context.Background())
	fin := make(chan struct{})
	go func() { f.Run(life); close(fin) }()
	go clock.Every(life, clock.Wall{}, time.Second, courier.CloseIdle)
	app := f.HTTPServer(count.Handler())
	served := shell.Serve(app, door)
	lg.Info("started", "inner", s.Inner, "door", s.Door, "version", startup.Version)
	select {
	case err = <-served:
	case <-ctx.Done():
		// Planned stop (design 13.11): not ready at once, still taking calls while
		// the platform notices, then finishing all that is inside.
		from := time.Now()
		f.Stop()
		lg.Info("stopping", "step", "stop", "inside", f.Proxy.InFlight())
		time.Sleep(shell.AcceptAfterStop)
		err = app.ShutdownWithTimeout(shell.StopDeadline - time.Since(from) - 200*time.Millisecond)
		if err == nil {
			lg.Info("stopped", "step", "stop", "took", time.Since(from).String())
		}
	}
	cx, done := context.WithTimeout(context.Background(), 300*time.Millisecond)
	f.Deregister(cx)
	done()
	end()
	line.Close()
	<-fin
	return err
}
