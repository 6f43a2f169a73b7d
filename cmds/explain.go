package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	mn "mustardnotch"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "explain a result code, or print the table of all",
		ArgsUsage:   "CODE",
		Description: example("mustardnotch explain MN203"),
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "table", Usage: "print all codes as a Markdown table"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Bool("table") {
				return WriteCodes(c.Root().Writer)
			}
			if c.NArg() != 1 {
				return fmt.Errorf("want one CODE, or --table")
			}
			code, err := mn.ParseCode(c.Args().First())
			if err != nil {
				return err
			}
			d := code.Doc()
			_, err = fmt.Fprintf(c.Root().Writer, "%s: %s\n\n%s\n\nOutcome: %s unless the answer says otherwise\nSeverity: %s\nSince: %s\n",
				code, d.Title, d.Text, d.Outcome, d.Severity, d.Since)
			return err
		},
	}
}

// WriteCodes writes the table of result codes in Markdown, as docs/CODES.md.
func WriteCodes(w io.Writer) error {
	const header = "# Result codes\n\nMade by `mustardnotch explain --table`; `mustardnotch explain CODE` prints one.\n" +
		"The outcome is what the code says by default about the request; an answer may carry a surer one.\n\n" +
		"| Code | Title | Outcome | Severity | Since | Text |\n|---|---|---|---|---|---|\n"
	if _, err := io.WriteString(w, header); err != nil {
		return err
	}
	for _, d := range mn.Codes() {
		if _, err := fmt.Fprintf(w, "| %s | %s | %s | %s | %s | %s |\n", d.Code, d.Title, d.Outcome, d.Severity, d.Since, d.Text); err != nil {
			return err
		}
	}
	return nil
}
