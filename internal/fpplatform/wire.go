package fpplatform

const (
	// EventDelete is the type of an event that removed its key.
	EventDelete = "DELETE"
	compareMod  = "MOD"
	equal       = "EQUAL"
)

type (
	// KeyValue is a stored key as the protocol writes it.
	KeyValue struct {
		Key            []byte `json:"key"`
		Value          []byte `json:"value,omitempty"`
		CreateRevision int64  `json:"create_revision,string,omitempty"`
		ModRevision    int64  `json:"mod_revision,string"`
		Lease          int64  `json:"lease,string,omitempty"`
	}

	// Header carries the store's revision.
	Header struct {
		Revision int64 `json:"revision,string"`
	}

	// RangeRequest reads the keys from Key up to and without RangeEnd, or one key
	// when that is empty; Limit 0 reads all.
	RangeRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
		Limit    int64  `json:"limit,string,omitempty"`
	}

	// RangeResponse is the answer to a RangeRequest.
	RangeResponse struct {
		Header    Header     `json:"header"`
		KeyValues []KeyValue `json:"kvs,omitempty"`
		More      bool       `json:"more,omitempty"`
	}

	// PutRequest writes one key, bound to a lease when one is given.
	PutRequest struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string,omitempty"`
	}

	// Compare is the condition of a transaction; only EQUAL on MOD is used.
	Compare struct {
		Key         []byte `json:"key"`
		Target      string `json:"target"`
		Result      string `json:"result"`
		ModRevision int64  `json:"mod_revision,string"`
	}

	// DeleteRequest removes one key.
	DeleteRequest struct {
		Key []byte `json:"key"`
	}

	// Operation is one step of a transaction.
	Operation struct {
		Put    *PutRequest    `json:"requestPut,omitempty"`
		Delete *DeleteRequest `json:"requestDeleteRange,omitempty"`
	}

	// TransactionRequest writes if all comparisons hold.
	TransactionRequest struct {
		Compare []Compare   `json:"compare"`
		Success []Operation `json:"success"`
	}

	// TransactionResponse tells whether the comparisons held.
	TransactionResponse struct {
		Header    Header `json:"header"`
		Succeeded bool   `json:"succeeded,omitempty"`
	}

	// LeaseRequest grants, keeps alive or revokes a lease; TTL is in seconds.
	LeaseRequest struct {
		ID  int64 `json:"ID,string"`
		TTL int64 `json:"TTL,string,omitempty"`
	}

	// LeaseResponse is the answer to a grant; TTL 0 means that the lease is gone.
	LeaseResponse struct {
		Header Header `json:"header"`
		ID     int64  `json:"ID,string"`
		TTL    int64  `json:"TTL,string,omitempty"`
	}

	// KeepAliveResponse wraps the answer to a keep-alive.
	KeepAliveResponse struct {
		Result LeaseResponse `json:"result"`
	}

	// WatchRequest waits for events from a revision on.
	WatchRequest struct {
		Create WatchCreate `json:"create_request"`
	}

	// WatchCreate names the keys, as a RangeRequest does, and the first revision of interest.
	WatchCreate struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end,omitempty"`
		StartRevision int64  `json:"start_revision,string"`
	}

	// WatchResponse is one line of a watch's answer.
	WatchResponse struct {
		Result WatchResult `json:"result"`
	}

	// WatchResult says that the watch was created, carries its events, or says
	// that the history before CompactRevision is gone.
	WatchResult struct {
		Header          Header  `json:"header"`
		Created         bool    `json:"created,omitempty"`
		Canceled        bool    `json:"canceled,omitempty"`
		CompactRevision int64   `json:"compact_revision,string,omitempty"`
		Events          []Event `json:"events,omitempty"`
	}

	// Event is one change of a key; Type DELETE or empty for a put.
	Event struct {
		Type     string   `json:"type,omitempty"`
		KeyValue KeyValue `json:"kv"`
	}
)
