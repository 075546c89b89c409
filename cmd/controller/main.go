// Command controller is the control plane: it stores the shared state, monitors targets
// and applies configuration changes.
package main

import (
	"context"
	"errors"
	"os"
	"time"

	"github.com/charmbracelet/log"

	"walkrudder/internal/clock"
	"walkrudder/internal/controller"
	"walkrudder/internal/link"
	"walkrudder/internal/metrics"
	"walkrudder/internal/quorum"
	"walkrudder/internal/shell"
	"walkrudder/internal/startup"
	"walkrudder/internal/storage"
	"walkrudder/platform"
)

func main() {
	if len(os.Args) > 1 && os.Args[1] == "say" {
		os.Exit(say(os.Args[2:], os.Stdin, os.Stdout, os.Stderr))
	}
	if len(os.Args) > 1 && os.Args[1] == "rollout" {
		os.Exit(rollout(os.Args[2:], os.Stdout, os.Stderr))
	}
	if len(os.Args) > 1 && os.Args[1] == "show" {
		os.Exit(show(os.Args[2:], os.Stdout, os.Stderr))
	}
	if len(os.Args) > 1 && os.Args[1] == "snapshot" {
		os.Exit(runSnapshot(os.Args[2:], os.Stdout, os.Stderr))
	}
	if len(os.Args) > 1 && os.Args[1] == "platform" {
		os.Exit(platform.ControllerMain(os.Args[2:], os.Stdout, os.Stderr))
	}
	var s startup.Controller
	os.Exit(shell.Main(&s, "controller", os.Args[1:], os.Stdout, os.Stderr, func(ctx context.Context, lg *log.Logger) error { return run(ctx, lg, s) }))
}

// dataFile is the name of the storage file in the data folder.
const dataFile = "items.db"

// openDisk opens the storage file; nil means that the settings name no data folder.
func openDisk(s startup.Controller, logger *log.Logger) (storage.Disk, error) {
	if s.Data == "" {
		return nil, nil
	}
	disk, err := storage.OpenOrReset(s.Data, dataFile, func(aside string) {
		logger.Error("file damaged, set aside; this disk starts empty", "step", "open data", "aside", aside)
	})
	if err != nil {
		return nil, &shell.StartError{Field: "data", Err: err}
	}
	return disk, nil
}

func run(ctx context.Context, logger *log.Logger, s startup.Controller) error {
	internal, err := shell.Listen("inner", s.ListenAddr())
	if err != nil {
		return err
	}
	public, err := shell.Listen("door", s.Door)
	if err != nil {
		return err
	}
	disk, err := openDisk(s, logger)
	if err != nil {
		return err
	}
	transport := link.NewTCP(link.Identity{ID: s.ID, Kind: "controller"}, s.Bind, logger)
	counters := metrics.New("controller")
	diskFailed := make(chan error, 1)
	node, err := controller.New(controller.Config{Startup: s, Incarnation: shell.Incarnation(), NewDiskID: shell.UniqueName(), Transport: transport, Clock: clock.Wall{}, Disk: disk, Log: logger,
		OnDiskFailure: func(err error) { diskFailed <- err },
		WallMS:        func() int64 { return time.Now().UnixMilli() }})
	if errors.Is(err, quorum.ErrWrongOwner) {
		return &shell.StartError{Field: "data", Err: err}
	}
	if err != nil {
		return err
	}
	go transport.Serve(internal, node.Mux)
	runCtx, cancel := context.WithCancel(context.Background())
	runDone := make(chan struct{})
	go func() { node.Run(runCtx); close(runDone) }()
	app := node.HTTPServer(counters.Handler())
	served := shell.Serve(app, public)
	logger.Info("started", "inner", s.Inner, "door", s.Door, "version", startup.Version, "votes", disk != nil)
	select {
	case err = <-served:
	case err = <-diskFailed:
	case <-ctx.Done():
		stopStarted := time.Now()
		node.Stop()
		logger.Info("stopping", "step", "stop")
		time.Sleep(shell.AcceptAfterStop / 2)
		err = app.ShutdownWithTimeout(shell.StopDeadline - time.Since(stopStarted) - 200*time.Millisecond)
	}
	leaveCtx, cancelLeave := context.WithTimeout(context.Background(), 150*time.Millisecond)
	node.Membership.Release(leaveCtx)
	cancelLeave()
	cancel()
	transport.Close()
	<-runDone
	if disk != nil {
		err = errors.Join(err, disk.Close())
	}
	return err
}
