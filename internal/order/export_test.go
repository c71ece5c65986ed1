package order

// IgnoreFlight is the switch that takes the guard against the orders of an
// earlier orderer away.
func (o *Orderer) IgnoreFlight() { o.ignoreFlight = true }
