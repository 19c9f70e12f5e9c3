package policy

import "math"

// Running estimates.
const (
	medianStep    = 0.03 // minimum step of a learned median, in log units
	fitSmoothing  = 0.01 // minimum weight of one answer in a fit: about the last hundred count
	initialSlope  = 0.5  // slope of a fit at first: half of what a rough estimate says is believed
	minFitAnswers = 20   // answers of a class up to which contended ones count in its fit as well

	slopePriorAnswers = 5   // answers that the initial slope weighs as much as
	maxSlopeAnswers   = 100 // answers that the fit weighs as much as at most
)

// runningMean is the mean of all values at first, and an exponentially weighted mean later:
// value += (x - value) · max(smoothing, 1/count).
type runningMean struct{ value, count float64 }

// add takes a value; smoothing is its minimum weight.
func (m *runningMean) add(x, smoothing float64) {
	m.count++
	m.value += (x - m.value) * max(smoothing, 1/m.count)
}

// runningMedian follows the median of a stream. It moves half a step towards each value, whatever the
// distance: outliers weigh no more than their count.
type runningMedian struct{ value, count float64 }

// add takes a value; minStep is the minimum of the step 1/count.
func (m *runningMedian) add(x, minStep float64) {
	if m.count++; m.count == 1 {
		m.value = x
		return
	}
	step := max(minStep, 1/m.count)
	if x > m.value {
		m.value += step * 0.5
	} else {
		m.value -= step * 0.5
	}
}

// powerFit is a running linear regression of log(work) on log(estimate): work = c · estimate^slope.
// Estimates that scatter widely say less than they seem to: the slope shrinks them towards the class's
// middle. It starts at a given slope, as if from slopePriorAnswers.
type powerFit struct{ count, meanX, meanY, varX, covXY float64 }

// add takes the work of one answer and its estimate, both in seconds; minWeight is its minimum weight.
func (f *powerFit) add(estimate, work, minWeight float64) {
	x, y := math.Log(estimate), math.Log(work)
	f.count++
	w := max(minWeight, 1/f.count)
	dx, dy := x-f.meanX, y-f.meanY
	f.meanX += w * dx
	f.meanY += w * dy
	f.varX = (1 - w) * (f.varX + w*dx*dx)
	f.covXY = (1 - w) * (f.covXY + w*dx*dy)
}

// slope is the exponent of the fit, between 0 and 1.
func (f *powerFit) slope(initial float64) float64 {
	n := min(f.count, maxSlopeAnswers)
	return max(0, min(1, (f.covXY*n+slopePriorAnswers*initial)/(f.varX*n+slopePriorAnswers)))
}

// predict is the work for an estimate, both in seconds, with at least minSlope. Until answers come the
// fit passes through medianLog, the median of log(estimate).
func (f *powerFit) predict(estimate, medianLog, initial, minSlope float64) float64 {
	if estimate <= 0 {
		return estimate
	}
	x, y := f.meanX, f.meanY
	if f.count == 0 {
		x, y = medianLog, medianLog
	}
	return math.Exp(y + max(minSlope, f.slope(initial))*(math.Log(estimate)-x))
}
