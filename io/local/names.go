package local

import (
	"encoding/json"
	"fmt"

	"apricotproxy/core"
)

// Headers returns the product's own header names for routed requests.
func Headers() core.HeaderNames {
	return core.HeaderNames{
		RequestID: "Request-Id", Deadline: "Deadline-Ms", Key: "Workspace-Key", Workspace: "Workspace",
		ExpectedEndpoint: "Expect-Endpoint", EndpointID: "Endpoint-Id", NotRun: "Not-Run", Leaving: "Endpoint-Leaving", RateLimit: "Endpoint-Limit", Brittle: "Endpoint-Brittle", Seal: "Endpoint-Seal",
		Model: "Model", Tokens: "Tokens", Parts: "Prompt-Parts", ExpectedTokens: "Expected-Tokens", Priority: "Priority",
		LastEventID: "Last-Event-Id", Resumes: "Resumes", Backup: "Backup-To", ContinueFrom: "Continue-From",
		Reserved: []string{"Workspace", "Workspace-Key", "Expect-Endpoint", "Backup-To", "Continue-From", "Priority"},
	}
}

// Paths returns the product's own paths.
func Paths() core.CallPaths {
	return core.CallPaths{Ready: "/readyz", Report: "/v1/report", Held: "/v1/parts", Move: "/v1/moves", Handle: "/v1/moves/"}
}

// DecodeHeld decodes which parts of prompts an engine holds, such as {"Parts":["roll-7","r1"]}.
func DecodeHeld(body []byte) ([]string, error) {
	var list struct{ Parts []string }
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, fmt.Errorf("decode the parts that an engine holds: %w", err)
	}
	return list.Parts, nil
}

// DecodeReport decodes an engine's report of its state, such as
// {"Leaving":true,"Born":"2026-12-05T07:00:00Z"}.
func DecodeReport(body []byte) (core.EngineState, error) {
	var state core.EngineState
	if err := json.Unmarshal(body, &state); err != nil {
		return core.EngineState{}, fmt.Errorf("decode an engine's report: %w", err)
	}
	return state, nil
}
