package simulator

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Size of the plot file.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 28 * vg.Centimeter
)

// plotColours are distinguishable with red-green colour blindness.
var plotColours = []color.Color{
	color.RGBA{R: 0, G: 114, B: 178, A: 255},
	color.RGBA{R: 230, G: 159, B: 0, A: 255},
	color.RGBA{R: 0, G: 158, B: 115, A: 255},
	color.RGBA{R: 204, G: 121, B: 167, A: 255},
}

// WritePlot plots the workload and fault of the first case over time: the goodput of every policy measured on it, the
// mix, and the engines' roles under each policy that may change them. The extension of path selects SVG or PNG.
func WritePlot(cases []Case, path string) error {
	first := cases[0]
	goodput := newTimePlot("responses in time (share)", first)
	goodput.Title.Text = fmt.Sprintf("%s, seed %d, load %.2f, fault %s",
		first.Deployment, first.Seed, first.Load, first.Fault)
	goodput.Y.Max = 1.05
	mix := newTimePlot("prefill's share of the work", first)
	mix.Y.Max = 1
	if err := addLine(mix, "prefill", mixPoints(first.Phases), 0); err != nil {
		return err
	}
	plots := []*plot.Plot{goodput, mix}
	for i, c := range cases {
		if c.Deployment != first.Deployment || c.Seed != first.Seed || c.Load != first.Load || c.Fault != first.Fault {
			continue
		}
		if err := addLine(goodput, c.Policy, bucketPoints(c.Result.Buckets), i); err != nil {
			return err
		}
		if !c.ChangesRoles {
			continue
		}
		roles, err := rolesPlot(c)
		if err != nil {
			return err
		}
		plots = append(plots, roles)
	}
	plots[len(plots)-1].X.Label.Text = "time (min)"
	return savePlots(plots, path)
}

// newTimePlot returns an empty plot with the time of a run on its horizontal axis.
func newTimePlot(label string, c Case) *plot.Plot {
	p := plot.New()
	p.Y.Label.Text = label
	p.Y.Min, p.X.Min = 0, 0
	p.X.Max = float64(len(c.Result.Buckets)) * BucketLength.Minutes()
	p.Legend.YOffs = vg.Points(4)
	return p
}

// mixPoints returns the prefill share of each phase as a step line.
func mixPoints(phases []Phase) plotter.XYs {
	var points plotter.XYs
	for _, p := range phases {
		points = append(points,
			plotter.XY{X: p.Start.Minutes(), Y: p.PrefillShare},
			plotter.XY{X: (p.Start + p.Length).Minutes(), Y: p.PrefillShare})
	}
	return points
}

// rolesPlot plots the number of engines in each role over time.
func rolesPlot(c Case) (*plot.Plot, error) {
	p := newTimePlot("engines, "+c.Policy, c)
	counts := []struct {
		name  string
		count func(Split) int
	}{
		{"prefill", func(s Split) int { return s.Prefill }},
		{"decode", func(s Split) int { return s.Decode }},
		{"mixed", func(s Split) int { return s.Mixed }},
	}
	for i, count := range counts {
		if err := addLine(p, count.name, stepPoints(c, count.count), i); err != nil {
			return nil, err
		}
	}
	p.Y.Max++
	return p, nil
}

// bucketPoints returns a point for each bucket at the middle of its time, in minutes.
func bucketPoints(buckets []float64) plotter.XYs {
	points := make(plotter.XYs, len(buckets))
	for i, y := range buckets {
		points[i].X = (float64(i) + 0.5) * BucketLength.Minutes()
		points[i].Y = y
	}
	return points
}

// stepPoints returns a count as a step line up to the end of the run.
func stepPoints(c Case, count func(Split) int) plotter.XYs {
	var points plotter.XYs
	for _, r := range c.Result.Roles {
		if n := len(points); n > 0 {
			points = append(points, plotter.XY{X: r.At.Minutes(), Y: points[n-1].Y})
		}
		points = append(points, plotter.XY{X: r.At.Minutes(), Y: float64(count(r.Split))})
	}
	end := float64(len(c.Result.Buckets)) * BucketLength.Minutes()
	return append(points, plotter.XY{X: end, Y: points[len(points)-1].Y})
}

// addLine adds a line with a legend entry to a plot; number selects the colour.
func addLine(p *plot.Plot, name string, points plotter.XYs, number int) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("simulator: plot %s: %w", name, err)
	}
	line.Color = plotColours[number%len(plotColours)]
	line.Width = vg.Points(1.2)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// savePlots writes plots one below the other to an SVG file, or to a PNG file if path has another extension.
func savePlots(plots []*plot.Plot, path string) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("simulator: create plot: %w", err)
	}
	defer file.Close()
	rows := make([][]*plot.Plot, len(plots))
	for i, p := range plots {
		rows[i] = []*plot.Plot{p}
	}
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Centimeter}
	if strings.EqualFold(filepath.Ext(path), ".svg") {
		canvas := vgsvg.New(plotWidth, plotHeight)
		drawTiles(rows, tiles, draw.New(canvas))
		_, err = canvas.WriteTo(file)
	} else {
		canvas := vgimg.New(plotWidth, plotHeight)
		drawTiles(rows, tiles, draw.New(canvas))
		_, err = vgimg.PngCanvas{Canvas: canvas}.WriteTo(file)
	}
	if err != nil {
		return fmt.Errorf("simulator: write plot: %w", err)
	}
	return nil
}

// drawTiles draws each plot into its tile.
func drawTiles(rows [][]*plot.Plot, tiles draw.Tiles, canvas draw.Canvas) {
	for i, row := range plot.Align(rows, tiles, canvas) {
		rows[i][0].Draw(row[0])
	}
}
