package capacity

import "math"

// Point is a value measured at a size.
type Point struct{ Size, Value float64 }

// Line is a least-squares fit of measured points that minimises relative residuals. Sizes differ by
// powers of ten, so with absolute residuals the largest points would dominate the fit.
type Line struct {
	// Slope is the increase for each unit of size; Intercept is the value at size zero.
	Slope, Intercept float64
	// MaxResidual is the largest residual of a point, relative to its value.
	MaxResidual float64
}

// linearResidual is the largest MaxResidual of a line whose points count as linear.
const linearResidual = 0.1

// Fit returns the line through points. They need at least two distinct sizes and positive values.
func Fit(points []Point) Line {
	var weights, sizes, values float64
	for _, point := range points {
		weights += weight(point)
		sizes += weight(point) * point.Size
		values += weight(point) * point.Value
	}
	meanSize, meanValue := sizes/weights, values/weights
	var covariance, variance float64
	for _, point := range points {
		covariance += weight(point) * (point.Size - meanSize) * (point.Value - meanValue)
		variance += weight(point) * (point.Size - meanSize) * (point.Size - meanSize)
	}
	line := Line{Slope: covariance / variance}
	line.Intercept = meanValue - line.Slope*meanSize
	line.MaxResidual = line.maxResidual(points)
	return line
}

// weight is the inverse square of the value, which turns absolute residuals into relative ones.
func weight(point Point) float64 { return 1 / (point.Value * point.Value) }

func (l Line) maxResidual(points []Point) float64 {
	var maxResidual float64
	for _, point := range points {
		maxResidual = max(maxResidual, math.Abs(point.Value-l.At(point.Size))/point.Value)
	}
	return maxResidual
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// IsLinear reports whether all points lie close to the line.
func (l Line) IsLinear() bool { return l.MaxResidual <= linearResidual }
