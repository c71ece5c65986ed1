// Command slatewayd is slateway's daemon.
package main

func main() {}
