package fpstandin

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/fescuepoint/fescuepoint/internal/fpengine"
	"github.com/fescuepoint/fescuepoint/pkg/fpprefix"
)

// exportBlock copies a newly stored block to the cache store in the background.
func (e *Engine) exportBlock(v fpengine.Event) {
	if e.settings.CacheStoreAddress == "" || v.Kind != fpengine.BlockStored {
		return
	}
	go func() { _ = e.requestBlock(context.Background(), http.MethodPut, v.BlockKey) }()
}

// importBlocks adds the leading blocks that the cache store holds to the engine's cache.
func (e *Engine) importBlocks(ctx context.Context, keys []fpprefix.Key) {
	if e.settings.CacheStoreAddress == "" {
		return
	}
	n := 0
	for n < len(keys) && e.requestBlock(ctx, http.MethodGet, keys[n]) {
		n++
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.engine.ImportBlocks(keys[:n])
}

// requestBlock puts or gets one block and reports whether the cache store answered 200.
func (e *Engine) requestBlock(ctx context.Context, method string, k fpprefix.Key) bool {
	url := "http://" + e.settings.CacheStoreAddress + "/blocks/" + strconv.FormatUint(uint64(k), 16)
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader("block"))
	if err != nil {
		return false
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	return res.Body.Close() == nil && res.StatusCode == http.StatusOK
}
