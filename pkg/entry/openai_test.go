package entry_test

import (
	"context"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/skylarkloom/skylarkloom/pkg/fleet"
)

const chatFields = `"model":"plume","messages":[{"role":"user","content":"A tale, please"}]`

// openAIClient returns the official OpenAI client, without retries.
func (e *fixture) openAIClient(key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(e.server.URL+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:       model,
		Messages:    []openai.ChatCompletionMessageParamUnion{openai.UserMessage("A tale, please")},
		Temperature: openai.Float(0.2),
		Seed:        openai.Int(7),
		User:        openai.String("parent"),
	}
}

var _ = Describe("The official OpenAI client", func() {
	It("chats, completes, streams with usage and lists models", func(ctx context.Context) {
		c := newFixture().openAIClient("one")
		text := strings.Join(tokens, "")
		chat, err := c.Chat.Completions.New(ctx, chatParams("plume"))
		Expect(err).NotTo(HaveOccurred())
		Expect(chat.Choices[0].Message.Content).To(Equal(text))
		Expect(chat.Choices[0].FinishReason).To(Equal("stop"))
		Expect(chat.Usage.TotalTokens).To(Equal(int64(7 + len(tokens))))

		q := chatParams("plume")
		q.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := c.Chat.Completions.NewStreaming(ctx, q)
		var accumulated openai.ChatCompletionAccumulator
		for stream.Next() {
			Expect(accumulated.AddChunk(stream.Current())).To(BeTrue())
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(accumulated.Choices[0].Message.Content).To(Equal(text))
		Expect(accumulated.Choices[0].FinishReason).To(Equal("stop"))
		Expect(accumulated.Usage.CompletionTokens).To(Equal(int64(len(tokens))))

		p := openai.CompletionNewParams{Model: "plume", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("Once")}}
		completion, err := c.Completions.New(ctx, p)
		Expect(err).NotTo(HaveOccurred())
		Expect(completion.Choices[0].Text).To(Equal(text))
		textStream := c.Completions.NewStreaming(ctx, p)
		var b strings.Builder
		for textStream.Next() {
			for _, choice := range textStream.Current().Choices {
				b.WriteString(choice.Text)
			}
		}
		Expect(textStream.Err()).NotTo(HaveOccurred())
		Expect(b.String()).To(Equal(text))

		models, err := c.Models.List(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(models.Data).To(HaveLen(1))
		model, err := c.Models.Get(ctx, "plume")
		Expect(err).NotTo(HaveOccurred())
		Expect(model.ID).To(Equal("plume"))
	})

	It("receives errors for wrong keys and models", func(ctx context.Context) {
		e := newFixture()
		for _, c := range []struct {
			key, model, code string
			status           int
		}{
			{"none", "plume", "invalid_api_key", http.StatusUnauthorized},
			{"one", "other", "model_not_found", http.StatusNotFound},
			{"one", "guichet", "model_not_found", http.StatusNotFound},
		} {
			client := e.openAIClient(c.key)
			_, err := client.Chat.Completions.New(ctx, chatParams(c.model))
			var apiErr *openai.Error
			Expect(err).To(BeAssignableToTypeOf(apiErr))
			apiErr, _ = err.(*openai.Error) //nolint:errorlint // the assertion above checks the type.
			Expect(apiErr.StatusCode).To(Equal(c.status))
			Expect(apiErr.Code).To(Equal(c.code))
		}
	})

	It("receives an error if a stream fails midway", func(ctx context.Context) {
		e := newFixture()
		e.generateErr = errBroken
		c := e.openAIClient("one")
		stream := c.Chat.Completions.NewStreaming(ctx, chatParams("plume"))
		for stream.Next() {
			continue
		}
		Expect(stream.Err()).To(HaveOccurred())
		r := e.send(http.MethodPost, "/v1/chat/completions", `{"stream":true,`+chatFields+`}`, nil)
		Expect(r.Body).NotTo(ContainSubstring("[DONE]"))
		Expect(r.Body).To(ContainSubstring(`"outcome":"failed"`))
	})
})

var _ = DescribeTable("An invalid request is refused",
	func(method, path, body string, header map[string]string, status int, message string) {
		e := newFixture()
		r := e.send(method, path, body, header)
		Expect(r.Status).To(Equal(status), r.Body)
		Expect(r.outcome()).To(Equal(fleet.OutcomeNotRun))
		Expect(r.Body).To(ContainSubstring(message))
		Expect(e.calls).To(BeEmpty())
		switch status {
		case http.StatusUnauthorized:
			Expect(r.Header.Get("WWW-Authenticate")).To(Equal("Bearer"))
		case http.StatusMethodNotAllowed:
			Expect(r.Header.Get("Allow")).NotTo(BeEmpty())
		}
	},
	Entry("n", "POST", "/v1/chat/completions", `{"n":2,`+chatFields+`}`, nil, 400, `"param":"n"`),
	Entry("stop", "POST", "/v1/chat/completions", `{"stop":["x"],`+chatFields+`}`, nil, 400, `"param":"stop"`),
	Entry("tools", "POST", "/v1/chat/completions", `{"tools":[{"type":"function"}],`+chatFields+`}`, nil, 400, `"param":"tools"`),
	Entry("response_format", "POST", "/v1/chat/completions", `{"response_format":{"type":"json_object"},`+chatFields+`}`, nil, 400, "response_format"),
	Entry("an image", "POST", "/v1/chat/completions", `{"model":"plume","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, nil, 400, "text parts"),
	Entry("no messages", "POST", "/v1/chat/completions", `{"model":"plume"}`, nil, 400, "messages"),
	Entry("two prompts", "POST", "/v1/completions", `{"model":"plume","prompt":["a","b"]}`, nil, 400, "one prompt"),
	Entry("broken JSON", "POST", "/v1/chat/completions", `{`, nil, 400, "not a chat request"),
	Entry("JSON with the content type that curl sends", "POST", "/v1/chat/completions", `{"model":"nobody","messages":[{"role":"user","content":"x"}]}`, map[string]string{"Content-Type": "application/x-www-form-urlencoded"}, 404, "nobody"),
	Entry("wrong content type", "POST", "/v1/chat/completions", "a=b", map[string]string{"Content-Type": "application/x-www-form-urlencoded"}, 415, "application/json"),
	Entry("wrong method", "GET", "/v1/chat/completions", "", nil, 405, "POST"),
	Entry("unknown path", "GET", "/v2", "", nil, 404, "no such path"),
	Entry("too large", "POST", "/v1/chat/completions", `{"model":"`+strings.Repeat("x", 5<<20)+`"}`, nil, 413, "larger"),
	Entry("no key", "POST", "/v1/chat/completions", `{`+chatFields+`}`, map[string]string{"Authorization": ""}, 401, "bearer key"),
	Entry("an asynchronous request without a key", "POST", "/v1/chat/completions", `{`+chatFields+`}`, map[string]string{"Prefer": "respond-async"}, 400, "Idempotency-Key"),
	Entry("an order without a key", "POST", "/v1/services/guichet/coins", `{}`, nil, 400, "Idempotency-Key"),
	Entry("a key that is not UTF-8", "POST", "/v1/services/guichet/coins", `{}`, map[string]string{"Idempotency-Key": "\xff"}, 400, "text"),
	Entry("dot segments", "GET", "/v1/services/guichet/a/%2e%2e%2f%2e%2e/b", "", nil, 400, "segments"),
	Entry("no such service", "GET", "/v1/services/plume/x", "", nil, 404, "no service pool"),
)
