package operatorhttp

import (
	"net/http"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/node/configsync"
)

// refuseMoveItem refuses a change of a move's item and reports whether it did. Routers write a move
// after the checks of a proposal, which a direct change would skip. A deletion would undo a
// rollback.
func refuseMoveItem(w http.ResponseWriter, r *http.Request) bool {
	if itemKey(r).Kind != configuration.KindMove {
		return false
	}
	const message = "a move is not changed as an item: use agatectl version move or agatectl version back"
	failResult(w, configsync.Result{
		Refusal:  fleet.Refuse(fleet.CodeInvalid, message, 0),
		Problems: []configuration.Problem{{Field: "kind", Message: message}},
	})
	return true
}
