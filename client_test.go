package linetiller_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// TestOpenAIClient checks a box with the OpenAI client library, which callers use.
func TestOpenAIClient(t *testing.T) {
	h := newHall(t, 1, 1)
	c := openai.NewClient(option.WithAPIKey(testKey), option.WithBaseURL("http://"+h.boxes[0].ClientAddress()+"/v1"), option.WithMaxRetries(0))

	t.Run("text completion in one answer", func(t *testing.T) {
		a, err := c.Completions.New(t.Context(), openai.CompletionNewParams{
			Model: testModel, Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("length=7")},
		})
		if err != nil {
			t.Fatal(err)
		}
		if got, want := len(strings.Fields(a.Choices[0].Text)), 7; got != want {
			t.Errorf("tokens: got %d, want %d", got, want)
		}
		if got, want := string(a.Choices[0].FinishReason), "stop"; got != want {
			t.Errorf("finish: got %q, want %q", got, want)
		}
		if got, want := a.Usage.CompletionTokens, int64(7); got != want {
			t.Errorf("usage: got %d, want %d", got, want)
		}
	})

	t.Run("streamed chat completion", func(t *testing.T) {
		s := c.Chat.Completions.NewStreaming(t.Context(), openai.ChatCompletionNewParams{
			MaxCompletionTokens: openai.Int(5), Model: testModel,
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("length=9")},
		})
		var text, finish string
		for s.Next() {
			text += s.Current().Choices[0].Delta.Content
			finish = s.Current().Choices[0].FinishReason
		}
		if err := s.Err(); err != nil {
			t.Fatal(err)
		}
		if got, want := len(strings.Fields(text)), 5; got != want {
			t.Errorf("tokens: got %d, want %d", got, want)
		}
		if got, want := finish, "length"; got != want {
			t.Errorf("finish: got %q, want %q", got, want)
		}
	})

	t.Run("refusal", func(t *testing.T) {
		_, err := c.Completions.New(t.Context(), openai.CompletionNewParams{
			Model: "no-such-model", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("x")},
		})
		var e *openai.Error
		if !errors.As(err, &e) {
			t.Fatalf("got %v, want an openai.Error", err)
		}
		if got, want := e.Code, "model_unknown"; got != want {
			t.Errorf("code: got %q, want %q", got, want)
		}
		if got, want := e.StatusCode, 404; got != want {
			t.Errorf("status: got %d, want %d", got, want)
		}
	})
}
