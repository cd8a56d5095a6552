package command

import (
	"image/color"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	plotPoints = 200
)

var lineColors = []color.Color{
	color.RGBA{R: 0x77, G: 0x77, B: 0x77, A: 0xff},
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 0xff},
	color.RGBA{R: 0x8c, G: 0x56, B: 0x4b, A: 0xff},
}

// plotLatencies plots the cumulative distribution of the program latencies, one line per
// set of policies. The suffix of the file name selects the format.
func plotLatencies(file string, r Report) error {
	p := plot.New()
	p.Title.Text = "Program latency, " + r.Shape
	p.X.Label.Text = "seconds"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Y.Label.Text = "share of programs"
	p.Legend.Top = true
	p.Legend.Left = true
	for i, row := range r.Rows {
		line, err := plotter.NewLine(cumulativeShare(row.Latencies))
		if err != nil {
			return errors.Wrap(err, "draw latency distribution")
		}
		line.Color = lineColors[i%len(lineColors)]
		p.Add(line)
		p.Legend.Add(row.Policies, line)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "save latency plot")
}

// cumulativeShare returns points (latency, share of programs that end within it) for
// latencies in ascending order.
func cumulativeShare(sorted []float64) plotter.XYs {
	points := make(plotter.XYs, 0, plotPoints)
	for i := range plotPoints {
		at := i * (len(sorted) - 1) / (plotPoints - 1)
		points = append(points, plotter.XY{X: sorted[at], Y: float64(at+1) / float64(len(sorted))})
	}
	return points
}
