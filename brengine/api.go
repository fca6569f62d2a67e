package brengine

// Headers of requests and responses.
const (
	HeaderRequestID = "Request-Id"       // UUIDv7 of the request
	HeaderRoute     = "Route"            // route of a call of a plain service
	HeaderDeadline  = "Deadline-Ms"      // set by callers: remaining time in milliseconds, if shorter than the route's deadline
	HeaderEntry     = "Bramley-Entry"    // ID of the daemon that held the request
	HeaderEndpoint  = "Bramley-Endpoint" // ID of the endpoint that ran the request
	HeaderRevision  = "Bramley-Revision" // revision of the configuration that admitted the request
)

// HTTP paths.
const (
	PathCompletions = "/v1/completions"
	PathRequests    = "/v1/requests/" // followed by the request ID; GET resumes, DELETE cancels
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
	Route     string `json:"route,omitempty"` // set only by callers
}

// Chunk is the data of one event of a completion stream. It is also the body of a
// response that isn't streamed, with the complete text in one choice.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"` // "text_completion"
	Model   string   `json:"model"`
	Version string   `json:"version,omitempty"`
	Offset  int      `json:"offset"` // index of the first token of this chunk
	Tokens  int      `json:"tokens"` // number of tokens in this chunk
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"` // set only in the last chunk
}

// Choice contains the text of a chunk.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"` // "stop", "length" or "canceled"; set only in the last chunk
}

// Usage holds the token counts of a complete request.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CachedTokens     int `json:"cached_tokens"` // number of PromptTokens that were read from the prefix cache
	CompletionTokens int `json:"completion_tokens"`
}

// OrderKind is the kind of an order.
type OrderKind string

// Kinds of orders.
const (
	OrderLoadModel   OrderKind = "load_model"
	OrderLoadVersion OrderKind = "load_version"
	OrderLoadAdapter OrderKind = "load_adapter"
	OrderChangeRole  OrderKind = "change_role"
	OrderExportKV    OrderKind = "export_kv"
	OrderImportKV    OrderKind = "import_kv"
	OrderLeave       OrderKind = "leave"
)

// Order is a command to an endpoint to change its state. Endpoints that check fencing
// tokens refuse an order whose token is lower than the highest one received; other
// endpoints ignore the token.
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

// State is the state that an endpoint reports at PathState.
type State struct {
	EndpointID   string   `json:"endpoint_id"`
	Model        string   `json:"model"`
	Version      string   `json:"version"`
	Loading      string   `json:"loading,omitempty"` // version that is being loaded
	Adapters     []string `json:"adapters,omitempty"`
	Role         string   `json:"role,omitempty"`
	FencingToken uint64   `json:"fencing_token"` // highest token received; 0 if the endpoint ignores tokens
	LastOrderID  string   `json:"last_order_id,omitempty"`
	Leaving      bool     `json:"leaving"`
}

// Error is the JSON body of an error response, of engines and of the entry.
type Error struct {
	Error ErrorBody `json:"error"`
}

// ErrorBody describes an error and the outcome of the request.
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
