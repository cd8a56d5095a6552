package rowstore

import (
	"context"
	"strconv"
)

// EmptyPageError reports a page without rows that says that there are more. The rows beyond it
// can't be asked for, so the scan is not complete.
type EmptyPageError struct{ Table, From string }

// Error names the table and the key from which the page was asked for.
func (e *EmptyPageError) Error() string {
	return "page of table " + e.Table + " from key " + strconv.Quote(e.From) + " has no rows, but there are more"
}

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
		if !page.HasMore {
			return all, nil
		}
		if len(page.Rows) == 0 {
			return Page{}, &OutcomeUnknownError{Cause: &EmptyPageError{Table: r.Table, From: r.From}}
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
	if page.HasMore {
		return Row{}, &OutcomeUnknownError{Cause: &EmptyPageError{Table: key.Table, From: key.Key}}
	}
	return Row{Key: key}, nil
}
