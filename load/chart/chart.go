// Package chart plots the reports of load runs.
package chart

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	mn "mustardnotch"
	"mustardnotch/load"
)

// Size of the image.
const (
	width  = 24 * vg.Centimeter
	height = 12 * vg.Centimeter
)

// Write plots the arrivals of the first run and, for each run, the answers within
// the deadline, second by second, and saves the image as a PNG file at path.
func Write(path string, reports ...*load.Report) error {
	p := plot.New()
	p.Title.Text = "Answers within the deadline"
	p.X.Label.Text = "second of arrival"
	p.Y.Label.Text = "requests"
	p.Y.Min = 0
	for i, r := range reports {
		if err := addRun(p, r, i); err != nil {
			return err
		}
	}
	p.Legend.Top = true
	if err := p.Save(width, height, path); err != nil {
		return mn.Errorf(mn.BadSetting, "%s: %w", path, err)
	}
	return nil
}

func addRun(p *plot.Plot, r *load.Report, i int) error {
	sent := make(plotter.XYs, len(r.Seconds))
	served := make(plotter.XYs, len(r.Seconds))
	for j, s := range r.Seconds {
		sent[j].X, sent[j].Y = float64(j), float64(s.Sent)
		served[j].X, served[j].Y = float64(j), float64(s.InTime)
	}
	line, err := plotter.NewLine(served)
	if err != nil {
		return fmt.Errorf("run %q: %w", r.Label, err)
	}
	line.Color = plotutil.Color(i)
	line.Width = vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(r.Label+": in time", line)
	if i > 0 {
		return nil
	}
	all, err := plotter.NewLine(sent)
	if err != nil {
		return fmt.Errorf("run %q: %w", r.Label, err)
	}
	all.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
	p.Add(all)
	p.Legend.Add("sent", all)
	return nil
}
