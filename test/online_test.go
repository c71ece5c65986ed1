package test

import (
	"errors"
	"io"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sashabaranov/go-openai"

	"slateway.example/slateway/standin/engine"
)

var _ = Describe("a caller with an OpenAI client", func() {
	It("gets plain and streamed answers with another base address and key only", func(ctx SpecContext) {
		fleet, _ := startGuild(ctx, 1)
		config := openai.DefaultConfig(token)
		config.BaseURL = "http://" + fleet.VMs[1].Callers + "/v1"
		client := openai.NewClientWithConfig(config)
		request := openai.ChatCompletionRequest{
			Model:               model,
			MaxCompletionTokens: 20,
			Messages:            []openai.ChatCompletionMessage{{Role: openai.ChatMessageRoleUser, Content: "headlines of today"}},
		}

		plain, err := client.CreateChatCompletion(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		Expect(plain.Choices[0].Message.Content).To(Equal(engine.Answer("headlines of today", 20)))
		Expect(plain.Usage.CompletionTokens).To(Equal(20))

		stream, err := client.CreateChatCompletionStream(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		defer stream.Close()
		var text strings.Builder
		for {
			chunk, err := stream.Recv()
			if errors.Is(err, io.EOF) {
				break
			}
			Expect(err).NotTo(HaveOccurred())
			text.WriteString(chunk.Choices[0].Delta.Content)
		}
		Expect(text.String()).To(Equal(engine.Answer("headlines of today", 20)))

		completion, err := client.CreateCompletion(ctx, openai.CompletionRequest{Model: model, Prompt: "digest", MaxTokens: 3})
		Expect(err).NotTo(HaveOccurred())
		Expect(completion.Choices[0].Text).To(Equal(engine.Answer("digest", 3)))

		request.Model = "unknown"
		_, err = client.CreateChatCompletion(ctx, request)
		var refused *openai.APIError
		Expect(errors.As(err, &refused)).To(BeTrue(), "%v", err)
		Expect(refused.HTTPStatusCode).To(BeNumerically("<", 500))
	}, NodeTimeout(2*waitTimeout))
})
