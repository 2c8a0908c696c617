package standin

// responseFormat builds the response bodies of one endpoint.
type responseFormat struct {
	// object and chunkObject are the object types of a complete response and of one
	// event of a stream. idPrefix starts the ID of both.
	object, chunkObject, idPrefix string
	// choice returns the choice of a complete response.
	choice func(text string) map[string]any
	// delta returns the choice of one event of a stream.
	delta func(text string) map[string]any
}

// chatFormat is the format of /v1/chat/completions.
var chatFormat = responseFormat{
	object: "chat.completion", chunkObject: "chat.completion.chunk", idPrefix: "chatcmpl-",
	choice: func(text string) map[string]any {
		return map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]string{"role": "assistant", "content": text}}
	},
	delta: func(text string) map[string]any {
		return map[string]any{"index": 0, "finish_reason": nil, "delta": map[string]string{"content": text}}
	},
}

// textFormat is the format of /v1/completions.
var textFormat = responseFormat{
	object: "text_completion", chunkObject: "text_completion", idPrefix: "cmpl-",
	choice: func(text string) map[string]any {
		return map[string]any{"index": 0, "finish_reason": "stop", "text": text}
	},
	delta: func(text string) map[string]any {
		return map[string]any{"index": 0, "finish_reason": nil, "text": text}
	},
}
