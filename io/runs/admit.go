package runs

import (
	"fmt"
	"time"

	"apricotproxy/core"
)

// RequestedNames holds the names that a caller gives in a request. Service may be empty
// for a completion that names a model.
type RequestedNames struct {
	Workspace core.WorkspaceName
	Service   core.ServiceName
	Model     core.ModelName
	Call      core.CallName
}

// Admit checks the names of a request against the configuration and returns the
// request with its id and deadlines set.
func (r *Runner) Admit(now time.Time, wanted RequestedNames) (core.Request, core.Service, *core.OutcomeError) {
	config := r.config.Dispatcher.Config()
	workspace, ok := config.Workspace(wanted.Workspace)
	if !ok {
		return core.Request{}, core.Service{}, unknownNameError("workspace", string(wanted.Workspace), "send the header Workspace with a configured name")
	}
	service, ok := findService(&config, workspace, wanted)
	if !ok {
		name := string(wanted.Service)
		if name == "" {
			name = string(wanted.Model)
		}
		return core.Request{}, core.Service{}, unknownNameError("service or model", name, "name one that the workspace may use")
	}
	request := core.Request{
		ID:            core.RequestID(r.requests.Add(1)),
		Workspace:     workspace.Name,
		Service:       service.Name,
		Priority:      workspace.Priority,
		Repeatable:    true,
		Arrived:       now,
		QueueDeadline: now.Add(config.Limits.QueueTimeout),
		Deadline:      now.Add(config.Limits.RequestTimeout),
	}
	if service.Kind == core.ServiceEngine {
		return request, service, checkKind(service, wanted.Call != "")
	}
	if wanted.Call == "" {
		return core.Request{}, service, core.NotRun(core.CauseBadRequest,
			fmt.Sprintf("service %q is a plain service; use POST /v1/calls or /v1/orders", service.Name), time.Time{})
	}
	call, ok := findCall(service, wanted.Call)
	if !ok {
		return core.Request{}, service, unknownNameError("call", string(wanted.Call), "name a call of service "+string(service.Name))
	}
	request.Call = call.Name
	request.Repeatable = call.Repeatable
	return request, service, nil
}

// checkKind refuses a call of a model engine.
func checkKind(service core.Service, isCall bool) *core.OutcomeError {
	if !isCall {
		return nil
	}
	return core.NotRun(core.CauseBadRequest,
		fmt.Sprintf("service %q is a model engine and has no calls; use POST /v1/completions", service.Name), time.Time{})
}

func unknownNameError(kind, name, remedy string) *core.OutcomeError {
	return core.NotRun(core.CauseUnknownName, fmt.Sprintf("%s %q is not known; %s", kind, truncate(name), remedy), time.Time{})
}

// findService finds a service that the workspace may use. If several services
// serve the model, it returns the first in name order.
func findService(config *core.Config, workspace core.Workspace, wanted RequestedNames) (core.Service, bool) {
	for _, name := range workspace.Services {
		service, ok := config.Service(name)
		if !ok {
			continue
		}
		if wanted.Service == name || wanted.Service == "" && wanted.Model != "" &&
			(wanted.Model == service.Model || string(wanted.Model) == string(name)) {
			return service, true
		}
	}
	return core.Service{}, false
}

func findCall(service core.Service, name core.CallName) (core.Call, bool) {
	for _, c := range service.Calls {
		if c.Name == name {
			return c, true
		}
	}
	return core.Call{}, false
}
