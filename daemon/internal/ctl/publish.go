package ctl

import (
	"context"
	"fmt"
	"strconv"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"briarproxy/core/config"
	"briarproxy/core/fault"
	"briarproxy/core/object"
)

// baseNewest selects the newest version in the log when the command runs.
const baseNewest = -1

// publishFlags are the flags of the commands that publish a version.
type publishFlags struct {
	logFlags
	author  string
	message string
	base    int64
}

func (f *publishFlags) register(cmd *cobra.Command) {
	f.logFlags.register(cmd)
	cmd.Flags().StringVar(&f.author, "author", defaultAuthor(), "who publishes")
	cmd.Flags().StringVarP(&f.message, "message", "m", "", "why")
	cmd.Flags().Int64Var(&f.base, "base", baseNewest, "version that the objects are based on; the newest if not set")
}

func newPublish() *cobra.Command {
	var flags publishFlags
	cmd := &cobra.Command{
		Use:   "publish DIR",
		Short: "Check a directory of objects and put it in force",
		Long: "publish checks the objects of a directory and, if the whole set is valid, publishes\n" +
			"it as the version after its base. If another operator has published since the base,\n" +
			"nothing is changed and the command names the version that was accepted instead.\n\n" + exitCodes,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			files, err := readObjectFiles(args[0])
			if err != nil {
				return err
			}
			set, problems := object.Load(files)
			if len(problems) > 0 {
				if err := printProblems(cmd.ErrOrStderr(), problems); err != nil {
					return err
				}
				return errProblems
			}
			return runPublish(cmd, flags, func(*configLog) (*object.Set, error) { return set, nil })
		},
	}
	flags.register(cmd)
	return cmd
}

func newRollback() *cobra.Command {
	var flags publishFlags
	cmd := &cobra.Command{
		Use:   "rollback VERSION",
		Short: "Publish the content of an earlier version as a new version",
		Long:  "rollback publishes the content of an earlier version as a new version.\n\n" + exitCodes,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			version, err := strconv.ParseInt(args[0], 10, 64)
			if err != nil {
				return fmt.Errorf("version %q is not a number; see briarctl history", args[0])
			}
			if flags.message == "" {
				flags.message = "rollback to version " + args[0]
			}
			return runPublish(cmd, flags, func(l *configLog) (*object.Set, error) {
				set, known := l.setsByVersion[version]
				if !known || version == 0 {
					return nil, fault.New(fault.Invalid, "choose a version from briarctl history", "version %d is not in the log any more", version)
				}
				return set, nil
			})
		},
	}
	flags.register(cmd)
	return cmd
}

// runPublish publishes the set that chooseSet returns for the current log.
func runPublish(cmd *cobra.Command, flags publishFlags, chooseSet func(*configLog) (*object.Set, error)) error {
	ctx, cancel := context.WithTimeout(cmd.Context(), flags.timeout)
	defer cancel()
	l, err := openConfigLog(ctx, flags.logFlags)
	if err != nil {
		return err
	}
	set, err := chooseSet(l)
	if err != nil {
		return err
	}
	base := flags.base
	if base == baseNewest {
		base = l.reader.Version()
	}
	result, err := l.publish(ctx, config.Publication{ID: newPublicationID(), Base: base, Author: flags.author, Message: flags.message, Set: set})
	if err != nil {
		return err
	}
	if err := result.Err(); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "version %d is accepted\n", result.Version)
	return nil
}

func newHistory() *cobra.Command {
	var flags logFlags
	var output outputFlag
	cmd := &cobra.Command{
		Use:   "history",
		Short: "List the accepted versions that the log still has",
		Long:  "history lists the accepted versions that the log still has.\n\n" + exitCodes,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			asJSON, err := output.isJSON()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), flags.timeout)
			defer cancel()
			l, err := openConfigLog(ctx, flags)
			if err != nil {
				return err
			}
			entries := l.reader.History()
			if asJSON {
				return printJSON(cmd.OutOrStdout(), entries)
			}
			table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "VERSION\tBASE\tAUTHOR\tMESSAGE")
			for _, e := range entries {
				fmt.Fprintf(table, "%d\t%d\t%s\t%s\n", e.Version, e.Base, e.Author, e.Message)
			}
			return table.Flush()
		},
	}
	flags.register(cmd)
	output.register(cmd)
	return cmd
}
