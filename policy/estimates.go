package policy

import "math"

// Running estimates.
const (
	medianStep    = 0.03 // minimum step of a learned median, in log units; each value moves it by half a step
	fitSmoothing  = 0.01 // minimum weight of one answer in a fit: about the last hundred count
	initialSlope  = 0.5  // initial slope of a fit: estimates are rough, so half of what they say is believed
	minFitAnswers = 20   // answers in a class's fit up to which contended ones count as well

	slopePriorAnswers = 5   // weight of the initial slope, in answers
	maxSlopeAnswers   = 100 // maximum weight of the fitted slope, in answers
)

// runningMean is the plain mean of the first values and an exponentially weighted mean later:
// value += (x - value) · max(smoothing, 1/count).
type runningMean struct{ value, count float64 }

// add records a value; smoothing is its minimum weight.
func (m *runningMean) add(x, smoothing float64) {
	m.count++
	m.value += (x - m.value) * max(smoothing, 1/m.count)
}

// runningMedian tracks the median of a stream of values. It moves half a step towards each value, whatever
// the distance, so that an outlier weighs no more than any other value.
type runningMedian struct{ value, count float64 }

// add records a value. The step is 1/count, but at least minStep.
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
// Where estimates scatter widely without the work doing so, the slope falls below 1 and shrinks predictions
// towards the class's mean. The initial slope weighs as much as slopePriorAnswers answers.
type powerFit struct{ count, meanX, meanY, varX, covXY float64 }

// add records an answer's estimate and work, both in seconds; minWeight is the answer's minimum weight.
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

// slope returns the exponent of the fit, between 0 and 1; initial is its value before any answer.
func (f *powerFit) slope(initial float64) float64 {
	n := min(f.count, maxSlopeAnswers)
	return max(0, min(1, (f.covXY*n+slopePriorAnswers*initial)/(f.varX*n+slopePriorAnswers)))
}

// predict returns the work for an estimate, both in seconds; the slope is at least minSlope. Before any
// answer, the fit passes through the median estimate, whose log is medianLog: that one is taken to be right.
// An estimate that is not positive is returned as it is.
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
