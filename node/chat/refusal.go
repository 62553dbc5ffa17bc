package chat

import (
	"time"

	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
)

// retryAfter is the wait that callers are advised to make after a failed request.
const retryAfter = time.Second

// messages are the human-readable descriptions of faults in refusals.
var messages = map[exchange.Fault]string{
	exchange.FaultUnreachable:    "the engine cannot be reached",
	exchange.FaultLost:           "the connection to the engine was lost",
	exchange.FaultSilent:         "the engine has gone silent, over fresh connections too",
	exchange.FaultStalled:        "the engine keeps its connections open but makes no progress",
	exchange.FaultMismatched:     "the engine sent another request's answer",
	exchange.FaultTruncated:      "the engine's answer was cut short",
	exchange.FaultUnframed:       "the engine's answer does not show where it ends",
	exchange.FaultGap:            "a part of the engine's answer is missing",
	exchange.FaultMalformed:      "the engine's answer is not in the chat-completions format",
	exchange.FaultTooLarge:       "the engine's answer is too large",
	exchange.FaultRequestUnknown: "the engine does not know the request any more",
	exchange.FaultRejected:       "the engine rejected the request",
}

func refusalOf(failure exchange.Failure) *fleet.Refusal {
	message, found := messages[failure.Fault]
	if !found {
		message = "the engine failed the request"
	}
	return &fleet.Refusal{
		Code: failure.Code(), Message: message, Ran: failure.Ran(), RetryAfter: retryAfter,
	}
}
