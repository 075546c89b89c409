// Package shell is what both programs do around their node: exit codes, signals,
// listeners, the planned stop (design 14).
package shell

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/gofiber/fiber/v2"

	"walkrudder/internal/startup"
)

// Exit codes: 2 for what the operator can mend before a start, 1 for a failure
// while running.
const (
	ExitOK      = 0
	ExitRunning = 1
	ExitStartup = 2
)

// Stop times of a planned stop; the platform kills about 6 s after its warning.
const (
	// Linger is how long calls are still taken in after the warning.
	Linger = 1500 * time.Millisecond
	// Whole is when the process has ended at the latest.
	Whole = 5700 * time.Millisecond
)

// Main reads startup settings into dest, runs the program and returns its exit
// code. No panic reaches a user.
func Main(dest any, name string, args []string, out, errw io.Writer, run func(context.Context, *log.Logger) error) (code int) {
	defer func() {
		if p := recover(); p != nil {
			lg := log.NewWithOptions(errw, log.Options{Formatter: log.JSONFormatter})
			lg.Error("internal defect", "program", name, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			code = ExitRunning
		}
	}()
	if err := startup.Read(dest, name, args, out); err != nil {
		if errors.Is(err, startup.ErrShown) {
			return ExitOK
		}
		_, _ = fmt.Fprintf(errw, "%s: %v\n", name, err)
		return ExitStartup
	}
	lg := startup.Logger(errw, *startup.NodeOf(dest), name)
	ctx, end := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer end()
	if err := run(ctx, lg); err != nil {
		var s *StartError
		if errors.As(err, &s) {
			_, _ = fmt.Fprintf(errw, "%s: %v\n", name, err)
			return ExitStartup
		}
		lg.Error("ended", "err", err)
		return ExitRunning
	}
	return ExitOK
}

// StartError is a defect that the operator can mend before a start.
type StartError struct {
	Field string
	Err   error
}

// Error names the field.
func (e *StartError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap yields the cause.
func (e *StartError) Unwrap() error { return e.Err }

// Listen binds addr, or tells which field to mend.
func Listen(field, addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &StartError{field, err}
	}
	return ln, nil
}

// Serve runs app on ln and tells its end.
func Serve(app *fiber.App, ln net.Listener) <-chan error {
	ch := make(chan error, 1)
	go func() { ch <- app.Listener(ln) }()
	return ch
}

// Incarnation is this run's number: later runs of a node have larger ones, as long
// as the machine's date does not go back between them.
func Incarnation() uint64 { return uint64(time.Now().UnixMilli()) }

// Fresh is a name that no other run has.
func Fresh() string { return fmt.Sprintf("%x-%x", time.Now().UnixNano(), os.Getpid()) }
