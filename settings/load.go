package settings

import (
	"os"

	"github.com/endivecourse/endivecourse/internal/strictjson"
)

// Problem is one mistake in a file.
type Problem = strictjson.Problem

// FileError holds all problems found in a file.
type FileError = strictjson.FileError

// Load reads and checks a settings file. Its error is a *FileError.
func Load(file string) (Daemon, error) { return load(file, checkCommon) }

// LoadGateway reads and checks the settings file of a gatewayd.
func LoadGateway(file string) (Daemon, error) { return load(file, checkCommon, checkGateway) }

// LoadScheduler reads and checks the settings file of a schedulerd.
func LoadScheduler(file string) (Daemon, error) { return load(file, checkCommon, checkScheduler) }

// Parse decodes and checks data, the content of the named file. Its error is a
// *FileError.
func Parse(name string, data []byte) (Daemon, error) { return parse(name, data, checkCommon) }

// CheckGateway checks settings for use by a gatewayd.
func (d Daemon) CheckGateway() error { return d.check(checkCommon, checkGateway) }

// CheckScheduler checks settings for use by a schedulerd.
func (d Daemon) CheckScheduler() error { return d.check(checkCommon, checkScheduler) }

type check func(d *Daemon, r *strictjson.Report)

func load(file string, checks ...check) (Daemon, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Daemon{}, &FileError{Problems: []Problem{{File: file, Message: "cannot be read: " + err.Error()}}}
	}
	return parse(file, data, checks...)
}

func parse(name string, data []byte, checks ...check) (Daemon, error) {
	root, problems := strictjson.Parse(name, data)
	if root == nil {
		return Daemon{}, &FileError{Problems: problems}
	}
	d := Default()
	d.source = root
	report := strictjson.NewReport(root)
	report.Decode(&d)
	for _, c := range checks {
		c(&d, report)
	}
	problems = append(problems, report.Problems()...)
	if len(problems) > 0 {
		return Daemon{}, &FileError{Problems: problems}
	}
	return d, nil
}

func (d Daemon) check(checks ...check) error {
	report := strictjson.NewReport(d.source)
	for _, c := range checks {
		c(&d, report)
	}
	return report.Err()
}
