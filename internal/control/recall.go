package control

import (
	"context"
	"time"

	"walkrudder/internal/target"
)

// A controller writes the runs that it knows to a journal. After a loss of all processes, gateways
// then have targets immediately and not only after the next heartbeats. The journal is not synced,
// and may be outdated or torn. A run loaded from it is marked as recalled. It counts as ready for
// the recall window, in which heartbeats have time to arrive, and is then suspected if none arrived.
// A controller that knows every live run, as one that did not restart, accepts no recalled run, and
// its answers make this one suspect them at once.
//
// Why outdated records break no rule, whichever processes, machines or disks are lost:
//   - A departure that is missing in the journal is on the synced disks of a majority (departure.go):
//     a fresh node has received it, whichever processes were lost.
//   - An address that belongs to another run by now never serves a request by mistake: each request
//     names the intended run, and any other run rejects it. The first heartbeat of the other run
//     makes the older one suspected.
//   - States only rise: a run recorded as draining or ended is loaded as such, and what other
//     nodes know of a run prevails over a record that says less.
//   - A wiped disk has no journal, and receives the runs from other nodes.
const (
	// journalInterval bounds how often the journal is written.
	journalInterval = time.Second
	// journalRetryDelay is the pause after the journal could not be written.
	journalRetryDelay = 10 * time.Second
	// maxExtraRecords is how many superseded records are kept in addition to as many as there are runs.
	maxExtraRecords = 256
	// Recalled runs must send a heartbeat within confirmHeartbeats intervals plus confirmSlack.
	confirmHeartbeats = 2.5
	confirmSlack      = time.Second
)

// recallWindow is the time after the start within which a recalled run must send a heartbeat.
func (n *Node) recallWindow() time.Duration {
	return time.Duration(confirmHeartbeats*float64(n.HeartbeatInterval)) + confirmSlack
}

// loadJournal adds the runs recorded by earlier processes to the replica.
func (n *Node) loadJournal() {
	records, err := n.RunJournal.Load()
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
	n.Replica.MergeRuns(runs)
	if len(records) > 0 {
		n.Log.Info("targets recalled", "step", "recall", "records", len(records), "bad", bad)
	}
}

// endRecallWindow stops counting unconfirmed recalled runs as ready, once the recall window has
// passed, not counting pauses of this process, and the mesh is fresh, so that heartbeats received by
// other nodes are known here.
func (n *Node) endRecallWindow(now time.Time) {
	if n.Replica.RunsComplete() || now.Sub(n.started) < n.recallWindow()+n.pauses.TotalAt(now) {
		return
	}
	if _, fresh := n.Mesh.Fresh(); fresh {
		n.Replica.MarkRunsComplete()
	}
}

// journalState is what the journal contains, as far as updateJournal needs it.
type journalState struct {
	seq         uint64            // of the last change of the table that is in the journal
	sums        map[string]uint64 // checksums of the written records, by run
	appended    int               // records since the journal was last replaced
	snapshotLen int               // records written when it was last replaced
	appendable  bool              // the journal can be appended to
}

// maintainJournal writes changes of the table of runs until ctx ends.
func (n *Node) maintainJournal(ctx context.Context) {
	var s journalState
	for ctx.Err() == nil {
		changed := n.Replica.Changed()
		pause := journalInterval
		if err := n.updateJournal(&s); err != nil {
			n.Log.Warn("notes of targets can't be written", "step", "note", "err", err)
			s.appendable, pause = false, journalRetryDelay
		}
		if n.Clock.Sleep(ctx, pause) != nil {
			return
		}
		if !s.appendable {
			continue
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// updateJournal appends what changed to the journal. It replaces the journal if it is not appendable,
// or if the records appended since the last replacement outnumber those written then by more than
// maxExtraRecords.
func (n *Node) updateJournal(s *journalState) error {
	rewrite := !s.appendable || s.appended > s.snapshotLen+maxExtraRecords
	var runs []target.Run
	n.Replica.WithRuns(func(t *target.Table, now time.Time) bool {
		if rewrite {
			s.seq = 0
		}
		runs, s.seq, _ = t.Since(s.seq, 0, 0, now)
		return false
	})
	if rewrite {
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
	case rewrite:
		if err := n.RunJournal.Replace(records); err != nil {
			return err
		}
		s.appendable, s.snapshotLen, s.appended = true, len(records), 0
		return nil
	case len(records) == 0:
		return nil
	}
	s.appended += len(records)
	return n.RunJournal.Append(records)
}
