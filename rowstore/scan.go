package rowstore

import "context"

// ScanAll reads a whole range, page by page. It returns the version of the first page,
// so that a Watch after that version misses no change.
func ScanAll(ctx context.Context, s Store, r Range) ([]Row, uint64, error) {
	all, err := scanPages(ctx, s, r)
	return all.Rows, all.Version, err
}

// scanPages reads a whole range into one page, which has the version and the age of the first
// one.
func scanPages(ctx context.Context, s Store, r Range) (Page, error) {
	var all Page
	for isFirst := true; ; isFirst = false {
		page, err := s.Scan(ctx, r)
		if err != nil {
			return Page{}, err
		}
		if isFirst {
			all.Version, all.Age = page.Version, page.Age
		}
		all.Rows = append(all.Rows, page.Rows...)
		if !page.HasMore || len(page.Rows) == 0 {
			return all, nil
		}
		// Continue with the next possible key in byte order.
		r.From = page.Rows[len(page.Rows)-1].Key.Key + "\x00"
	}
}

// Get reads one row. Its Version is 0 when the row does not exist.
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
