package main

import (
	_ "embed" // for the files below
	"encoding/json"
	"fmt"
)

//go:embed wire.json
var wireFile []byte

//go:embed desired.json
var desiredState string

// wire holds the names of headers, calls and fields on the users' platform.
var wire = func() (names map[string]string) {
	if err := json.Unmarshal(wireFile, &names); err != nil {
		panic(err) // the file is part of the program
	}
	return names
}()

// document returns a desired state. The batch route leads to the given service.
func document(version int, batchService string) string {
	return fmt.Sprintf(desiredState, version, batchService)
}
