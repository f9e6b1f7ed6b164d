package bench

import "math"

// Line is the least-squares line through a set of points.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// FitError is the root mean square of the differences between the points' values
	// and the line, relative to the mean of the values.
	FitError float64 `json:"fit_error"`
}

// FitLine returns the least-squares line through the points, which must include at least
// two different values of Units.
func FitLine(points []Point) Line {
	n := float64(len(points))
	var meanUnits, meanValue float64
	for _, p := range points {
		meanUnits += p.Units / n
		meanValue += p.Value / n
	}
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.Units - meanUnits) * (p.Value - meanValue)
		variance += (p.Units - meanUnits) * (p.Units - meanUnits)
	}
	l := Line{Slope: covariance / variance}
	l.Intercept = meanValue - l.Slope*meanUnits
	if meanValue != 0 {
		l.FitError = l.rootMeanSquareError(points) / math.Abs(meanValue)
	}
	return l
}

// rootMeanSquareError returns the root mean square of the differences between the points'
// values and the line.
func (l *Line) rootMeanSquareError(points []Point) float64 {
	sum := 0.0
	for _, p := range points {
		d := p.Value - l.Intercept - l.Slope*p.Units
		sum += d * d
	}
	return math.Sqrt(sum / float64(len(points)))
}
