package order

// IgnoreInFlight turns off the protection against in-flight orders of an earlier orderer.
func (o *Orderer) IgnoreInFlight() { o.ignoreInFlight = true }
