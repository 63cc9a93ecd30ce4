package fpoperator

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fescuepoint/fescuepoint/internal/fpfollower"
	"github.com/fescuepoint/fescuepoint/pkg/fpconfig"
	"github.com/fescuepoint/fescuepoint/pkg/fprecord"
)

const (
	// patchWaitTimeout bounds how long a patch request waits until all hosts have the patch in force.
	patchWaitTimeout = 5 * time.Second
	maxPatchBytes    = 4 << 20
	bearerPrefix     = "Bearer "
)

type (
	// Backend is the host that the handler serves.
	Backend interface {
		Status() Status
		Config() (fpconfig.Versioned, []fpconfig.Patch)
		ApplyPatch(ctx context.Context, p fpconfig.Patch) (uint64, error)
		WaitForVersion(ctx context.Context, version uint64) []HostVersion
		Explain(ctx context.Context, id string) ([]fprecord.Record, []string)
		Drain()
	}

	handler struct {
		backend  Backend
		keysFile string
	}
)

// NewHandler returns the handler of the operator API. It reads the keys file at
// each request, so that a withdrawn key stops working at once.
func NewHandler(b Backend, keysFile string) http.Handler {
	h := &handler{backend: b, keysFile: keysFile}
	m := http.NewServeMux()
	m.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, b.Status()) })
	m.HandleFunc("GET /config", h.handleConfig)
	m.HandleFunc("POST /patch", h.handlePatch)
	m.HandleFunc("GET /explain/{id}", h.handleExplain)
	m.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		b.Drain()
		writeJSON(w, http.StatusAccepted, b.Status())
	})
	return h.requireOperatorKey(m)
}

// requireOperatorKey refuses requests without a known operator key and passes the operator's name
// on in the X-Operator header.
func (h *handler) requireOperatorKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		name, ok := h.operatorOfKey(r.Header.Get("Authorization"))
		if !ok {
			writeJSON(w, http.StatusUnauthorized, PatchResult{Result: Refused, Reason: "unknown operator key"})
			return
		}
		r.Header.Set("X-Operator", name)
		next.ServeHTTP(w, r)
	})
}

// operatorOfKey returns the name of the operator whose key the Authorization header carries. A line
// of the keys file holds a name and the hexadecimal SHA-256 sum of a key.
func (h *handler) operatorOfKey(authorization string) (string, bool) {
	key, ok := strings.CutPrefix(authorization, bearerPrefix)
	if !ok {
		return "", false
	}
	f, err := os.Open(h.keysFile)
	if err != nil {
		return "", false
	}
	defer func() { _ = f.Close() }()
	sum := sha256.Sum256([]byte(key))
	keyHash := hex.EncodeToString(sum[:])
	for s := bufio.NewScanner(f); s.Scan(); {
		name, hash, ok := strings.Cut(strings.TrimSpace(s.Text()), " ")
		if ok && strings.TrimSpace(hash) == keyHash {
			return name, true
		}
	}
	return "", false
}

func (h *handler) handleConfig(w http.ResponseWriter, _ *http.Request) {
	current, recent := h.backend.Config()
	writeJSON(w, http.StatusOK, ConfigAnswer{Current: current, Recent: recent})
}

func (h *handler) handleExplain(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	records, missing := h.backend.Explain(r.Context(), id)
	writeJSON(w, http.StatusOK, Explanation{RequestID: id, Records: records, Missing: missing})
}

func (h *handler) handlePatch(w http.ResponseWriter, r *http.Request) {
	var p fpconfig.Patch
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxPatchBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(&p); err != nil {
		writeJSON(w, http.StatusBadRequest, PatchResult{Result: Refused, Reason: err.Error()})
		return
	}
	if p.ID == "" {
		writeJSON(w, http.StatusBadRequest, PatchResult{Result: Refused, Reason: "the patch has no ID"})
		return
	}
	p.Author = r.Header.Get("X-Operator")
	version, err := h.backend.ApplyPatch(context.WithoutCancel(r.Context()), p)
	current, _ := h.backend.Config()
	result := PatchResult{Result: Accepted, ID: p.ID, Version: version, Current: current.Version}
	status := http.StatusOK
	if err != nil {
		result.Reason = err.Error()
		result.Result, status = classifyPatchError(err)
	}
	if result.Result == Accepted && r.URL.Query().Get("wait") != "" {
		ctx, cancel := context.WithTimeout(r.Context(), patchWaitTimeout)
		defer cancel()
		result.Hosts = h.backend.WaitForVersion(ctx, version)
	}
	writeJSON(w, status, result)
}

// classifyPatchError returns the result and the HTTP status for an error of ApplyPatch.
func classifyPatchError(err error) (string, int) {
	switch {
	case errors.Is(err, fpfollower.ErrOutcomeUnknown):
		return OutcomeUnknown, http.StatusGatewayTimeout
	case errors.Is(err, fpconfig.ErrStale):
		return Refused, http.StatusConflict
	case errors.Is(err, fpconfig.ErrInvalid):
		return Refused, http.StatusUnprocessableEntity
	default:
		return Refused, http.StatusServiceUnavailable
	}
}

// writeJSON writes v as a JSON response.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
