package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/samber/lo"

	"walkrudder/internal/item"
	"walkrudder/internal/quorum"
	"walkrudder/internal/snapshot"
	"walkrudder/internal/steperr"
	"walkrudder/internal/storage"
)

// snapshots is what `controller snapshot` takes.
type snapshots struct {
	Take    *takeSnapshot    `arg:"subcommand:take" help:"make a snapshot of what the disks of stopped controllers hold"`
	Check   *checkSnapshot   `arg:"subcommand:check" help:"check a snapshot and tell what it holds"`
	Restore *restoreSnapshot `arg:"subcommand:restore" help:"write a snapshot into an empty data folder"`
}

type takeSnapshot struct {
	File    string   `arg:"positional,required" placeholder:"FILE" help:"file to be made; one that is there stays"`
	Data    []string `arg:"--data,required,separate" placeholder:"DIR" help:"data folder of a stopped controller; once for each"`
	Partial bool     `arg:"--partial" help:"make it also where something acknowledged may be missing"`
}

type checkSnapshot struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"file to be checked"`
}

type restoreSnapshot struct {
	File    string `arg:"positional,required" placeholder:"FILE" help:"file to be restored"`
	Data    string `arg:"--data,required" placeholder:"DIR" help:"empty data folder of a controller that has not started yet"`
	Partial bool   `arg:"--partial" help:"restore also where something acknowledged may be missing"`
}

// Description heads the help.
func (snapshots) Description() string {
	return "controller snapshot keeps the whole configuration of the platform's controllers in one file: routes, services and limits in their newest versions, dropped ones too. It works on folders of controllers that do not run.\nExit code 0 when it was done, 1 when it was not, 2 for bad arguments."
}

// runSnapshot runs `controller snapshot`.
func runSnapshot(args []string, out, errs io.Writer) int {
	var a snapshots
	given := func(p *arg.Parser) error {
		if p.Subcommand() == nil {
			return errors.New("take, check or restore must be given")
		}
		return nil
	}
	if code, done := parse("snapshot", "error:", args, &a, given, out, errs); done {
		return code
	}
	var err error
	switch {
	case a.Take != nil:
		err = a.Take.run(out)
	case a.Check != nil:
		err = a.Check.run(out)
	default:
		err = a.Restore.run(out)
	}
	if err != nil {
		fmt.Fprintln(errs, "error:", err)
		return 1
	}
	return 0
}

func (a *takeSnapshot) run(out io.Writer) error {
	var disks []quorum.StoredState
	for _, dir := range a.Data {
		d, err := readFolder(dir)
		if err != nil {
			return err
		}
		disks = append(disks, d)
	}
	s, err := snapshot.Merge(disks, time.Now())
	if err != nil {
		return err
	}
	if s.Partial() && !a.Partial {
		return partial(s)
	}
	if err := snapshot.Write(a.File, s); err != nil {
		return err
	}
	summarize(out, s)
	return nil
}

func (a *checkSnapshot) run(out io.Writer) error {
	s, err := snapshot.Read(a.File)
	if err != nil {
		return err
	}
	summarize(out, s)
	return nil
}

func (a *restoreSnapshot) run(out io.Writer) error {
	s, err := snapshot.Read(a.File)
	if err != nil {
		return err
	}
	if s.Partial() && !a.Partial {
		return partial(s)
	}
	d, err := storage.OpenBunt(a.Data, file)
	if err != nil {
		return err
	}
	if err := errors.Join(quorum.StoreItems(d, s.Items), d.Close()); err != nil {
		return err
	}
	summarize(out, s)
	return nil
}

// readFolder reads the disk of a stopped controller, from a copy: opening a file mends it.
func readFolder(dir string) (s quorum.StoredState, err error) {
	raw, err := os.ReadFile(filepath.Join(dir, file))
	if err != nil {
		return s, steperr.Wrap("read data", dir, err)
	}
	scratch, err := os.MkdirTemp("", "snapshot-")
	if err != nil {
		return s, steperr.Wrap("read data", dir, err)
	}
	defer os.RemoveAll(scratch)
	if err := os.WriteFile(filepath.Join(scratch, file), raw, 0o600); err != nil {
		return s, steperr.Wrap("read data", dir, err)
	}
	d, err := storage.OpenBunt(scratch, file)
	if err != nil {
		return s, steperr.Wrap("read data", dir, err)
	}
	values, err := d.Load()
	if err := errors.Join(err, d.Close()); err != nil {
		return s, steperr.Wrap("read data", dir, err)
	}
	return quorum.ReadStoredState(values)
}

// partial tells that a snapshot may lack something.
func partial(s snapshot.Snapshot) error {
	return fmt.Errorf("%w: %d of epoch %d were read (%s), %d are needed; --partial takes what there is", snapshot.ErrPartial, len(s.Nodes), s.Epoch, strings.Join(s.Nodes, ", "), s.Need)
}

// summarize tells what a snapshot holds.
func summarize(out io.Writer, s snapshot.Snapshot) {
	fmt.Fprintf(out, "taken %s, epoch %d, disks of %s\n", s.Taken.Format(time.RFC3339), s.Epoch, strings.Join(s.Nodes, ", "))
	if s.Partial() {
		fmt.Fprintf(out, "partial: %d disks were needed to hold everything acknowledged\n", s.Need)
	}
	for _, kind := range []struct {
		of   item.Kind
		name string
	}{{item.Route, "routes"}, {item.Service, "services"}, {item.Limits, "limits"}} {
		of := lo.Filter(s.Items, func(i item.Item, _ int) bool { return i.Kind == kind.of })
		gone := lo.CountBy(of, func(i item.Item) bool { return i.Gone })
		newest := lo.MaxBy(of, func(a, b item.Item) bool { return a.Version > b.Version })
		fmt.Fprintf(out, "%s: %d, and %d dropped; newest version %d\n", kind.name, len(of)-gone, gone, newest.Version)
	}
}
