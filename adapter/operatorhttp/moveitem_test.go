package operatorhttp_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"agateswitch/adapter/operatorhttp"
	"agateswitch/core/fleet"
	"agateswitch/node/configsync"
	"agateswitch/port"
	"agateswitch/standin/store"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

const token = "operatorhttp-test-token"

// A move can begin or be rolled back only with its checks: a PUT or DELETE of its item does not
// reach the store, and the answer names the command to use.
func TestMoveItemsAreNotChangedDirectly(t *testing.T) {
	direct := store.NewDirect()
	server := &operatorhttp.Server{
		Token: token, Config: configsync.New(direct, port.Telemetry{Log: log.New(io.Discard)}),
	}
	for _, method := range []string{http.MethodPut, http.MethodDelete} {
		for _, query := range []string{"", "?dry_run=true", "?force=true"} {
			t.Run(method+query, func(t *testing.T) {
				request := httptest.NewRequest(method, operatorhttp.PathConfig+"/move/farrier-lm"+query, strings.NewReader("{}"))
				request.Header.Set("Authorization", "Bearer "+token)
				recorder := httptest.NewRecorder()
				server.Handler().ServeHTTP(recorder, request)
				must.Eq(t, http.StatusUnprocessableEntity, recorder.Code)
				var failure operatorhttp.Failure
				must.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &failure))
				must.Eq(t, fleet.CodeInvalid, failure.Code)
				must.StrContains(t, failure.Message, "agatectl version")
			})
		}
	}
	must.Eq(t, 0, direct.Calls().Writes)
}
