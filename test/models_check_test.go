package test

import (
	"github.com/anishathalye/porcupine"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sequence returns a history of operations that do not overlap, from pairs of input and
// output.
func sequence(pairs ...any) []porcupine.Operation {
	var operations []porcupine.Operation
	for i := 0; i < len(pairs); i += 2 {
		operations = append(operations, porcupine.Operation{Input: pairs[i], Output: pairs[i+1], Call: int64(2 * i), Return: int64(2*i + 1)})
	}
	return operations
}

var _ = Describe("the models of histories", func() {
	change := func(base uint64, value int) configInput { return configInput{"t", changeTeam, base, value} }
	read := configInput{team: "t", kind: readTeam}
	job := func(kind jobKind) jobInput { return jobInput{"k", kind} }

	DescribeTable("of the configuration accept right ones and refuse wrong ones",
		func(right bool, pairs ...any) {
			Expect(porcupine.CheckOperations(configModel, sequence(pairs...))).To(Equal(right))
		},
		Entry("a lost race", true, change(0, 1), configOutput{revision: 5, value: 1}, change(0, 2), configOutput{refused: true}, read, configOutput{revision: 5, value: 1}),
		Entry("two winners", false, change(0, 1), configOutput{revision: 5}, change(0, 2), configOutput{revision: 6}),
		Entry("a change that reverted", false, change(0, 1), configOutput{revision: 5}, change(5, 2), configOutput{revision: 6}, read, configOutput{revision: 5, value: 1}),
		Entry("a refusal without cause", false, change(0, 1), configOutput{refused: true}),
	)

	DescribeTable("of jobs accept right ones and refuse wrong ones",
		func(right bool, pairs ...any) {
			Expect(porcupine.CheckOperations(jobModel.ToModel(), sequence(pairs...))).To(Equal(right))
		},
		Entry("a job that ends", true, job(createJob), jobOutput{state: "open"}, job(sealJob), jobOutput{state: "sealed"},
			job(readState), jobOutput{state: "done"}, job(cancelJob), jobOutput{refused: true}, job(createJob), jobOutput{state: "done"}),
		Entry("a cancelled job that goes on", false, job(createJob), jobOutput{state: "open"}, job(sealJob), jobOutput{state: "sealed"},
			job(cancelJob), jobOutput{state: "cancelled"}, job(readState), jobOutput{state: "done"}),
		Entry("a lost job", false, job(createJob), jobOutput{state: "open"}, job(readState), jobOutput{refused: true}),
		Entry("a job that ended and goes on", false, job(createJob), jobOutput{state: "open"}, job(sealJob), jobOutput{state: "done"}, job(readState), jobOutput{state: "sealed"}),
	)
})
