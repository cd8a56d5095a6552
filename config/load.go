package config

import (
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"github.com/endivecourse/endivecourse/internal/strictjson"
	"github.com/endivecourse/endivecourse/settings"
)

// Source is the name and content of a file.
type Source struct {
	Name string
	Data []byte
}

// Load reads, merges and checks a base file and an overlay. An empty overlay
// name means no overlay. Its error is a *settings.FileError.
func Load(base, overlay string) (Document, error) {
	sources, err := ReadSources(base, overlay)
	if err != nil {
		return Document{}, err
	}
	return Parse(sources...)
}

// ReadSources reads the named files and skips empty names. Its error is a
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

// Parse merges each source over the ones before it, decodes the result strictly
// and checks all of it. Its error is a *settings.FileError in which each problem
// names the source that holds the value.
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

// Check checks a document that was not read from files. Its error is a
// *settings.FileError without file names and line numbers.
func (d Document) Check() error {
	report := strictjson.NewReport(nil)
	checkDocument(&d, report)
	return report.Err()
}

// Encode returns the document as JSON. Equal documents have equal encodings.
func (d Document) Encode() ([]byte, error) {
	data, err := json.Marshal(d)
	return data, errors.Wrap(err, "encode document")
}

// DecodeDocument decodes an encoded document. It ignores unknown fields, so that
// a daemon can read a document that a newer endivectl stored.
func DecodeDocument(data []byte) (Document, error) {
	var d Document
	err := json.Unmarshal(data, &d)
	return d, errors.Wrap(err, "decode document")
}
