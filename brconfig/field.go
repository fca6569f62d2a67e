package brconfig

import (
	"fmt"
	"strings"
)

// Field describes one field of a document for the reference page.
type Field struct {
	Path        string // path of the field, such as customers[].weight
	Type        string
	Unit        string // empty if the value has no unit
	Default     string // empty if the field is required
	Description string
}

// Fields returns the descriptions of all fields of a document, in the order of their
// declaration.
func Fields() []Field {
	const none = "none"
	return []Field{
		{"templates[]", "list", "", "empty", "Sets of routes that several customers share."},
		{"templates[].name", "name", "", "", "Unique among the templates."},
		{"templates[].routes[]", "list", "", "", "Kinds of requests; at least one."},
		{"templates[].routes[].name", "name", "", "", "Unique within the template. Callers send it in the field or header `route`."},
		{"templates[].routes[].model", "name", "", "", "A model or plain service of `models`. A request without a route uses the first route of its model."},
		{"templates[].routes[].tier", "integer", "", "", "Priority, 1 (highest) to 5."},
		{"templates[].routes[].first_token_ms", "integer", "ms", "", "Target time to the first token, or to the response of a service."},
		{"templates[].routes[].token_ms", "integer", "ms", "0 (no target)", "Target for the mean time between tokens."},
		{"templates[].routes[].deadline_ms", "integer", "ms", "", "Time after which a first token has no value to the caller. At least `first_token_ms`."},
		{"templates[].routes[].stuck_ms", "integer", "ms", "setting `stuck_timeout`", "Time without a token after which a stream is ended with `stuck`."},
		{"templates[].routes[].max_tokens", "integer", "tokens", fmt.Sprint(DefaultMaxTokens), "Limit on the tokens that a request may ask for."},
		{"templates[].routes[].non_idempotent", "boolean", "", "false", "The request runs at most once and is recorded in the ledger."},
		{"templates[].moves[]", "list", "", "empty", "Version changes; at most one per model, with the same versions in all templates."},
		{"templates[].moves[].model", "name", "", "", "The model whose version changes."},
		{"templates[].moves[].from", "name", "", "", "The current version."},
		{"templates[].moves[].to", "name", "", "", "The version to move to; differs from `from`."},
		{"templates[].moves[].finish_by", "time", "RFC 3339", "", "A move that has not finished by then is rolled back. The earliest date of all customers applies."},
		{"customers[]", "list", "", "empty", "Organizations whose requests are served."},
		{"customers[].name", "name", "", "", "Unique among the customers."},
		{"customers[].template", "name", "", "", "The template whose routes the customer uses."},
		{"customers[].keys[]", "list of strings", "", "", fmt.Sprintf("Accepted bearer keys, 1 to %d, each unique among all customers.", MaxKeys)},
		{"customers[].weight", "integer", "", fmt.Sprint(DefaultWeight), fmt.Sprintf("Share within a tier relative to other customers, up to %d.", MaxWeight)},
		{"customers[].parameters[]", "list", "", "empty", "Values that replace those of the template's routes; at most one element per route."},
		{"customers[].parameters[].route", "name", "", "", "A route of the customer's template."},
		{"customers[].parameters[].tier", "integer", "", none, "Replaces `tier`."},
		{"customers[].parameters[].first_token_ms", "integer", "ms", none, "Replaces `first_token_ms`."},
		{"customers[].parameters[].token_ms", "integer", "ms", none, "Replaces `token_ms`."},
		{"customers[].parameters[].deadline_ms", "integer", "ms", none, "Replaces `deadline_ms`."},
		{"customers[].parameters[].non_idempotent", "boolean", "", none, "Replaces `non_idempotent`."},
		{"customers[].parameters[].move_by", "time", "RFC 3339", none, "Replaces `finish_by` of the move of the route's model."},
		{"models[]", "list", "", "empty", "Models and plain services, with the limits of their pools."},
		{"models[].name", "name", "", "", "Unique among the models."},
		{"models[].kind", "string", "", "", "`engine` or `service`."},
		{"models[].headroom_percent", "integer", "%", fmt.Sprint(DefaultHeadroomPercent), fmt.Sprintf("Percentage of the capacity reserved for tier 1, up to %d.", MaxHeadroom)},
		{"models[].queue_tokens", "integer", "tokens", fmt.Sprint(DefaultQueueTokens), "Limit on queued work; for a service in requests."},
		{"models[].weight_bytes", "integer", "bytes", "no rate limit", "Bytes that one load of the model reads from the weight store. Rollouts limit the rate of their load orders by it."},
		{"models[].outstanding_limit", "integer", "tokens", "announced capacity", "Limit on outstanding work per endpoint; for a service in requests."},
	}
}

// Reference returns the reference page of the configuration as Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Configuration reference\n\n")
	b.WriteString("Generated from `brconfig.Fields` by `go test ./brconfig -run TestReference -update`.\n\n")
	b.WriteString("The configuration is one JSON document. Unknown fields and repeated fields are rejected; field names are case-sensitive. ")
	fmt.Fprintf(&b, "A name has 1 to %d characters, which may be letters, digits and `. _ - :`. ", MaxNameBytes)
	b.WriteString("Times in milliseconds are at most 24 h. All problems of a document are reported at once, each with the path of its field.\n\n")
	b.WriteString("| Field | Type | Unit | Default | Description |\n|---|---|---|---|---|\n")
	for _, f := range Fields() {
		defaultText := f.Default
		if defaultText == "" {
			defaultText = "required"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", f.Path, f.Type, f.Unit, defaultText, f.Description)
	}
	return b.String()
}
