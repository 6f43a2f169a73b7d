// Command fakes runs stand-ins for the services that mustardnotch depends on, the
// measurements and fault tests that use them, and the demo.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	mn "mustardnotch"
	"mustardnotch/demo"
	"mustardnotch/fakes"
	"mustardnotch/gauge"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := app().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fakes:", err)
		os.Exit(1)
	}
}

func app() *cli.Command {
	listen := &cli.StringFlag{Name: "listen", Usage: "`ADDR` to serve on", Required: true}
	return &cli.Command{
		Name:  "fakes",
		Usage: "stand-ins for the platform, a model engine and a plain service; the demo",
		Commands: []*cli.Command{
			{
				Name:  "platform",
				Usage: "serve the platform's HTTP interface",
				Flags: []cli.Flag{listen},
				Action: func(ctx context.Context, c *cli.Command) error {
					return serve(ctx, c.String("listen"), fakes.NewPlatform(mn.NewSystemClock()).Handler())
				},
			},
			{
				Name:  "engine",
				Usage: "serve a model engine",
				Flags: []cli.Flag{
					listen,
					&cli.StringFlag{Name: "model", Value: "taalpers"},
					&cli.StringFlag{Name: "version", Value: "1"},
				},
				Action: func(ctx context.Context, c *cli.Command) error {
					e := fakes.NewEngine(mn.NewSystemClock(), mn.ModelID(c.String("model")), c.String("version"))
					return serve(ctx, c.String("listen"), e.Handler())
				},
			},
			batchCommand(listen),
			benchCommand(),
			slopesCommand(),
			{
				Name:   "plain",
				Usage:  "serve a plain service",
				Flags:  []cli.Flag{listen, &cli.StringFlag{Name: "runs", Usage: "append runs to `FILE`"}},
				Action: runPlain,
			},
			gaugeCommand(),
			matrixCommand(),
			soakCommand(),
			{
				Name:  "demo",
				Usage: "serve two requests through a small cluster and print what happened",
				Flags: []cli.Flag{&cli.StringFlag{Name: "bin", Usage: "`DIR` with the programs", Value: "bin"}},
				Action: func(ctx context.Context, c *cli.Command) error {
					return demo.Run(ctx, c.String("bin"), os.Stdout)
				},
			},
		},
	}
}

func gaugeCommand() *cli.Command {
	return &cli.Command{
		Name:  "gauge",
		Usage: "measure what entry and agent add to a call, how fast changes propagate, or what idle processes use",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Usage: "`DIR` with the programs", Value: "bin"},
			&cli.IntFlag{Name: "calls", Usage: "`N` calls or rounds in each part", Value: 20000},
			&cli.IntFlag{Name: "clients", Usage: "`N` concurrent callers", Value: 64},
			&cli.IntFlag{Name: "agents", Usage: "`N` endpoints", Value: 4},
			&cli.StringFlag{Name: "part", Usage: "`PART` to run: delay, throughput, configuration, idle, or all for the first two", Value: "all"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return gauge.Run(ctx, gauge.Options{Bin: c.String("bin"), Calls: c.Int("calls"), Clients: c.Int("clients"), Agents: c.Int("agents"), Part: c.String("part")}, os.Stdout)
		},
	}
}

func runPlain(ctx context.Context, c *cli.Command) error {
	var file *os.File
	if name := c.String("runs"); name != "" {
		f, err := os.OpenFile(name, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return err
		}
		defer f.Close()
		file = f
	}
	return serve(ctx, c.String("listen"), fakes.NewPlain(mn.NewSystemClock(), file).Handler())
}

func serve(ctx context.Context, addr string, h http.Handler) error {
	srv := &http.Server{Addr: addr, Handler: h}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
