package surveyor

import "math"

// fit is a straight line through measured points by least squares. Every point weighs by the inverse of its squared
// size, so that the errors count as shares and the small sizes as much as the large ones.
type fit struct {
	// fixed is the part that does not grow, slope the growth for each unit of size.
	intercept, slope float64
	// squared is the share of the values' weighted variation that the line explains; one is a perfect fit.
	rSquared float64
	// worst is the largest distance of a value from the line, as a share of that value.
	worstError float64
}

// rounding is the square of a share of a value that only rounding explains.
const roundingTolerance = 1e-20

// newFit needs at least two different sizes above zero.
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

// judge sets the errors of the fit.
func (f *fit) computeErrors(sizes, values []float64, mean float64) {
	var left, total float64
	for i := range sizes {
		w := 1 / (sizes[i] * sizes[i])
		d := values[i] - f.predict(sizes[i])
		left += w * d * d
		total += w * (values[i] - mean) * (values[i] - mean)
		if values[i] != 0 {
			f.worstError = max(f.worstError, math.Abs(d/values[i]))
		}
	}
	f.rSquared = 1
	// Equal values differ from their mean by rounding alone.
	if total > roundingTolerance*mean*mean {
		f.rSquared = 1 - left/total
	}
}

// at returns the line's value at a size.
func (f fit) predict(size float64) float64 { return f.intercept + f.slope*size }
