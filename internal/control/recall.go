package control

import (
	"context"
	"time"

	"walkrudder/internal/target"
)

// A controller notes the runs that it knows, so that after a loss of all processes gateways have
// targets at once and not only with the next beats. The notes are not synced and may be
// old or torn. A run from them is recalled: as good as ready until this life's beats had
// the time to come in, then suspected where none came; a controller that was up before takes
// none of them in, and has this one doubt them at once.
//
// Why no old note breaks the rules, whichever processes, machines or disks are lost:
//   - A leaving that is missing in the notes is on the synced disks of a majority (departure.go):
//     a fresh node has heard of it, whichever processes died.
//   - An address that has another run by now is never served by mistake, for each send
//     names the run that is meant, and another one turns it away. The other's first beat
//     has the older run suspected.
//   - States only rise: a run noted as draining or ended comes back as that, and what
//     others know of a run prevails over a note that says less.
//   - A wiped disk has no notes, and takes the others' as told by them.
const (
	// noteEvery bounds how often notes are written.
	noteEvery = time.Second
	// noteAgain is the pause after notes could not be written.
	noteAgain = 10 * time.Second
	// slackNotes is how many overtaken notes are kept besides as many as there are runs.
	slackNotes = 256
	// confirmBeats and confirmSlack are how long recalled runs have to beat.
	confirmBeats = 2.5
	confirmSlack = time.Second
)

// confirmTime is how long after the start a recalled run must have beaten.
func (n *Node) confirmTime() time.Duration {
	return time.Duration(confirmBeats*float64(n.BeatEvery)) + confirmSlack
}

// recall puts what an earlier life noted on the board.
func (n *Node) recall() {
	records, err := n.Notes.Load()
	if err != nil {
		n.Log.Warn("notes of targets can't be read", "step", "recall", "err", err)
	}
	runs, bad := make([]target.Run, 0, len(records)), 0
	for _, b := range records {
		r, err := target.ReadRecord(b)
		if err != nil {
			bad++
			continue
		}
		runs = append(runs, r)
	}
	n.Board.MergeRuns(runs)
	if len(records) > 0 {
		n.Log.Info("targets recalled", "step", "recall", "records", len(records), "bad", bad)
	}
}

// settle ends the time in which recalled runs count, once this node misses nothing that
// another has heard.
func (n *Node) settle(now time.Time) {
	if n.Board.Settled() || now.Sub(n.started) < n.confirmTime()+n.pause.TotalAt(now) {
		return
	}
	if _, fresh := n.Mesh.Fresh(); fresh {
		n.Board.Settle()
	}
}

// notes is what stands in the journal.
type notes struct {
	seq     uint64            // of the last change of the table that was looked at
	sums    map[string]uint64 // of what was written, by run
	written int               // records since the last whole writing
	whole   int               // records in it
	sound   bool              // the journal can be added to
}

// note writes what changed in the table of runs until ctx ends.
func (n *Node) note(ctx context.Context) {
	var s notes
	for ctx.Err() == nil {
		changed := n.Board.Changed()
		pause := noteEvery
		if err := n.write(&s); err != nil {
			n.Log.Warn("notes of targets can't be written", "step", "note", "err", err)
			s.sound, pause = false, noteAgain
		}
		if n.Clock.Sleep(ctx, pause) != nil {
			return
		}
		if !s.sound {
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// write brings the journal up to date: by what changed, or where that has grown to more
// than the runs themselves, as a whole.
func (n *Node) write(s *notes) error {
	whole := !s.sound || s.written > s.whole+slackNotes
	var runs []target.Run
	n.Board.Table(func(t *target.Table, now time.Time) bool {
		if whole {
			s.seq = 0
		}
		runs, s.seq, _ = t.Since(s.seq, 0, 0, now)
		return false
	})
	if whole {
		s.sums = make(map[string]uint64, len(runs))
	}
	var records [][]byte
	for _, r := range runs {
		if sum := r.Sum(); s.sums[r.ID] != sum {
			s.sums[r.ID] = sum
			records = append(records, r.Record())
		}
	}
	switch {
	case whole:
		if err := n.Notes.Replace(records); err != nil {
			return err
		}
		s.sound, s.whole, s.written = true, len(records), 0
		return nil
	case len(records) == 0:
		return nil
	}
	s.written += len(records)
	return n.Notes.Append(records)
}
