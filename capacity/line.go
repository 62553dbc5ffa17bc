package capacity

import "math"

// Point is a figure measured at a size.
type Point struct{ Size, Figure float64 }

// Line is the least-squares line through measured points, with distances taken as parts of
// each figure: sizes differ by powers of ten, and the largest would hide the others.
type Line struct {
	// Slope is the figure that one unit of size adds; Base is the figure at size zero.
	Slope, Base float64
	// Residual is the largest distance of a point from the line, as a part of its figure.
	Residual float64
}

// straightResidual is the residual up to which points count as a straight line.
const straightResidual = 0.1

// Fit returns the line through points of at least two sizes. Figures are above zero.
func Fit(points []Point) Line {
	var weights, sizes, figures float64
	for _, point := range points {
		weights += weight(point)
		sizes += weight(point) * point.Size
		figures += weight(point) * point.Figure
	}
	meanSize, meanFigure := sizes/weights, figures/weights
	var covariance, variance float64
	for _, point := range points {
		covariance += weight(point) * (point.Size - meanSize) * (point.Figure - meanFigure)
		variance += weight(point) * (point.Size - meanSize) * (point.Size - meanSize)
	}
	line := Line{Slope: covariance / variance}
	line.Base = meanFigure - line.Slope*meanSize
	line.Residual = line.worst(points)
	return line
}

func weight(point Point) float64 { return 1 / (point.Figure * point.Figure) }

func (l Line) worst(points []Point) float64 {
	var worst float64
	for _, point := range points {
		worst = max(worst, math.Abs(point.Figure-l.At(point.Size))/point.Figure)
	}
	return worst
}

// At works the figure out at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// IsStraight tells whether all points lie close to the line.
func (l Line) IsStraight() bool { return l.Residual <= straightResidual }
