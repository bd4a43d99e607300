package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"briarproxy/core/object"
)

// checkResult is the result of checking one directory.
type checkResult struct {
	Directory string           `json:"directory"`
	Files     int              `json:"files"`
	Objects   int              `json:"objects"` // 0 if there are problems
	Problems  []object.Problem `json:"problems"`
}

func newCheck() *cobra.Command {
	var output outputFlag
	var inForce string
	cmd := &cobra.Command{
		Use:   "check DIR... | check FILE [--in-force FILE]",
		Short: "Check sets of objects, or a configuration of the users' platform, and list every problem",
		Long: "check reads the files *.json and *.jsonc of each directory and its subdirectories\n" +
			"as one set of objects and lists every problem of the set.\n\n" +
			"Of a file it checks the configuration in the form in which it is published on the users' platform: errors,\n" +
			"entries that can never match, limits that contradict each other, and with --in-force what it changes.\n" +
			"Changes alone are no problems.\n\n" + exitCodes,
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, dirs []string) error {
			asJSON, err := output.isJSON()
			if err != nil {
				return err
			}
			if info, err := os.Stat(dirs[0]); inForce != "" || err == nil && info.Mode().IsRegular() {
				return checkConfiguration(cmd.OutOrStdout(), dirs, inForce, asJSON)
			}
			results, err := checkDirectories(dirs)
			if err != nil {
				return err
			}
			return printCheckResults(cmd.OutOrStdout(), results, asJSON)
		},
	}
	output.register(cmd)
	cmd.Flags().StringVar(&inForce, "in-force", "", "file with the configuration that is in force, to compare with")
	return cmd
}

func checkDirectories(dirs []string) ([]checkResult, error) {
	results := make([]checkResult, 0, len(dirs))
	for _, dir := range dirs {
		files, err := readObjectFiles(dir)
		if err != nil {
			return nil, err
		}
		set, problems := object.Load(files)
		results = append(results, checkResult{
			Directory: dir, Files: len(files), Objects: countObjects(set), Problems: append([]object.Problem{}, problems...),
		})
	}
	return results, nil
}

// readObjectFiles returns the contents of the object files in a directory and its
// subdirectories, keyed by path. Hidden files are ignored.
func readObjectFiles(dir string) (map[string][]byte, error) {
	files := map[string][]byte{}
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		extension := filepath.Ext(path)
		if entry.IsDir() || strings.HasPrefix(entry.Name(), ".") || (extension != ".json" && extension != ".jsonc") {
			return nil
		}
		data, err := os.ReadFile(path)
		files[path] = data
		return err
	})
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, fmt.Errorf("%s has no file *.json or *.jsonc; name the directory of the objects", dir)
	}
	return files, nil
}

// countObjects returns the number of objects in a set, which may be nil.
func countObjects(set *object.Set) int {
	if set == nil {
		return 0
	}
	return len(set.Services) + len(set.BatchJobs) + len(set.GangJobs) + len(set.Policies) + len(set.Pools) + len(set.Teams)
}

func printCheckResults(w io.Writer, results []checkResult, asJSON bool) error {
	if asJSON {
		if err := printJSON(w, results); err != nil {
			return err
		}
	} else if err := printCheckTables(w, results); err != nil {
		return err
	}
	for _, result := range results {
		if len(result.Problems) > 0 {
			return errProblems
		}
	}
	return nil
}

func printCheckTables(w io.Writer, results []checkResult) error {
	for _, result := range results {
		if len(result.Problems) == 0 {
			fmt.Fprintf(w, "%s: %d objects in %d files, no problems\n", result.Directory, result.Objects, result.Files)
			continue
		}
		fmt.Fprintf(w, "%s: %d problems in %d files\n", result.Directory, len(result.Problems), result.Files)
		if err := printProblems(w, result.Problems); err != nil {
			return err
		}
	}
	return nil
}

func printProblems(w io.Writer, problems []object.Problem) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PLACE\tOBJECT\tFIELD\tPROBLEM\tREMEDY")
	for _, p := range problems {
		name := ""
		if p.Object != "" {
			name = string(p.Kind) + "/" + p.Object
		}
		fmt.Fprintf(table, "%s:%d\t%s\t%s\t%s\t%s\n", p.File, p.Line, name, p.Field, p.Message, p.Remedy)
	}
	return table.Flush()
}

func printJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
