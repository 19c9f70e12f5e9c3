package policy

import "math"

// Running estimates.
const (
	medianStep    = 0.03 // minimum step of a learned median, in log units
	fitSmoothing  = 0.01 // minimum weight of one answer in the fit of work to estimate: the last hundred or so
	initialSlope  = 0.5  // slope of the fit at first: half of what a rough estimate says is believed
	minFitAnswers = 20   // answers of a class before only uncontended ones are used for its fit
)

// runningMean is a mean of all values at first, and an exponentially weighted one later.
type runningMean struct{ value, count float64 }

// add takes a value; smoothing is its minimum weight.
func (a *runningMean) add(x, step float64) {
	a.count++
	a.value += (x - a.value) * max(step, 1/a.count)
}

// runningMedian follows the median of a stream, moved by ranks alone: outliers weigh no more than their
// count.
type runningMedian struct{ value, count float64 }

// add takes a value; minStep is the minimum step towards it.
func (q *runningMedian) add(x, rank, least float64) {
	if q.count++; q.count == 1 {
		q.value = x
		return
	}
	step := max(least, 1/q.count)
	if x > q.value {
		q.value += step * rank
	} else {
		q.value -= step * (1 - rank)
	}
}

// powerFit is a running linear regression of log(work) on log(estimate). Estimates that scatter widely say
// less than they seem to: the slope shrinks them towards the class's middle. It starts at a given slope, as
// if from five answers.
type powerFit struct{ count, meanX, meanY, varX, covXY float64 }

// add takes the work of one answer and its estimate, both in seconds; minWeight is its minimum weight.
func (f *powerFit) add(est, work, least float64) {
	x, y := math.Log(est), math.Log(work)
	f.count++
	w := max(least, 1/f.count)
	dx, dy := x-f.meanX, y-f.meanY
	f.meanX += w * dx
	f.meanY += w * dy
	f.varX = (1 - w) * (f.varX + w*dx*dx)
	f.covXY = (1 - w) * (f.covXY + w*dx*dy)
}

// slope is the exponent of the fit, between 0 and 1; initial weighs as five answers.
func (f *powerFit) slope(first float64) float64 {
	n := min(f.count, 100)
	return max(0, min(1, (f.covXY*n+5*first)/(f.varX*n+5)))
}

// predict is the work for an estimate, both in seconds; median is that of log(estimate) until answers come,
// and minSlope the minimum slope.
func (f *powerFit) predict(est, asked, first, least float64) float64 {
	if est <= 0 {
		return est
	}
	x, y := f.meanX, f.meanY
	if f.count == 0 {
		x, y = asked, asked
	}
	return math.Exp(y + max(least, f.slope(first))*(math.Log(est)-x))
}
