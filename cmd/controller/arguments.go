package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
)

// exitArguments is the exit code for invalid arguments.
const exitArguments = 2

// parseArgs parses the arguments of a subcommand of `controller` into dest and validates them with check. done means that
// the command should exit with code: help was printed, or the arguments are invalid, which is reported on errw after errPrefix.
func parseArgs(name, errPrefix string, args []string, dest any, check func(*arg.Parser) error, out, errw io.Writer) (code int, done bool) {
	p, err := arg.NewParser(arg.Config{Program: "controller " + name, Out: out}, dest)
	if err == nil {
		err = p.Parse(args)
	}
	if errors.Is(err, arg.ErrHelp) {
		_ = p.WriteHelpForSubcommand(out, p.SubcommandNames()...)
		return 0, true
	}
	if err == nil {
		err = check(p)
	}
	if err != nil {
		_, _ = fmt.Fprintln(errw, errPrefix, err)
		return exitArguments, true
	}
	return 0, false
}
