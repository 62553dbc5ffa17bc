package operatorhttp

import (
	"net/http"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/node/configsync"
)

// refuseMoveItem refuses a change of a move's item, and tells whether it did. A move is
// written by the routers after the checks of a proposal, which a plain change would skip;
// a deletion would undo what was rolled back.
func refuseMoveItem(w http.ResponseWriter, r *http.Request) bool {
	if key(r).Kind != configuration.KindMove {
		return false
	}
	const message = "a move is not changed as an item: use agatectl version move or agatectl version back"
	failResult(w, configsync.Result{
		Refusal:  fleet.Refuse(fleet.CodeInvalid, message, 0),
		Problems: []configuration.Problem{{Field: "kind", Message: message}},
	})
	return true
}
