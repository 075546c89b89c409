// Package shell contains what both programs do around their node: exit codes, signals,
// listeners and the planned stop (design 14).
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

// Exit codes: ExitStartup for errors that the operator can fix before a start, ExitRunning
// for failures at run time.
const (
	ExitOK      = 0
	ExitRunning = 1
	ExitStartup = 2
)

// Timing of a planned stop. The platform kills the process about 6 s after its warning.
const (
	// AcceptAfterStop is how long calls are still accepted after the warning.
	AcceptAfterStop = 1500 * time.Millisecond
	// StopDeadline is the time after the warning by which the process has ended.
	StopDeadline = 5700 * time.Millisecond
)

// Main reads the settings into dest, runs the program and returns its exit code. Panics are
// logged and not propagated.
func Main(dest any, name string, args []string, out, errw io.Writer, run func(context.Context, *log.Logger) error) (code int) {
	defer func() {
		if p := recover(); p != nil {
			logger := log.NewWithOptions(errw, log.Options{Formatter: log.JSONFormatter})
			logger.Error("panic", "program", name, "panic", fmt.Sprint(p), "stack", string(debug.Stack()))
			code = ExitRunning
		}
	}()
	if err := startup.Read(dest, name, args, out); err != nil {
		if errors.Is(err, startup.ErrHelpShown) {
			return ExitOK
		}
		_, _ = fmt.Fprintf(errw, "%s: %v\n", name, err)
		return ExitStartup
	}
	logger := startup.Logger(errw, *startup.NodeOf(dest), name)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	if err := run(ctx, logger); err != nil {
		var s *StartError
		if errors.As(err, &s) {
			_, _ = fmt.Fprintf(errw, "%s: %v\n", name, err)
			return ExitStartup
		}
		logger.Error("ended", "err", err)
		return ExitRunning
	}
	return ExitOK
}

// StartError is an error that the operator can fix before a start.
type StartError struct {
	Field string
	Err   error
}

// Error names the field and the cause.
func (e *StartError) Error() string { return e.Field + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *StartError) Unwrap() error { return e.Err }

// Listen listens on addr. Its error names the settings field to fix.
func Listen(field, addr string) (net.Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, &StartError{field, err}
	}
	return ln, nil
}

// Serve runs app on ln and returns a channel that receives the error with which it ends.
func Serve(app *fiber.App, ln net.Listener) <-chan error {
	ch := make(chan error, 1)
	go func() { ch <- app.Listener(ln) }()
	return ch
}

// Incarnation returns the number of this run. Later runs of a node have larger numbers, provided
// that the machine's clock is not set back between them.
func Incarnation() uint64 { return uint64(time.Now().UnixMilli()) }

// UniqueName returns a name that no other run has.
func UniqueName() string { return fmt.Sprintf("%x-%x", time.Now().UnixNano(), os.Getpid()) }
