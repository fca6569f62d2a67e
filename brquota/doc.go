// Package brquota enforces the quotas of customers and the retry budgets of
// services across all daemons without coordination on the request path. Each
// daemon holds its own copy of every token bucket, admits requests from it,
// publishes cumulative totals of its usage, and deducts the usage published by the
// other daemons. The copies differ by the usage since the last reports.
package brquota
