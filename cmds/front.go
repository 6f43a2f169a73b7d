package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"mustardnotch/core/place"
	"mustardnotch/io/logs"
	"mustardnotch/node"
	"mustardnotch/platform"
	"mustardnotch/setup"
)

func frontCommand() *cli.Command {
	return &cli.Command{
		Name:        "front",
		Usage:       "run the process that accepts callers' HTTP requests on the users' platform",
		Description: example("mustardnotch front --settings settings.conf"),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "the platform's settings `FILE`", Sources: cli.EnvVars(platform.SettingsFileEnv), Required: true},
			&cli.StringFlag{Name: "without", Usage: fmt.Sprintf("comma-separated `FEATURES` of request placement to switch off, to measure what they contribute: %v", place.Features)},
			&cli.StringFlag{Name: "router", Usage: "`ROUTER` that places requests: cost, or naive as a baseline", Value: "cost"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			readSettings := func() (*setup.Front, error) {
				s, err := platform.LoadSettings(c.String("settings"))
				if err != nil {
					return nil, err
				}
				s.Router = c.String("router")
				s.DisabledFeatures = c.String("without")
				return s, s.Validate()
			}
			s, err := readSettings()
			if err != nil {
				return err
			}
			out := logs.NewWriter(c.Root().Writer)
			defer out.Close()
			reload := make(chan struct{}, 1)
			stop := notifyReload(reload)
			defer stop()
			p := node.Platform{
				Store:   platform.NewStore(s.StoreAddr, s.MaxRecordBytes),
				Duties:  platform.NewDuties(s.DutiesAddr),
				Dialect: platform.Dialect{},
			}
			return node.NewFront(s, p, logs.New(out), reload, readSettings).Run(ctx)
		},
	}
}

// notifyReload sends to reload at each SIGHUP, until the returned function is called.
func notifyReload(reload chan<- struct{}) func() {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-hangups:
			case <-done:
				return
			}
			select {
			case reload <- struct{}{}:
			default: // A reload is pending already.
			}
		}
	}()
	return func() {
		signal.Stop(hangups)
		close(done)
	}
}
