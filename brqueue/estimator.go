package brqueue

import "math"

const (
	// estimateQuantile is the quantile of past lengths used as the estimate. It is
	// above the median because an underestimate overloads an endpoint.
	estimateQuantile = 0.7
	// estimateDecay is the factor by which the weight of earlier lengths is
	// multiplied at each new one. It gives a half-life of 34 requests, so the
	// estimate quickly follows a change of a template.
	estimateDecay = 0.98
	// minHistorySamples is the number of lengths needed to use a customer's own
	// history. With fewer, the route's history over all customers is used.
	minHistorySamples = 8
	// maxHistories limits the number of histories. At 176 B each they take about
	// 3 MB.
	maxHistories    = 1 << 14
	estimateBuckets = 40 // with bounds in a ratio of sqrt(2), up to a million tokens
)

// Estimator estimates the output length of requests per customer and route as a
// decaying quantile over buckets whose bounds have a ratio of sqrt(2). The zero
// value is ready to use.
type Estimator struct {
	histories map[historyKey]*history
}

type historyKey struct{ customer, route string }

type history struct {
	count   int
	buckets [estimateBuckets]float32
}

// Observe records the output length, in tokens, of a completed request. Lengths
// below 1 are ignored.
func (e *Estimator) Observe(customer, route string, tokens int) {
	if tokens < 1 {
		return
	}
	if e.histories == nil {
		e.histories = make(map[historyKey]*history)
	}
	b := min(estimateBuckets-1, int(2*math.Log2(float64(tokens))))
	for _, k := range [...]historyKey{{customer, route}, {"", route}} {
		h := e.histories[k]
		if h == nil {
			if len(e.histories) >= maxHistories {
				continue
			}
			h = &history{}
			e.histories[k] = h
		}
		h.add(b)
	}
}

// Estimate returns the expected output length in tokens, within 1 and maxTokens.
// With fewer than 8 requests of the customer on the route it uses the requests of
// all customers on the route, and with fewer than 8 of those it returns
// maxTokens.
func (e *Estimator) Estimate(customer, route string, maxTokens int) int {
	for _, k := range [...]historyKey{{customer, route}, {"", route}} {
		if h := e.histories[k]; h != nil && h.count >= minHistorySamples {
			return max(1, min(maxTokens, h.quantile()))
		}
	}
	return max(1, maxTokens)
}

func (h *history) add(bucket int) {
	h.count++
	for i := range h.buckets {
		h.buckets[i] *= estimateDecay
	}
	h.buckets[bucket]++
}

// quantile returns the upper bound of the bucket that contains the quantile.
func (h *history) quantile() int {
	var sum, cumulative float32
	for _, c := range h.buckets {
		sum += c
	}
	for i, c := range h.buckets {
		if cumulative += c; cumulative >= estimateQuantile*sum {
			return int(math.Exp2(float64(i+1) / 2))
		}
	}
	return int(math.Exp2(estimateBuckets / 2.0))
}
