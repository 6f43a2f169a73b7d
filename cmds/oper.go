package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	mn "mustardnotch"
	"mustardnotch/core/conf"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/oper"
)

// operatorFlags returns the flags that all commands for operators have, followed by
// more.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "entry", Usage: "base `URL` of an entry's operator address", Required: true, Sources: cli.EnvVars("MUSTARDNOTCH_OPERATORS")},
		&cli.StringFlag{Name: "token", Usage: "the operators' `TOKEN`", Required: true, Sources: cli.EnvVars("MUSTARDNOTCH_TOKEN")},
	}, more...)
}

func operatorClient(c *cli.Command) *oper.Client {
	return oper.NewClient(c.String("entry"), c.String("token"))
}

const operatorExampleFormat = "mustardnotch %s --entry http://127.0.0.1:7002 --token TOKEN %s"

func operatorExample(name, args string) string {
	return strings.TrimSpace(fmt.Sprintf(operatorExampleFormat, name, args))
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "create and change resources as declared in files",
		ArgsUsage: "FILE...",
		Description: example(operatorExample("apply", "voering.ini")) +
			"\n   " + operatorExample("apply", "--dry_run voering.ini") +
			"\n   " + operatorExample("apply", "--remove 'pool old'"),
		Flags: operatorFlags(
			&cli.BoolFlag{Name: "dry_run", Usage: "print the changes without making them"},
			&cli.StringSliceFlag{Name: "remove", Usage: "also remove the resource `'KIND NAME'`"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			declared, err := readFiles(c.Args().Slice())
			if err != nil {
				return err
			}
			remove, err := parseResourceNames(c.StringSlice("remove"))
			if err != nil {
				return err
			}
			if len(declared)+len(remove) == 0 {
				return fmt.Errorf("want at least one FILE with a resource, or --remove")
			}
			return apply(ctx, c, declared, remove)
		},
	}
}

func readFiles(names []string) ([]conf.Declaration, error) {
	var all []conf.Declaration
	for _, name := range names {
		data, err := os.ReadFile(name)
		if err != nil {
			return nil, mn.Errorf(mn.BadResource, "%w", err)
		}
		declared, err := conf.ParseResources(name, data)
		if err != nil {
			return nil, err
		}
		all = append(all, declared...)
	}
	return all, nil
}

func parseResourceNames(args []string) ([]mn.ResourceName, error) {
	var all []mn.ResourceName
	for _, a := range args {
		n, err := conf.ParseName(a)
		if err != nil {
			return nil, mn.Errorf(mn.BadResource, "--remove %q: %w", a, err)
		}
		all = append(all, n)
	}
	return all, nil
}

func apply(ctx context.Context, c *cli.Command, declared []conf.Declaration, remove []mn.ResourceName) error {
	client := operatorClient(c)
	existing, err := client.Get(ctx, "", "")
	if err != nil {
		return err
	}
	change, err := conf.PlanChange(viewOf(existing), declared, remove)
	if err != nil {
		return err
	}
	w := c.Root().Writer
	if len(change.Edits) == 0 {
		fmt.Fprintln(w, "nothing to change")
		return nil
	}
	resp, err := client.Apply(ctx, change, c.Bool("dry_run"))
	if err != nil {
		return err
	}
	for _, line := range resp.Changes {
		fmt.Fprintln(w, line)
	}
	if c.Bool("dry_run") {
		fmt.Fprintln(w, "nothing was changed (dry_run)")
		return nil
	}
	fmt.Fprintf(w, "in force from offset %d on\n", resp.Offset)
	return nil
}

func viewOf(resources []mn.Versioned) *mn.View {
	v := &mn.View{Resources: map[mn.ResourceName]mn.Versioned{}}
	for _, r := range resources {
		v.Resources[r.Resource.Name()] = r
	}
	return v
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name:        "get",
		Usage:       "print declared resources in the format of files for apply",
		ArgsUsage:   "[KIND [NAME]]",
		Description: example(operatorExample("get", "pool taalpers")),
		Flags:       operatorFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			kind, name := mn.ResourceKind(c.Args().Get(0)), c.Args().Get(1)
			existing, err := operatorClient(c).Get(ctx, kind, name)
			if err != nil {
				return err
			}
			if len(existing) == 0 && name != "" {
				return mn.Errorf(mn.BadResource, "%s %s is not declared", kind, name)
			}
			_, err = c.Root().Writer.Write(conf.PrintResources(existing))
			return err
		},
	}
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "issue and withdraw callers' keys",
		Commands: []*cli.Command{
			{
				Name:        "issue",
				Usage:       "create a key for a customer and print it; it can't be printed again",
				ArgsUsage:   "NAME CUSTOMER",
				Description: example(operatorExample("key issue", "bank-1 voering")),
				Flags:       operatorFlags(),
				Action: func(ctx context.Context, c *cli.Command) error {
					if c.NArg() != 2 {
						return fmt.Errorf("want NAME and CUSTOMER")
					}
					key, _, err := operatorClient(c).IssueKey(ctx, c.Args().Get(0), mn.CustomerID(c.Args().Get(1)))
					if err != nil {
						return err
					}
					fmt.Fprintln(c.Root().Writer, key)
					return nil
				},
			},
			{
				Name:        "withdraw",
				Usage:       "withdraw a key, also for callers that are already connected",
				ArgsUsage:   "NAME",
				Description: example(operatorExample("key withdraw", "bank-1")),
				Flags:       operatorFlags(),
				Action: func(ctx context.Context, c *cli.Command) error {
					if c.NArg() != 1 {
						return fmt.Errorf("want NAME")
					}
					offset, err := operatorClient(c).WithdrawKey(ctx, c.Args().First())
					if err != nil {
						return err
					}
					fmt.Fprintf(c.Root().Writer, "withdrawn at offset %d; no process accepts it after 5 s\n", offset)
					return nil
				},
			},
		},
	}
}

func watchCommand() *cli.Command {
	return &cli.Command{
		Name:        "watch",
		Usage:       "show the declared and the actual state, process by process",
		Description: example(operatorExample("watch", "--interval 2s")),
		Flags: operatorFlags(
			&cli.DurationFlag{Name: "interval", Usage: "`TIME` between reports"},
			&cli.Int64Flag{Name: "limit", Usage: "end after `N` reports"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			interval := mn.MillisOf(c.Duration("interval"))
			return operatorClient(c).Watch(ctx, interval, c.Int64("limit"), func(r *apipb.WatchResponse) error {
				return printWatch(c.Root().Writer, r)
			})
		},
	}
}

func printWatch(w io.Writer, r *apipb.WatchResponse) error {
	holder := r.Holder
	if holder == "" {
		holder = "none"
	}
	fmt.Fprintf(w, "head=%d holder=%s term=%d\n", r.Head, holder, r.Term)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "VM\tROLE\tDATA CENTRE\tPOOL\tOFFSET\tSTATE\tRUNNING\tWAITING\tENGINE\tREASON")
	for _, p := range r.Processes {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\t%d\t%d\t%s %s\t%s\n",
			p.Vm, p.Role, p.DataCentre, p.Pool, p.Offset, p.State, p.Running, p.Waiting, p.EngineRole, p.EngineVersion, p.Refusing)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, p := range r.Pools {
		fmt.Fprintf(w, "pool %s: declared %s; %s\n", p.Pool, p.Declared, p.Actual)
	}
	_, err := fmt.Fprintln(w)
	return err
}
