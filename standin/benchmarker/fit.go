package benchmarker

import "math"

// fit is a straight line through measured points by weighted least squares. Each point has the weight 1/size², so that
// errors count relative to the size and small sizes as much as large ones.
type fit struct {
	// intercept is the value at size zero, slope the growth for each unit of size.
	intercept, slope float64
	// rSquared is the weighted coefficient of determination; one is a perfect fit.
	rSquared float64
	// worstError is the largest relative error of the line at a measured value.
	worstError float64
}

// roundingTolerance is the squared relative deviation up to which values count as equal.
const roundingTolerance = 1e-20

// newFit fits a line to the points. It needs at least two different sizes above zero.
func newFit(sizes, values []float64) fit {
	var sum, sumSize, sumValue float64
	for i := range sizes {
		w := 1 / (sizes[i] * sizes[i])
		sum += w
		sumSize += w * sizes[i]
		sumValue += w * values[i]
	}
	meanSize, meanValue := sumSize/sum, sumValue/sum
	var cross, spread float64
	for i := range sizes {
		w := 1 / (sizes[i] * sizes[i])
		cross += w * (sizes[i] - meanSize) * (values[i] - meanValue)
		spread += w * (sizes[i] - meanSize) * (sizes[i] - meanSize)
	}
	f := fit{slope: cross / spread}
	f.intercept = meanValue - f.slope*meanSize
	f.computeErrors(sizes, values, meanValue)
	return f
}

// computeErrors sets rSquared and worstError.
func (f *fit) computeErrors(sizes, values []float64, mean float64) {
	var residual, total float64
	for i := range sizes {
		w := 1 / (sizes[i] * sizes[i])
		d := values[i] - f.predict(sizes[i])
		residual += w * d * d
		total += w * (values[i] - mean) * (values[i] - mean)
		if values[i] != 0 {
			f.worstError = max(f.worstError, math.Abs(d/values[i]))
		}
	}
	f.rSquared = 1
	// Without variation the ratio would be of rounding errors alone.
	if total > roundingTolerance*mean*mean {
		f.rSquared = 1 - residual/total
	}
}

// predict returns the line's value at a size.
func (f fit) predict(size float64) float64 { return f.intercept + f.slope*size }
