package rowstore

import "context"

// ScanAll reads a whole range, page by page. The version is the first page's,
// so that a Watch after it misses nothing.
func ScanAll(ctx context.Context, s Store, r Range) ([]Row, uint64, error) {
	var rows []Row
	var version uint64
	for first := true; ; first = false {
		page, err := s.Scan(ctx, r)
		if err != nil {
			return nil, 0, err
		}
		if first {
			version = page.Version
		}
		rows = append(rows, page.Rows...)
		if !page.HasMore || len(page.Rows) == 0 {
			return rows, version, nil
		}
		// The next key in byte order.
		r.From = page.Rows[len(page.Rows)-1].Key.Key + "\x00"
	}
}

// Get reads one row; its Version is 0 when there is none.
func Get(ctx context.Context, s Store, key Key) (Row, error) {
	page, err := s.Scan(ctx, Range{Table: key.Table, Partition: key.Partition, From: key.Key, To: key.Key + "\x00"})
	if err != nil {
		return Row{}, err
	}
	for _, row := range page.Rows {
		if row.Key == key {
			return row, nil
		}
	}
	return Row{Key: key}, nil
}
