package brconfig

import (
	"fmt"
	"strings"
)

// Field describes one field of a document for the reference page.
type Field struct {
	Path        string // such as customers[].weight
	Type        string
	Unit        string // empty when the value has none
	Default     string // empty when the field is required
	Description string
}

// Fields returns the description of every field of a document, in the order of
// the types.
func Fields() []Field {
	const none = "none"
	return []Field{
		{"templates[]", "list", "", "empty", "Sets of routes that several customers share."},
		{"templates[].name", "name", "", "", "Unique among the templates."},
		{"templates[].routes[]", "list", "", "", "Kinds of work; at least one."},
		{"templates[].routes[].name", "name", "", "", "Unique in the template. Callers state it in the field or header `route`."},
		{"templates[].routes[].model", "name", "", "", "A model or plain service of `models`. A caller that states no route gets the first route of its model."},
		{"templates[].routes[].tier", "integer", "", "", "Priority, 1 (highest) to 5."},
		{"templates[].routes[].first_token_ms", "integer", "ms", "", "Target for the first token, or for the answer of a service."},
		{"templates[].routes[].token_ms", "integer", "ms", "0 (no target)", "Target for the mean time between tokens."},
		{"templates[].routes[].deadline_ms", "integer", "ms", "", "A first token later than this is worth nothing. At least `first_token_ms`."},
		{"templates[].routes[].stuck_ms", "integer", "ms", "setting `stuck_timeout`", "A stream without a token for this long is ended with `stuck`."},
		{"templates[].routes[].max_tokens", "integer", "tokens", fmt.Sprint(DefaultMaxTokens), "Bound on what a request may ask for."},
		{"templates[].routes[].non_idempotent", "boolean", "", "false", "The request runs at most once and is recorded in the ledger."},
		{"templates[].moves[]", "list", "", "empty", "Version changes; one per model, and the same versions in all templates."},
		{"templates[].moves[].model", "name", "", "", "The model that changes its version."},
		{"templates[].moves[].from", "name", "", "", "The version that serves at present."},
		{"templates[].moves[].to", "name", "", "", "The version to move to; differs from `from`."},
		{"templates[].moves[].finish_by", "time", "RFC 3339", "", "A move that has not finished by then is taken back. The earliest date over all customers counts."},
		{"customers[]", "list", "", "empty", "Organisations whose requests are served."},
		{"customers[].name", "name", "", "", "Unique among the customers."},
		{"customers[].template", "name", "", "", "The template whose routes the customer uses."},
		{"customers[].keys[]", "list of strings", "", "", fmt.Sprintf("Accepted bearer keys, 1 to %d, each unique over all customers.", MaxKeys)},
		{"customers[].weight", "integer", "", fmt.Sprint(DefaultWeight), fmt.Sprintf("Share inside a tier relative to other customers, up to %d.", MaxWeight)},
		{"customers[].parameters[]", "list", "", "empty", "Values that replace those of the template's routes; at most one entry per route."},
		{"customers[].parameters[].route", "name", "", "", "A route of the customer's template."},
		{"customers[].parameters[].tier", "integer", "", none, "Replaces `tier`."},
		{"customers[].parameters[].first_token_ms", "integer", "ms", none, "Replaces `first_token_ms`."},
		{"customers[].parameters[].token_ms", "integer", "ms", none, "Replaces `token_ms`."},
		{"customers[].parameters[].deadline_ms", "integer", "ms", none, "Replaces `deadline_ms`."},
		{"customers[].parameters[].non_idempotent", "boolean", "", none, "Replaces `non_idempotent`."},
		{"customers[].parameters[].move_by", "time", "RFC 3339", none, "Replaces `finish_by` of the move of the route's model."},
		{"models[]", "list", "", "empty", "Limits of the pools of a model or a plain service."},
		{"models[].name", "name", "", "", "Unique among the models."},
		{"models[].kind", "string", "", "", "`engine` or `service`."},
		{"models[].headroom_percent", "integer", "%", fmt.Sprint(DefaultHeadroomPercent), fmt.Sprintf("Part of the capacity kept for tier 1, up to %d.", MaxHeadroom)},
		{"models[].queue_tokens", "integer", "tokens", fmt.Sprint(DefaultQueueTokens), "Bound on queued work; for a service in requests."},
		{"models[].weight_bytes", "integer", "bytes", "not paced", "Read from the weight store by one load of the model; rollouts pace their orders by it."},
		{"models[].outstanding_limit", "integer", "tokens", "announced capacity", "Bound on outstanding work per endpoint; for a service in requests."},
	}
}

// Reference returns the reference page of the configuration as Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Configuration reference\n\n")
	b.WriteString("Generated from `brconfig.Fields` by `go test ./brconfig -run TestReference -update`.\n\n")
	b.WriteString("The configuration is one JSON document. Unknown fields, fields in another case and fields given twice are refused. ")
	fmt.Fprintf(&b, "A name has 1 to %d letters, digits and characters of `. _ - :`. ", MaxNameBytes)
	b.WriteString("Times in milliseconds are at most 24 h. All problems of a document are reported at once, each with its path.\n\n")
	b.WriteString("| Field | Type | Unit | Default | Description |\n|---|---|---|---|---|\n")
	for _, f := range Fields() {
		standard := f.Default
		if standard == "" {
			standard = "required"
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", f.Path, f.Type, f.Unit, standard, f.Description)
	}
	return b.String()
}
