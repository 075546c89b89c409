// Command controller is the control plane: it keeps the shared state, watches targets
// and brings changes into force.
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

// file is the name of the file in the data folder.
const file = "items.db"

func open(s startup.Controller, lg *log.Logger) (storage.Disk, error) {
	if s.Data == "" {
		return nil, nil
	}
	d, err := storage.OpenAnew(s.Data, file, func(aside string) {
		lg.Error("file damaged, set aside; this disk starts empty", "step", "open data", "aside", aside)
	})
	if err != nil {
		return nil, &shell.StartError{Field: "data", Err: err}
	}
	return d, nil
}

func run(ctx context.Context, lg *log.Logger, s startup.Controller) error {
	inner, err := shell.Listen("inner", s.ListenAddr())
	if err != nil {
		return err
	}
	door, err := shell.Listen("door", s.Door)
	if err != nil {
		return err
	}
	disk, err := open(s, lg)
	if err != nil {
		return err
	}
	line := link.NewTCP(link.Who{ID: s.ID, Kind: "controller"}, s.Bind, lg)
	count := metrics.New("controller")
	bad := make(chan error, 1)
	m, err := controller.New(controller.Config{Startup: s, Incarnation: shell.Incarnation(), NewDiskID: shell.UniqueName(), Transport: line, Clock: clock.Wall{}, Disk: disk, Log: lg,
		OnDiskFailure: func(err error) { bad <- err },
		WallMS:        func() int64 { return time.Now().UnixMilli() }})
	if errors.Is(err, quorum.ErrWrongOwner) {
		return &shell.StartError{Field: "data", Err: err}
	}
	if err != nil {
		return err
	}
	go line.Serve(inner, m.Mux)
	life, end := context.WithCancel(context.Background())
	fin := make(chan struct{})
	go func() { m.Run(life); close(fin) }()
	app := m.HTTPServer(count.Handler())
	served := shell.Serve(app, door)
	lg.Info("started", "inner", s.Inner, "door", s.Door, "version", startup.Version, "votes", disk != nil)
	select {
	case err = <-served:
	case err = <-bad:
	case <-ctx.Done():
		from := time.Now()
		m.Stop()
		lg.Info("stopping", "step", "stop")
		time.Sleep(shell.AcceptAfterStop / 2)
		err = app.ShutdownWithTimeout(shell.StopDeadline - time.Since(from) - 200*time.Millisecond)
	}
	cx, done := context.WithTimeout(context.Background(), 150*time.Millisecond)
	m.Membership.Release(cx)
	done()
	end()
	line.Close()
	<-fin
	if disk != nil {
		err = errors.Join(err, disk.Close())
	}
	return err
}
