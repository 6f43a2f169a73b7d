package cmds

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	mn "mustardnotch"
	"mustardnotch/io/logs"
	"mustardnotch/node"
	"mustardnotch/platform"
	"mustardnotch/setup"
)

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Usage: "INI `FILE` with the process's settings", Required: true}
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:        "entry",
		Usage:       "run the process of an entry VM",
		Description: example("mustardnotch entry --settings entry-1.ini"),
		Flags:       []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := setup.Load(c.String("settings"), mn.RoleEntry)
			if err != nil {
				return err
			}
			e, err := node.NewEntry(ctx, s, logs.New(c.Root().ErrWriter))
			if err != nil {
				return err
			}
			return e.Run(ctx)
		},
	}
}

func agentCommand() *cli.Command {
	return &cli.Command{
		Name:        "agent",
		Usage:       "run the process that manages an endpoint",
		Description: example("mustardnotch agent --settings taalpers-1.ini"),
		Flags:       []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := setup.Load(c.String("settings"), mn.RoleAgent)
			if err != nil {
				return err
			}
			a, err := node.NewAgent(ctx, s, logs.New(c.Root().ErrWriter))
			if err != nil {
				return err
			}
			return a.Run(ctx)
		},
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check settings files, and that they don't conflict with each other",
		ArgsUsage:   "ROLE:FILE...",
		Description: example("mustardnotch check entry:entry-1.ini entry:entry-2.ini agent:taalpers-1.ini front:settings.conf"),
		Action: func(_ context.Context, c *cli.Command) error {
			if c.NArg() == 0 {
				return fmt.Errorf("want at least one ROLE:FILE")
			}
			return check(c)
		},
	}
}

// roleFront stands for a front in the arguments of the check command.
const roleFront = "front"

func check(c *cli.Command) error {
	var all []*setup.Settings
	var faults []string
	fronts := 0
	for _, a := range c.Args().Slice() {
		role, file, ok := strings.Cut(a, ":")
		if ok && role == roleFront {
			if _, err := platform.LoadSettings(file); err != nil {
				faults = append(faults, mn.AsError(err).Detail)
				continue
			}
			fronts++
			continue
		}
		if !ok || role != string(mn.RoleEntry) && role != string(mn.RoleAgent) {
			return fmt.Errorf("argument %q: want entry:FILE, agent:FILE or front:FILE", a)
		}
		s, err := setup.Load(file, mn.Role(role))
		if err != nil {
			faults = append(faults, mn.AsError(err).Detail)
			continue
		}
		all = append(all, s)
	}
	if err := setup.CheckConflicts(all); err != nil {
		faults = append(faults, mn.AsError(err).Detail)
	}
	if len(faults) > 0 {
		return mn.Errorf(mn.BadSetting, "%s", strings.Join(faults, "; "))
	}
	fmt.Fprintf(c.Root().Writer, "%d settings files are correct\n", len(all)+fronts)
	return nil
}
