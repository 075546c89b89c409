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

// snapshotArgs are the arguments of `controller snapshot`.
type snapshotArgs struct {
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

// Description returns the text at the head of the help.
func (snapshotArgs) Description() string {
	return "controller snapshot keeps the whole configuration of the platform's controllers in one file: routes, services and limits in their newest versions, dropped ones too. It works on folders of controllers that do not run.\nExit code 0 when it was done, 1 when it was not, 2 for bad arguments."
}

// runSnapshot runs `controller snapshot` and returns its exit code.
func runSnapshot(args []string, out, errw io.Writer) int {
	var a snapshotArgs
	check := func(p *arg.Parser) error {
		if p.Subcommand() == nil {
			return errors.New("take, check or restore must be given")
		}
		return nil
	}
	if code, done := parseArgs("snapshot", "error:", args, &a, check, out, errw); done {
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
		fmt.Fprintln(errw, "error:", err)
		return 1
	}
	return 0
}

func (a *takeSnapshot) run(out io.Writer) error {
	var disks []quorum.StoredState
	for _, dir := range a.Data {
		d, err := readDataDir(dir)
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
		return partialError(s)
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
		return partialError(s)
	}
	d, err := storage.OpenBuntDisk(a.Data, dataFile)
	if err != nil {
		return err
	}
	if err := errors.Join(quorum.StoreItems(d, s.Items), d.Close()); err != nil {
		return err
	}
	summarize(out, s)
	return nil
}

// readDataDir reads the storage file of a stopped controller. It opens a copy, since opening a file truncates a torn tail.
func readDataDir(dir string) (s quorum.StoredState, err error) {
	raw, err := os.ReadFile(filepath.Join(dir, dataFile))
	if err != nil {
		return s, steperr.Wrap("read data", dir, err)
	}
	tmpDir, err := os.MkdirTemp("", "snapshot-")
	if err != nil {
		return s, steperr.Wrap("read data", dir, err)
	}
	defer os.RemoveAll(tmpDir)
	if err := os.WriteFile(filepath.Join(tmpDir, dataFile), raw, 0o600); err != nil {
		return s, steperr.Wrap("read data", dir, err)
	}
	disk, err := storage.OpenBuntDisk(tmpDir, dataFile)
	if err != nil {
		return s, steperr.Wrap("read data", dir, err)
	}
	values, err := disk.Load()
	if err := errors.Join(err, disk.Close()); err != nil {
		return s, steperr.Wrap("read data", dir, err)
	}
	return quorum.ReadStoredState(values)
}

// partialError reports that a snapshot may lack acknowledged items.
func partialError(s snapshot.Snapshot) error {
	return fmt.Errorf("%w: %d of epoch %d were read (%s), %d are needed; --partial takes what there is", snapshot.ErrPartial, len(s.Nodes), s.Epoch, strings.Join(s.Nodes, ", "), s.Need)
}

// summarize prints what a snapshot contains.
func summarize(out io.Writer, s snapshot.Snapshot) {
	fmt.Fprintf(out, "taken %s, epoch %d, disks of %s\n", s.Taken.Format(time.RFC3339), s.Epoch, strings.Join(s.Nodes, ", "))
	if s.Partial() {
		fmt.Fprintf(out, "partial: %d disks were needed to hold everything acknowledged\n", s.Need)
	}
	for _, section := range []struct {
		kind item.Kind
		name string
	}{{item.Route, "routes"}, {item.Service, "services"}, {item.Limits, "limits"}} {
		matching := lo.Filter(s.Items, func(i item.Item, _ int) bool { return i.Kind == section.kind })
		gone := lo.CountBy(matching, func(i item.Item) bool { return i.Gone })
		newest := lo.MaxBy(matching, func(a, b item.Item) bool { return a.Version > b.Version })
		fmt.Fprintf(out, "%s: %d, and %d dropped; newest version %d\n", section.name, len(matching)-gone, gone, newest.Version)
	}
}
