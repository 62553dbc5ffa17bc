package rig

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"

	"agateswitch/platform/standin"
)

// maxPageBytes is how many bytes of values a page of kv-range has at most, unless its first item has more.
const maxPageBytes = 1 << 20

// page is an answer of kv-range.
type page struct {
	Items   []standin.Item `json:"items"`
	HasMore bool           `json:"has_more"`
	AsOf    int64          `json:"as_of"`
}

// PagedStore returns the store's handler for one host, with pages of kv-range as the platform bounds them. The stand-in bounds them by the
// number of items only, so that what is left of its page is kept for the next ones of the same listing.
func PagedStore(store *standin.Store, host string) http.Handler {
	whole := store.HandlerFor(host)
	var mu sync.Mutex
	kept := map[string]page{}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/kv-range" {
			whole.ServeHTTP(w, r)
			return
		}
		prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
		mu.Lock()
		defer mu.Unlock()
		rest, found := kept[prefix+" "+after]
		delete(kept, prefix+" "+after)
		if !found {
			recorder := httptest.NewRecorder()
			whole.ServeHTTP(recorder, r)
			if recorder.Code != http.StatusOK || json.Unmarshal(recorder.Body.Bytes(), &rest) != nil {
				panic(http.ErrAbortHandler)
			}
		}
		now, size := rest, 0
		for i, item := range rest.Items {
			if size += len(item.Value); size > maxPageBytes && i > 0 {
				now.Items, now.HasMore = rest.Items[:i], true
				rest.Items = rest.Items[i:]
				kept[prefix+" "+now.Items[i-1].Key] = rest
				break
			}
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Store-Era", strconv.FormatInt(store.Era(), 10))
		_ = json.NewEncoder(w).Encode(now)
	})
}
