package process

import (
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/nutmegtrack/nutmegtrack/settings"
)

// Main parses the command line of a daemon's executable and runs the daemon. It returns
// the exit status.
func Main(name, description string, run func(settingsFile string, w io.Writer) int) int {
	parser := flaggy.NewParser(name)
	parser.Description = description
	parser.ShowVersionWithVersionFlag = false
	var (
		file        string
		assignments []string
	)
	parser.String(&file, "", "settings", "settings file (docs/operations/settings.md)")
	parser.StringSlice(&assignments, "", "set", "field=value, a top-level field in addition to the file's; may be repeated")
	err := parser.Parse()
	if err == nil {
		err = settings.Override(assignments)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return ExitSettings
	}
	return RunFile(name, file, run)
}

// RunFile runs a daemon with a settings file and returns the exit status. An empty file
// name is an error.
func RunFile(name, file string, run func(settingsFile string, w io.Writer) int) int {
	if file == "" {
		fmt.Fprintf(os.Stderr, "%s: --settings FILE is required\n", name)
		return ExitSettings
	}
	return run(file, os.Stdout)
}
