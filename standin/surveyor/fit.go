package surveyor

import "math"

// fit is a straight line through measured points by least squares. Every point weighs by the inverse of its squared
// size, so that the errors count as shares and the small sizes as much as the large ones.
type fit struct {
	// fixed is the part that does not grow, slope the growth for each unit of size.
	fixed, slope float64
	// squared is the share of the values' weighted variation that the line explains; one is a perfect fit.
	squared float64
	// worst is the largest distance of a value from the line, as a share of that value.
	worst float64
}

// rounding is the square of a share of a value that only rounding explains.
const rounding = 1e-20

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
	f.fixed = meanValue - f.slope*meanSize
	f.judge(sizes, values, meanValue)
	return f
}

// judge sets the errors of the fit.
func (f *fit) judge(sizes, values []float64, mean float64) {
	var left, total float64
	for i := range sizes {
		w := 1 / (sizes[i] * sizes[i])
		d := values[i] - f.at(sizes[i])
		left += w * d * d
		total += w * (values[i] - mean) * (values[i] - mean)
		if values[i] != 0 {
			f.worst = max(f.worst, math.Abs(d/values[i]))
		}
	}
	f.squared = 1
	// Equal values differ from their mean by rounding alone.
	if total > rounding*mean*mean {
		f.squared = 1 - left/total
	}
}

// at returns the line's value at a size.
func (f fit) at(size float64) float64 { return f.fixed + f.slope*size }
