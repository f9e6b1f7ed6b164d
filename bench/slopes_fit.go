package bench

import "math"

// Line is the least-squares line through a set of points.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// FitError is the root mean square of the distances between the points and
	// the line, relative to the mean of the points' values.
	FitError float64 `json:"fit_error"`
}

// FitLine returns the least-squares line through the points, which must include at least
// two different values of Units.
func FitLine(points []Point) Line {
	n := float64(len(points))
	var units, value float64
	for _, p := range points {
		units += p.Units / n
		value += p.Value / n
	}
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.Units - units) * (p.Value - value)
		variance += (p.Units - units) * (p.Units - units)
	}
	l := Line{Slope: covariance / variance}
	l.Intercept = value - l.Slope*units
	if value != 0 {
		l.FitError = l.distance(points) / math.Abs(value)
	}
	return l
}

// distance returns the root mean square of the points' distances from the line.
func (l *Line) distance(points []Point) float64 {
	sum := 0.0
	for _, p := range points {
		d := p.Value - l.Intercept - l.Slope*p.Units
		sum += d * d
	}
	return math.Sqrt(sum / float64(len(points)))
}
