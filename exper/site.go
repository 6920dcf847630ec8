package exper

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"apricotproxy/core"
)

// Site is one deployment's size and work.
type Site struct {
	Name        string
	Hosts       int
	Engines     int
	DataCentres []core.DataCentreName
	// ShortShare is the share of short requests by count.
	ShortShare float64
	// LongMedian and LongSigma are of the log-normal lengths of long answers.
	LongMedian float64
	LongSigma  float64
}

// Sites are the two deployments.
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
	_memoryTokens = 32000
	_warmSlots    = 32
	_coldSlots    = 2
	_workspaces   = 10
	_longestToken = 8192
	_shortTokens  = 32
	_shortPrompt  = 150
	_longPrompt   = 300
	_promptSpread = 400
	// _usualBatch is the usual number of requests that share a step.
	_usualBatch = 20
	_queueTime  = 10 * time.Second
)

// Config gives the site's configuration.
func (s Site) Config() core.Config {
	config := core.Config{
		Site: core.SiteName(s.Name), Revision: 1,
		Services: []core.Service{{Name: _service, Kind: core.ServiceEngine, Model: "m"}},
		Limits: core.Limits{
			QueueTimeout: _queueTime, QueueLength: 1000, LeaseTerm: 5 * time.Second,
			ConfigSpread: 5 * time.Second, RetryShare: 0.1, ReportInterval: _reportEvery,
			WarmProof: 3, OutputTokensAtMost: _longestToken, RequestTimeout: 3 * _queueTime,
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
	for i := range _workspaces {
		config.Workspaces = append(config.Workspaces, core.Workspace{Name: workspaceName(i), Weight: 1})
	}
	return config
}

func workspaceName(i int) core.WorkspaceName { return core.WorkspaceName(fmt.Sprintf("w%d", i)) }

// Capacity is the arrival rate, in requests a second, at which the memory that
// the requests hold on average equals the memory of all engines (Little's law).
func (s Site) Capacity() float64 {
	step := (_stepBase + _usualBatch*_stepPerRequest).Seconds()
	mean, square := s.moments()
	prompt := float64(_longPrompt + _promptSpread/2)
	long := step * (prompt*mean + square/2)
	short := step * (_shortPrompt*_shortTokens/2 + _shortTokens*_shortTokens/6)
	perRequest := s.ShortShare*short + (1-s.ShortShare)*long
	return float64(s.Engines) * _memoryTokens / perRequest
}

// moments gives the mean and the mean square of the long lengths, which are cut
// at the longest.
func (s Site) moments() (mean, square float64) {
	const steps = 4000
	for i := range steps {
		p := (float64(i) + 0.5) / steps
		length := math.Min(s.LongMedian*math.Exp(s.LongSigma*math.Sqrt2*math.Erfinv(2*p-1)), _longestToken)
		mean += length / steps
		square += length * length / steps
	}
	return mean, square
}

// arrival is one request with its true length.
type arrival struct {
	core.Request
	length       int
	short        bool
	prefix       uint64
	prefixTokens int
}

// draw makes a request: workspaces are of very different sizes.
func (s Site) draw(rng *rand.Rand, id core.RequestID, now time.Time) *arrival {
	workspace := min(int(rng.ExpFloat64()*2), _workspaces-1)
	a := &arrival{short: rng.Float64() < s.ShortShare, prefix: uint64(workspace) + 1}
	a.Request = core.Request{
		ID: id, Workspace: workspaceName(workspace), Service: _service, Repeatable: true,
		Arrived: now, QueueDeadline: now.Add(_queueTime), Deadline: now.Add(3 * _queueTime),
		Prefixes: []uint64{a.prefix},
	}
	if a.short {
		a.length = 1 + rng.IntN(_shortTokens)
		a.MaxTokens, a.PromptTokens = _shortTokens, _shortPrompt
		a.prefixTokens = _shortPrompt / 2
		return a
	}
	a.prefix += _workspaces
	a.Prefixes[0] = a.prefix
	length := s.LongMedian * math.Exp(s.LongSigma*rng.NormFloat64())
	a.length = int(min(length, _longestToken)) + 1
	a.PromptTokens = _longPrompt + rng.IntN(_promptSpread)
	a.prefixTokens = a.PromptTokens / 2
	return a
}
