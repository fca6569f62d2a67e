package brload

import (
	"bramleyroute/brconfig"
)

// Tiers is the number of tiers; tier 1 is the highest.
const Tiers = brconfig.Tiers

// Range is an inclusive range of tokens.
type Range struct{ Min, Max int }

// Class is a class of requests in a Mix.
type Class struct {
	Route      string
	Tier       int
	Share      float64 // share of the arrivals, relative to the other classes
	Prefix     int     // prompt tokens shared by the requests of a template
	Templates  int     // number of distinct prefixes; at least 1
	Body       Range   // prompt tokens after the prefix
	Output     Range   // response tokens
	DeadlineMS int
}

// Customer is an organization that sends requests.
type Customer struct {
	Name  string
	Key   string  // API key
	Share float64 // share of the arrivals, relative to the other customers
}

// Mix is the composition of the arrivals.
type Mix struct {
	Model     string
	Salt      string // prepended to every prompt; prompts with different salts share no prefix
	Classes   []Class
	Customers []Customer
}

// Model is the name of the model in the built-in mixes.
const Model = "model-a"

// maxOutput is the token limit of the routes that Document configures.
const maxOutput = 100_000

// StandardMix returns the mix of the experiments: short questions of travelers in
// tier 1, summaries in tier 2, drafts in tier 4 and proof reviews in tier 5. The
// prompts of some proof reviews are about a hundred times longer than those of
// questions. Two of the five customers send three quarters of the requests.
func StandardMix() Mix {
	return Mix{
		Model: Model,
		Classes: []Class{
			{Route: "question", Tier: 1, Share: 15, Prefix: 128, Templates: 8, Body: Range{20, 80}, Output: Range{8, 24}, DeadlineMS: 1500},
			{Route: "summary", Tier: 2, Share: 25, Prefix: 256, Templates: 8, Body: Range{200, 800}, Output: Range{16, 48}, DeadlineMS: 3000},
			{Route: "draft", Tier: 4, Share: 58, Prefix: 512, Templates: 12, Body: Range{50, 400}, Output: Range{30, 100}, DeadlineMS: 5000},
			{Route: "proof", Tier: 5, Share: 1.5, Prefix: 2048, Templates: 4, Body: Range{1000, 3000}, Output: Range{40, 120}, DeadlineMS: 8000},
			{Route: "proof", Tier: 5, Share: 0.5, Prefix: 2048, Templates: 4, Body: Range{16_000, 20_000}, Output: Range{40, 120}, DeadlineMS: 8000},
		},
		Customers: customers(),
	}
}

// PrefixMix returns the mix of the prefill experiment. Its prompts consist mostly of
// shared prefixes. All prefixes together exceed the cache of one engine of the
// experiments, but fit in the caches of all four.
func PrefixMix() Mix {
	m := StandardMix()
	m.Classes = []Class{
		{Route: "question", Tier: 1, Share: 20, Prefix: 256, Templates: 8, Body: Range{20, 60}, Output: Range{8, 24}, DeadlineMS: 1500},
		{Route: "draft", Tier: 4, Share: 60, Prefix: 1024, Templates: 24, Body: Range{20, 60}, Output: Range{30, 100}, DeadlineMS: 5000},
		{Route: "proof", Tier: 5, Share: 20, Prefix: 4096, Templates: 12, Body: Range{20, 60}, Output: Range{40, 120}, DeadlineMS: 8000},
	}
	return m
}

// WithRoutes returns the mix restricted to the classes of the given routes.
func (m Mix) WithRoutes(routes ...string) Mix {
	var selected []Class
	for _, c := range m.Classes {
		for _, r := range routes {
			if c.Route == r {
				selected = append(selected, c)
			}
		}
	}
	m.Classes = selected
	return m
}

// MeanTokens returns the mean number of tokens of a request, prompt and response
// together.
func (m Mix) MeanTokens() float64 {
	sum, totalShare := 0.0, 0.0
	for _, c := range m.Classes {
		totalShare += c.Share
		sum += c.Share * (float64(c.Prefix) + float64(c.Body.Min+c.Body.Max+c.Output.Min+c.Output.Max)/2)
	}
	return sum / totalShare
}

func customers() []Customer {
	return []Customer{
		{Name: "large-a", Key: "customer-key-large-a", Share: 45},
		{Name: "large-b", Key: "customer-key-large-b", Share: 30},
		{Name: "small-a", Key: "customer-key-small-a", Share: 9},
		{Name: "small-b", Key: "customer-key-small-b", Share: 8},
		{Name: "small-c", Key: "customer-key-small-c", Share: 8},
	}
}

// Document returns a configuration with the model, routes and customers of m.
func (m Mix) Document() brconfig.Document {
	t := brconfig.Template{Name: "load"}
	seen := map[string]bool{}
	for _, c := range m.Classes {
		if seen[c.Route] {
			continue
		}
		seen[c.Route] = true
		t.Routes = append(t.Routes, brconfig.Route{Name: c.Route, Model: m.Model, Tier: c.Tier,
			FirstTokenMS: c.DeadlineMS, DeadlineMS: c.DeadlineMS, MaxTokens: maxOutput})
	}
	d := brconfig.Document{Models: []brconfig.Model{{Name: m.Model, Kind: "engine"}}, Templates: []brconfig.Template{t}}
	for _, c := range m.Customers {
		d.Customers = append(d.Customers, brconfig.Customer{Name: c.Name, Template: t.Name, Keys: []string{c.Key}})
	}
	return d
}
