package brquota

const (
	// retryRatio is the number of retries that each request adds to the budget. It
	// is lower than the ratio required by the users, which also covers retries that
	// several daemons admit concurrently.
	retryRatio = 0.1
	// retryBurst is the maximum number of unused retries in a budget.
	retryBurst = 20
	// initialRetries is the budget of a daemon that has just started. It is less
	// than retryBurst, since the other daemons may just have spent the rest.
	initialRetries = 5
)

// CountRequest counts the first dispatch of a request to a service and adds to the
// retry budget of the service.
func (l *Limiter) CountRequest(service string) {
	l.requests[service]++
	l.addRetries(service, retryRatio)
}

// TakeRetry reports whether the retry budget of the service allows another dispatch
// of a request, and if so deducts one retry.
func (l *Limiter) TakeRetry(service string) bool {
	if !l.RetryAvailable(service) {
		return false
	}
	l.retries[service]--
	l.ownRetries[service]++
	return true
}

// RetryAvailable reports whether TakeRetry would allow another dispatch.
func (l *Limiter) RetryAvailable(service string) bool {
	l.addRetries(service, 0)
	return l.retries[service] >= 1
}

// addRetries adds n retries to the budget of a service, up to retryBurst.
func (l *Limiter) addRetries(service string, n float64) {
	level, ok := l.retries[service]
	if !ok {
		level = initialRetries
	}
	l.retries[service] = min(retryBurst, level+n)
}
