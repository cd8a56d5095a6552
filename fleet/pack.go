package fleet

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/pkg/errors"
)

const (
	// minPackedBytes is the size from which a value is compressed for other VMs.
	minPackedBytes = 1 << 10
	// maxValueBytes bounds a value that another VM has compressed.
	maxValueBytes = 8 << 20
)

// ValueTooLargeError reports that a compressed value of another VM exceeds the maximum.
type ValueTooLargeError struct{ Max int } // bytes

// Error names the maximum.
func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("decompressed value exceeds %d bytes", e.Max)
}

func compress(value []byte) ([]byte, error) {
	var out bytes.Buffer
	writer, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if _, err := writer.Write(value); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return out.Bytes(), nil
}

func decompress(packed []byte) ([]byte, error) {
	value, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxValueBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(value) > maxValueBytes {
		return nil, &ValueTooLargeError{Max: maxValueBytes}
	}
	return value, nil
}
