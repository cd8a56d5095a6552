package config

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/internal/strictjson"
	"github.com/endivecourse/endivecourse/settings"
)

// Source is a file that was read.
type Source struct {
	Name string
	Data []byte
}

// Load reads, merges and checks a base file and an overlay; an empty overlay
// name means none. Its error is a *settings.FileError.
func Load(base, overlay string) (Document, error) {
	sources, err := ReadSources(base, overlay)
	if err != nil {
		return Document{}, err
	}
	return Parse(sources...)
}

// ReadSources reads the named files and leaves out empty names. Its error is a
// *settings.FileError.
func ReadSources(files ...string) ([]Source, error) {
	var sources []Source
	var problems []settings.Problem
	for _, file := range files {
		if file == "" {
			continue
		}
		data, err := os.ReadFile(file)
		if err != nil {
			problems = append(problems, settings.Problem{File: file, Message: "cannot be read: " + err.Error()})
			continue
		}
		sources = append(sources, Source{Name: file, Data: data})
	}
	if len(problems) > 0 {
		return nil, &settings.FileError{Problems: problems}
	}
	return sources, nil
}

// Parse lays each source over the ones before it, decodes the result strictly
// and checks it whole. Its error is a *settings.FileError in which each
// problem names the source that holds the value.
func Parse(sources ...Source) (Document, error) {
	var merged *strictjson.Node
	var problems []settings.Problem
	for _, s := range sources {
		node, found := strictjson.Parse(s.Name, s.Data)
		problems = append(problems, found...)
		switch {
		case node == nil:
			return Document{}, &settings.FileError{Problems: problems}
		case merged == nil:
			merged = node
		default:
			merged, found = strictjson.Merge(merged, node)
			problems = append(problems, found...)
		}
	}
	var doc Document
	report := strictjson.NewReport(merged)
	report.Decode(&doc)
	checkDocument(&doc, report)
	problems = append(problems, report.Problems()...)
	if len(problems) > 0 {
		return Document{}, &settings.FileError{Problems: problems}
	}
	return doc, nil
}

// Check checks a document that does not come from files. Its error is a
// *settings.FileError without files and lines.
func (d Document) Check() error {
	report := strictjson.NewReport(nil)
	checkDocument(&d, report)
	return report.Err()
}

// Encode writes the document as JSON. Equal documents have equal encodings.
func (d Document) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	return data, errors.Wrap(err, "encode document")
}

// DecodeDocument reads an encoded document. Unknown fields are passed over, so
// that a daemon reads what a newer endivectl stored.
func DecodeDocument(data []byte) (Document, error) {
	var d Document
	err := json.Unmarshal(data, &d)
	return d, errors.Wrap(err, "decode document")
}
