package brengine

// Headers of requests and answers.
const (
	HeaderRequestID = "Request-Id"       // UUIDv7 of the request
	HeaderRoute     = "Route"            // route of a call to a plain service
	HeaderDeadline  = "Deadline-Ms"      // from callers: milliseconds left, if fewer than the route's deadline
	HeaderEntry     = "Bramley-Entry"    // daemon that held the request
	HeaderEndpoint  = "Bramley-Endpoint" // endpoint that ran it
	HeaderRevision  = "Bramley-Revision" // configuration revision it was admitted under
)

// Paths of the interface.
const (
	PathCompletions = "/v1/completions"
	PathRequests    = "/v1/requests/" // followed by the request id; GET resumes, DELETE cancels
	PathOrders      = "/v1/orders"
	PathState       = "/v1/state"
	PathAnnounce    = "/v1/announce"  // on the peer listener of a daemon
	PathServices    = "/v1/services/" // on the caller listener; followed by the service name and its path
)

// DoneMarker is the data of the event that ends a stream.
const DoneMarker = "[DONE]"

// Completion is the body of a completion request.
type Completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Route     string `json:"route,omitempty"` // only from callers
}

// Chunk is one event of a completion stream, and with all text in one choice
// the body of an answer that isn't streamed.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"` // "text_completion"
	Model   string   `json:"model"`
	Version string   `json:"version,omitempty"`
	Offset  int      `json:"offset"` // index of the first token of this chunk
	Tokens  int      `json:"tokens"` // number of tokens in this chunk
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"` // in the last chunk
}

// Choice carries the text of a chunk.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"` // "stop", "length" or "canceled" in the last chunk
}

// Usage counts the tokens of a whole request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"` // of PromptTokens, served from the prefix cache
	CompletionTokens int `json:"completion_tokens"`
}

// OrderKind names what an order asks an endpoint to do.
type OrderKind string

// The kinds of order.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadVersion OrderKind = "load_version"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderChangeRole  OrderKind = "change_role"
	OrderExportKV    OrderKind = "export_kv"
	OrderImportKV    OrderKind = "import_kv"
	OrderLeave       OrderKind = "leave"
)

// Order asks an endpoint to change its state. Endpoints that check fencing
// refuse a token below the highest that they have seen; others ignore it.
type Order struct {
	OrderID      string    `json:"order_id"`
	Kind         OrderKind `json:"kind"`
	Model        string    `json:"model,omitempty"`
	Version      string    `json:"version,omitempty"`
	Adapter      string    `json:"adapter,omitempty"`
	Role         string    `json:"role,omitempty"`
	Prefix       uint64    `json:"prefix,omitempty"` // hash of the prefix to export or import
	Peer         string    `json:"peer,omitempty"`   // host:port of the endpoint to import from
	FencingToken uint64    `json:"fencing_token"`
}

// State is what an endpoint answers when its state is read back.
type State struct {
	EndpointID   string   `json:"endpoint_id"`
	Model        string   `json:"model"`
	Version      string   `json:"version"`
	Loading      string   `json:"loading,omitempty"` // version being loaded
	Adapters     []string `json:"adapters,omitempty"`
	Role         string   `json:"role,omitempty"`
	FencingToken uint64   `json:"fencing_token"` // highest seen; 0 where tokens are ignored
	LastOrderID  string   `json:"last_order_id,omitempty"`
	Leaving      bool     `json:"leaving"`
}

// Error is the JSON body of a failed request, of engines and towards callers.
type Error struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody names the kind of a failure and what became of the request.
type ErrorBody struct {
	Kind            string `json:"kind"`
	Message         string `json:"message"`
	Field           string `json:"field,omitempty"`
	Outcome         string `json:"outcome"`
	RetryAfterMS    int64  `json:"retry_after_ms,omitempty"`
	RequestID       string `json:"request_id,omitempty"`
	EntryID         string `json:"entry_id,omitempty"`
	EndpointAddress string `json:"endpoint_address,omitempty"`
}
