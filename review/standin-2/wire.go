package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed wire.json
var wireData []byte

// wire holds the platform's names for headers, calls and the variable of the settings file.
var wire = func() map[string]string {
	names := map[string]string{}
	if err := json.Unmarshal(wireData, &names); err != nil {
		panic(err)
	}
	return names
}()

// batchDocument is the desired state of the batch site: one route for batch jobs.
//
//go:embed desired.json
var batchDocument string
