package rowstore

import (
	"context"
	"log/slog"
	"time"
)

// readGap logs the times during which a table could not be read: a line at the first
// failure, and one when the table is read again.
type readGap struct {
	log    *slog.Logger
	table  string
	readAt time.Time // of the last read that succeeded
	isOpen bool
	// discarded is the number of bytes of failed reads since then.
	discarded int
}

// record records the result of a read.
func (g *readGap) record(ctx context.Context, err error, read ReadStats) {
	now := time.Now()
	gap := now.Sub(g.readAt).Milliseconds()
	if err != nil {
		g.discarded += read.Bytes
	}
	switch {
	case err == nil:
		if g.isOpen {
			g.log.Info("table is read again", "table", g.table, "gap_ms", gap, "discarded_bytes", g.discarded)
		}
		g.isOpen, g.readAt, g.discarded = false, now, 0
	case !g.isOpen && !isHistoryGone(err) && ctx.Err() == nil:
		g.isOpen = true
		g.log.Warn("table not read", "table", g.table, "gap_ms", gap,
			"wait_ms", read.Wait.Milliseconds(), "transfer_ms", read.Transfer.Milliseconds(), "discarded_bytes", read.Bytes, "cause", err.Error())
	}
}
