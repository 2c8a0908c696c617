package standin

// answerShape writes answers of one endpoint.
type answerShape struct {
	object, chunkObject, idPrefix string
	choice                        func(text string) map[string]any
	delta                         func(text string) map[string]any
}

var chatAnswer = answerShape{
	object: "chat.completion", chunkObject: "chat.completion.chunk", idPrefix: "chatcmpl-",
	choice: func(text string) map[string]any {
		return map[string]any{"index": 0, "finish_reason": "stop", "message": map[string]string{"role": "assistant", "content": text}}
	},
	delta: func(text string) map[string]any {
		return map[string]any{"index": 0, "finish_reason": nil, "delta": map[string]string{"content": text}}
	},
}

var textAnswer = answerShape{
	object: "text_completion", chunkObject: "text_completion", idPrefix: "cmpl-",
	choice: func(text string) map[string]any {
		return map[string]any{"index": 0, "finish_reason": "stop", "text": text}
	},
	delta: func(text string) map[string]any {
		return map[string]any{"index": 0, "finish_reason": nil, "text": text}
	},
}
