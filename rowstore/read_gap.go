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
}

// record records the result of a read.
func (g *readGap) record(ctx context.Context, err error) {
	now := time.Now()
	gap := now.Sub(g.readAt).Milliseconds()
	switch {
	case err == nil:
		if g.isOpen {
			g.log.Info("table is read again", "table", g.table, "gap_ms", gap)
		}
		g.isOpen, g.readAt = false, now
	case !g.isOpen && !isHistoryGone(err) && ctx.Err() == nil:
		g.isOpen = true
		g.log.Warn("table not read", "table", g.table, "gap_ms", gap, "cause", err.Error())
	}
}
