package fpplatform

const (
	// EventDelete is the type of an event that deleted its key.
	EventDelete        = "DELETE"
	compareModRevision = "MOD"
	compareEqual       = "EQUAL"
)

type (
	// KeyValue is a stored key in the protocol's encoding.
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

	// RangeRequest reads the keys from Key up to but not including RangeEnd, or only Key
	// if RangeEnd is empty; Limit 0 means no limit.
	RangeRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
		Limit    int64  `json:"limit,string,omitempty"`
	}

	// RangeResponse is the response to a RangeRequest.
	RangeResponse struct {
		Header    Header     `json:"header"`
		KeyValues []KeyValue `json:"kvs,omitempty"`
		More      bool       `json:"more,omitempty"`
	}

	// PutRequest writes one key and attaches it to Lease unless that is 0.
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

	// DeleteRequest deletes one key.
	DeleteRequest struct {
		Key []byte `json:"key"`
	}

	// Operation is one write of a transaction; exactly one of its fields is set.
	Operation struct {
		Put    *PutRequest    `json:"requestPut,omitempty"`
		Delete *DeleteRequest `json:"requestDeleteRange,omitempty"`
	}

	// TransactionRequest applies the operations of Success if all comparisons hold.
	TransactionRequest struct {
		Compare []Compare   `json:"compare"`
		Success []Operation `json:"success"`
	}

	// TransactionResponse reports whether the comparisons held.
	TransactionResponse struct {
		Header    Header `json:"header"`
		Succeeded bool   `json:"succeeded,omitempty"`
	}

	// LeaseRequest grants, renews or revokes a lease; TTL is in seconds.
	LeaseRequest struct {
		ID  int64 `json:"ID,string"`
		TTL int64 `json:"TTL,string,omitempty"`
	}

	// LeaseResponse describes a lease; TTL 0 means that it has ended.
	LeaseResponse struct {
		Header Header `json:"header"`
		ID     int64  `json:"ID,string"`
		TTL    int64  `json:"TTL,string,omitempty"`
	}

	// KeepAliveResponse wraps the response to a renewal.
	KeepAliveResponse struct {
		Result LeaseResponse `json:"result"`
	}

	// WatchRequest starts a watch.
	WatchRequest struct {
		Create WatchCreate `json:"create_request"`
	}

	// WatchCreate selects the keys, as a RangeRequest does, and the first revision to return.
	WatchCreate struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end,omitempty"`
		StartRevision int64  `json:"start_revision,string"`
	}

	// WatchResponse is one message of a watch's response stream.
	WatchResponse struct {
		Result WatchResult `json:"result"`
	}

	// WatchResult reports that the watch was created or canceled, carries events, or reports
	// that the history before CompactRevision has been compacted.
	WatchResult struct {
		Header          Header  `json:"header"`
		Created         bool    `json:"created,omitempty"`
		Canceled        bool    `json:"canceled,omitempty"`
		CompactRevision int64   `json:"compact_revision,string,omitempty"`
		Events          []Event `json:"events,omitempty"`
	}

	// Event is one change of a key; Type is EventDelete for a deletion and empty for a put.
	Event struct {
		Type     string   `json:"type,omitempty"`
		KeyValue KeyValue `json:"kv"`
	}
)
