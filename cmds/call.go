package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	mn "mustardnotch"
	"mustardnotch/gen/apipb"
	"mustardnotch/io/caller"
)

func callCommand() *cli.Command {
	return &cli.Command{
		Name:  "call",
		Usage: "send one request as a caller",
		Description: example("mustardnotch call --entry http://127.0.0.1:7001 --key KEY --model taalpers --prompt 'check spec 12'") +
			"\n   mustardnotch call --entry http://127.0.0.1:7001 --key KEY --pool orderbalie --path book --body 'reel 7'",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Usage: "base `URL` of an entry; may be repeated; each attempt uses the next entry", Required: true},
			&cli.StringFlag{Name: "key", Usage: "the caller's `KEY`", Sources: cli.EnvVars("MUSTARDNOTCH_KEY")},
			&cli.StringFlag{Name: "model", Usage: "`MODEL` of a generation"},
			&cli.StringFlag{Name: "prompt", Usage: "`TEXT` of the prompt"},
			&cli.Int64Flag{Name: "max_tokens", Usage: "generate at most `N` tokens; 0 for the limit of the model"},
			&cli.StringFlag{Name: "pool", Usage: "`POOL` of plain services to call"},
			&cli.StringFlag{Name: "path", Usage: "`PATH` of the call"},
			&cli.StringFlag{Name: "body", Usage: "`BODY` of the call"},
			&cli.StringFlag{Name: "idempotency_key", Usage: "`UUIDv7` that is the same for all retries of a call; generated if empty"},
			&cli.DurationFlag{Name: "deadline", Usage: "`TIME` within which the complete answer is needed"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			client := caller.NewRetryingClient(c.StringSlice("entry"), c.String("key"), mn.NewSystemClock())
			switch {
			case c.String("model") != "" && c.String("pool") == "":
				return generate(ctx, c, client)
			case c.String("pool") != "" && c.String("model") == "":
				return callPlain(ctx, c, client)
			}
			return fmt.Errorf("want exactly one of --model and --pool")
		},
	}
}

func generate(ctx context.Context, c *cli.Command, client *caller.RetryingClient) error {
	w := c.Root().Writer
	return client.Generate(ctx, &apipb.GenerateRequest{
		Model:      c.String("model"),
		Prompt:     c.String("prompt"),
		MaxTokens:  c.Int64("max_tokens"),
		DeadlineMs: c.Duration("deadline").Milliseconds(),
	}, func(chunk *apipb.GenerateChunk) error {
		if e := chunk.End; e != nil {
			_, err := fmt.Fprintf(w, "\nprompt_tokens=%d output_tokens=%d\n", e.PromptTokens, e.OutputTokens)
			return err
		}
		_, err := fmt.Fprint(w, chunk.Text)
		return err
	})
}

func callPlain(ctx context.Context, c *cli.Command, client *caller.RetryingClient) error {
	key, attempt := c.String("idempotency_key"), int32(0)
	if key == "" {
		key, attempt = string(mn.NewRequestID()), 1
	}
	resp, err := client.Call(ctx, &apipb.CallRequest{
		Pool:           c.String("pool"),
		Path:           c.String("path"),
		Body:           []byte(c.String("body")),
		IdempotencyKey: key,
		Attempt:        attempt,
		DeadlineMs:     c.Duration("deadline").Milliseconds(),
	})
	if err != nil {
		return fmt.Errorf("idempotency key %s: %w", key, err)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "%s\nrequest=%s idempotency_key=%s\n", resp.Body, resp.RequestId, key)
	return err
}
