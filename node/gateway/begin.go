package gateway

// recordBegin records that an upstream has begun to run the request: its first event or a signed answer has come. A request counts once,
// however often it is tried or resumed, and on the router that its caller has called.
func (c *callerRequest) recordBegin() {
	if c.hasBegun || c.from != "" || c.call.ResumeAfter != "" || c.gateway.Begin == nil {
		return
	}
	c.hasBegun = true
	c.gateway.Begin(c.teamName())
}
