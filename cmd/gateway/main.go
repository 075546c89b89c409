// Command gateway is the data plane: it accepts callers' requests and forwards them to
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

func run(ctx context.Context, logger *log.Logger, s startup.Gateway) error {
	internal, err := shell.Listen("inner", s.ListenAddr())
	if err != nil {
		return err
	}
	public, err := shell.Listen("door", s.Door)
	if err != nil {
		return err
	}
	transport := link.NewTCP(link.Identity{ID: s.ID, Kind: "gateway"}, s.Bind, logger)
	client := passage.NewHTTPTransport(s.Bind)
	counters := metrics.New("gateway")
	node := gateway.New(gateway.Config{Startup: s, Incarnation: shell.Incarnation(), Transport: transport, Clock: clock.Wall{}, TargetClient: client, Log: logger, Count: counters.Add})
	go transport.Serve(internal, node.Mux)
	runCtx, cancel := context.WithCancel(context.Background())
	runDone := make(chan struct{})
	go func() { node.Run(runCtx); close(runDone) }()
	go clock.Every(runCtx, clock.Wall{}, time.Second, client.CloseIdle)
	app := node.HTTPServer(counters.Handler())
	served := shell.Serve(app, public)
	logger.Info("started", "inner", s.Inner, "door", s.Door, "version", startup.Version)
	select {
	case err = <-served:
	case <-ctx.Done():
		// Planned stop (design 13.11): report not ready at once, still accept requests until
		// the platform notices, then finish all requests in progress.
		stopStarted := time.Now()
		node.Stop()
		logger.Info("stopping", "step", "stop", "inside", node.Proxy.InFlight())
		time.Sleep(shell.AcceptAfterStop)
		err = app.ShutdownWithTimeout(shell.StopDeadline - time.Since(stopStarted) - 200*time.Millisecond)
		if err == nil {
			logger.Info("stopped", "step", "stop", "took", time.Since(stopStarted).String())
		}
	}
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), 300*time.Millisecond)
	node.Deregister(leaveCtx)
	cancelLeave()
	cancel()
	transport.Close()
	<-runDone
	return err
}
