package exper

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"apricotproxy/core"
)

// Site describes the size and workload of one simulated deployment.
type Site struct {
	Name        string
	Hosts       int
	Engines     int
	DataCentres []core.DataCentreName
	// ShortShare is the share of requests that are short.
	ShortShare float64
	// LongMedian and LongSigma are the parameters of the log-normal distribution of
	// the long requests' output lengths, in tokens.
	LongMedian float64
	LongSigma  float64
}

// Sites returns the two deployments that the studies simulate.
func Sites() []Site {
	return []Site{
		{
			Name: "cards", Hosts: 8, Engines: 20, ShortShare: 0.6, LongMedian: 400, LongSigma: 1.1,
			DataCentres: []core.DataCentreName{"austin-a", "austin-b", "sanmarcos", "waco"},
		},
		{
			Name: "rota", Hosts: 9, Engines: 12, ShortShare: 0.8, LongMedian: 500, LongSigma: 1.2,
			DataCentres: []core.DataCentreName{"gatton", "laidley", "forest-hill"},
		},
	}
}

const _service core.ServiceName = "drafting"

const (
	_memoryTokens        = 32000
	_warmSlots           = 32
	_coldSlots           = 2
	_workspaceCount      = 10
	_maxOutputTokens     = 8192
	_shortOutputTokens   = 32
	_shortPromptTokens   = 150
	_minLongPromptTokens = 300
	_longPromptSpread    = 400
	// _typicalBatchSize is the assumed number of requests in an engine's batch.
	_typicalBatchSize = 20
	_queueTimeout     = 10 * time.Second
)

// Config returns the site's configuration.
func (s Site) Config() core.Config {
	config := core.Config{
		Site: core.SiteName(s.Name), Revision: 1,
		Services: []core.Service{{Name: _service, Kind: core.ServiceEngine, Model: "m"}},
		Limits: core.Limits{
			QueueTimeout: _queueTimeout, QueueLength: 1000, LeaseTerm: 5 * time.Second,
			ConfigSpread: 5 * time.Second, RetryShare: 0.1, ReportInterval: _reportInterval,
			WarmProof: 3, OutputTokensAtMost: _maxOutputTokens, RequestTimeout: 3 * _queueTimeout,
		},
	}
	for _, name := range s.DataCentres {
		config.DataCentres = append(config.DataCentres, core.DataCentre{Name: name, InService: true})
	}
	for i := range s.Hosts {
		config.Hosts = append(config.Hosts, core.Host{
			Name: core.HostName(fmt.Sprintf("entry-%d", i)), DataCentre: s.DataCentres[i%len(s.DataCentres)],
		})
	}
	for i := range s.Engines {
		config.Endpoints = append(config.Endpoints, core.Endpoint{
			Name: core.EndpointName(fmt.Sprintf("engine-%02d", i)), Service: _service,
			DataCentre: s.DataCentres[i%len(s.DataCentres)],
			ColdSlots:  _coldSlots, WarmSlots: _warmSlots, MemoryTokens: _memoryTokens,
		})
	}
	for i := range _workspaceCount {
		config.Workspaces = append(config.Workspaces, core.Workspace{Name: workspaceName(i), Weight: 1})
	}
	return config
}

func workspaceName(i int) core.WorkspaceName { return core.WorkspaceName(fmt.Sprintf("w%d", i)) }

// Capacity returns the arrival rate, in requests per second, at which the average
// memory in use equals the memory of all engines. By Little's law, this rate is the
// total memory divided by the average over all requests of the memory that a request
// holds, integrated over its run time.
func (s Site) Capacity() float64 {
	step := (_stepBase + _typicalBatchSize*_stepPerRequest).Seconds()
	mean, meanSquare := s.lengthMoments()
	prompt := float64(_minLongPromptTokens + _longPromptSpread/2)
	// A request that holds prompt+i tokens in its step i takes about prompt*n + n*n/2
	// token-steps for n output tokens. The square of a short request's output length
	// is _shortOutputTokens*_shortOutputTokens/3 on average.
	long := step * (prompt*mean + meanSquare/2)
	short := step * (_shortPromptTokens*_shortOutputTokens/2 + _shortOutputTokens*_shortOutputTokens/6)
	perRequest := s.ShortShare*short + (1-s.ShortShare)*long
	return float64(s.Engines) * _memoryTokens / perRequest
}

// lengthMoments returns the mean and the mean square of the long requests' output
// lengths, which are capped at _maxOutputTokens.
func (s Site) lengthMoments() (mean, meanSquare float64) {
	const steps = 4000
	for i := range steps {
		p := (float64(i) + 0.5) / steps
		length := math.Min(s.LongMedian*math.Exp(s.LongSigma*math.Sqrt2*math.Erfinv(2*p-1)), _maxOutputTokens)
		mean += length / steps
		meanSquare += length * length / steps
	}
	return mean, meanSquare
}

// arrival is a request with properties that the Decider does not see, such as the
// actual length of its output.
type arrival struct {
	core.Request
	outputTokens int
	short        bool
	prefix       uint64 // digest of the prompt's start; one per workspace and class (short or long)
	prefixTokens int    // length of the shared start
}

// drawRequest returns a random request. The number of requests per workspace is
// very uneven.
func (s Site) drawRequest(rng *rand.Rand, id core.RequestID, now time.Time) *arrival {
	workspace := min(int(rng.ExpFloat64()*2), _workspaceCount-1)
	a := &arrival{short: rng.Float64() < s.ShortShare, prefix: uint64(workspace) + 1}
	a.Request = core.Request{
		ID: id, Workspace: workspaceName(workspace), Service: _service, Repeatable: true,
		Arrived: now, QueueDeadline: now.Add(_queueTimeout), Deadline: now.Add(3 * _queueTimeout),
		Prefixes: []uint64{a.prefix},
	}
	if a.short {
		a.outputTokens = 1 + rng.IntN(_shortOutputTokens)
		a.MaxTokens, a.PromptTokens = _shortOutputTokens, _shortPromptTokens
		a.prefixTokens = _shortPromptTokens / 2
		return a
	}
	a.prefix += _workspaceCount
	a.Prefixes[0] = a.prefix
	length := s.LongMedian * math.Exp(s.LongSigma*rng.NormFloat64())
	a.outputTokens = int(min(length, _maxOutputTokens)) + 1
	a.PromptTokens = _minLongPromptTokens + rng.IntN(_longPromptSpread)
	a.prefixTokens = a.PromptTokens / 2
	return a
}
