package estimator

const (
	// decayFactor multiplies the weight of older observations when a new one arrives.
	decayFactor = 0.97
	// outlierFactor is the ratio to the estimate, in either direction, beyond which an observation is an outlier.
	outlierFactor = 2.5
	// outliersBeforeReset is the number of consecutive outliers after which the value itself is assumed to have changed.
	outliersBeforeReset = 6
)

// Rate is a smoothed estimate of a slowly changing value that ignores single outliers.
type Rate struct {
	value    float64
	count    int
	outliers int
}

// Observe adds one observation; values that are not positive are ignored.
func (r *Rate) Observe(value float64) {
	if value <= 0 {
		return
	}
	if r.count >= 3 && (value > r.value*outlierFactor || value < r.value/outlierFactor) {
		r.outliers++
		if r.outliers < outliersBeforeReset {
			return
		}
		r.count = 0
	}
	r.outliers = 0
	r.count++
	weight := max(1/float64(r.count), 0.1)
	r.value += weight * (value - r.value)
}

// Value returns the estimate, or the fallback before any observation.
func (r *Rate) Value(fallback float64) float64 {
	if r.count == 0 {
		return fallback
	}
	return r.value
}

// Count returns the number of observations behind the value; a reset after outliers starts it over.
func (r *Rate) Count() int { return r.count }

// Line fits a straight line y = base + slope × x by least squares, with exponentially decaying weights.
type Line struct {
	weight, x, y, xx, xy float64
	outliers             int
}

// Observe adds one point. A point far above or below the line is ignored unless several in a row are.
func (l *Line) Observe(x, y float64) {
	if y <= 0 {
		return
	}
	if l.weight > 4 {
		expected := l.At(x)
		if y > expected*outlierFactor || y < expected/outlierFactor {
			l.outliers++
			if l.outliers < outliersBeforeReset {
				return
			}
			*l = Line{}
		}
	}
	l.outliers = 0
	l.weight = l.weight*decayFactor + 1
	l.x = l.x*decayFactor + x
	l.y = l.y*decayFactor + y
	l.xx = l.xx*decayFactor + x*x
	l.xy = l.xy*decayFactor + x*y
}

// HasObservations reports whether the line has any observation.
func (l *Line) HasObservations() bool { return l.weight > 0 }

// Slope returns the estimated increase of y for one unit of x, never negative.
func (l *Line) Slope() float64 {
	spread := l.weight*l.xx - l.x*l.x
	if l.weight == 0 || spread < l.weight*l.weight {
		return 0
	}
	return max(0, (l.weight*l.xy-l.x*l.y)/spread)
}

// At returns the estimated y at x.
func (l *Line) At(x float64) float64 {
	if l.weight == 0 {
		return 0
	}
	mean := l.y / l.weight
	return max(mean/4, mean+l.Slope()*(x-l.x/l.weight))
}
