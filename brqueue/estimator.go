package brqueue

import "math"

const (
	// estimateQuantile is the quantile of past lengths that is expected. Above
	// the median, because an underestimate lets too much onto an endpoint.
	estimateQuantile = 0.7
	// estimateDecay is the weight that older lengths keep at each new one: half
	// of it is gone after 34 requests, so a change of a template shows quickly.
	estimateDecay = 0.98
	// estimateSamples is the number of lengths before a customer's own history
	// counts; until then the route's over all customers does.
	estimateSamples = 8
	// estimateKeys bounds the histories kept, at 176 B each about 3 MB.
	estimateKeys    = 1 << 14
	estimateBuckets = 40 // of a ratio of sqrt(2): up to a million tokens
)

// Estimator learns the expected output length of requests per customer and
// route as a decaying quantile over buckets of a ratio of sqrt(2). Its zero
// value has learned nothing.
type Estimator struct {
	histories map[estimateKey]*history
}

type estimateKey struct{ customer, route string }

type history struct {
	count   int
	buckets [estimateBuckets]float32
}

// Observe records the output length, in tokens, of a request that ended. Lengths
// below 1 are ignored.
func (e *Estimator) Observe(customer, route string, tokens int) {
	if tokens < 1 {
		return
	}
	if e.histories == nil {
		e.histories = make(map[estimateKey]*history)
	}
	b := min(estimateBuckets-1, int(2*math.Log2(float64(tokens))))
	for _, k := range [...]estimateKey{{customer, route}, {"", route}} {
		h := e.histories[k]
		if h == nil {
			if len(e.histories) >= estimateKeys {
				continue
			}
			h = &history{}
			e.histories[k] = h
		}
		h.add(b)
	}
}

// Expect returns the expected output length in tokens, at least 1 and at most
// maxTokens. A customer with fewer than 8 requests on the route is expected to
// be like all customers on it; on a route with fewer than 8 requests maxTokens
// is expected.
func (e *Estimator) Expect(customer, route string, maxTokens int) int {
	for _, k := range [...]estimateKey{{customer, route}, {"", route}} {
		if h := e.histories[k]; h != nil && h.count >= estimateSamples {
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

// quantile returns the upper bound of the bucket that holds the quantile.
func (h *history) quantile() int {
	var sum, part float32
	for _, c := range h.buckets {
		sum += c
	}
	for i, c := range h.buckets {
		if part += c; part >= estimateQuantile*sum {
			return int(math.Exp2(float64(i+1) / 2))
		}
	}
	return int(math.Exp2(estimateBuckets / 2.0))
}
