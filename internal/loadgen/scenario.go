package loadgen

import (
	"fmt"
	"time"

	"github.com/egretflow/egretflow"
)

// Shape names how the load varies over a run and which faults occur.
type Shape string

// Shapes of the load.
const (
	// ShapeSteady is a constant load below the capacity.
	ShapeSteady Shape = "Steady"
	// ShapePeak is a load peak above the capacity.
	ShapePeak Shape = "Crest"
	// ShapeStragglers is a constant load with engines that are slow for a while.
	ShapeStragglers Shape = "Stragglers"
	// ShapeFaults is a constant load with slow, stalled, crashed and silent
	// engines.
	ShapeFaults Shape = "Faults"
)

// Shapes lists all shapes in the order in which they are reported.
var Shapes = []Shape{ShapeSteady, ShapePeak, ShapeStragglers, ShapeFaults}

// Phase is a part of a run with a constant mean arrival rate.
type Phase struct {
	// Length is the duration of the phase.
	Length time.Duration
	// Load is the arrival rate as a multiple of the nominal capacity.
	Load float64
	// Measured reports whether arrivals of this phase count for the result.
	Measured bool
}

// Class is a part of the traffic with one importance and its own route.
type Class struct {
	Importance egretflow.Importance
	// Share is the percentage of arrivals that belong to the class.
	Share int
	// Callers is the number of callers that send this class.
	Callers int
}

// Deployment describes the engines and the traffic of an organisation.
type Deployment struct {
	Name           string
	Region         egretflow.Region
	FailureDomains []egretflow.FailureDomain
	Model          egretflow.ModelName
	Prefill        int
	Decode         int
	// PromptTokens and AnswerTokens are the means of log-normal distributions.
	PromptTokens int
	AnswerTokens int
	// ReusePercent is the percentage of prompts that start with the history of
	// a returning customer.
	ReusePercent int
	Classes      []Class
}

// Properties of the engines of all deployments.
const (
	decodeSlots            = 20
	engineBlocks           = 4000
	prefillSlots           = 2
	prefillTokensPerSecond = 10_000
	kvBytesPerToken        = 40_000
	linkBytesPerSecond     = 1_250_000_000
	tokenGap               = 25 * time.Millisecond
	prefillRetention       = 800 * time.Millisecond
	reportLag              = 500 * time.Millisecond

	// FirstTokenTarget bounds the time from sending a request to the first token
	// of its answer. It and TokenTarget are the latency targets of the target
	// size (1.5).
	FirstTokenTarget = 1100 * time.Millisecond
	// TokenTarget bounds the mean time between tokens of an answer.
	TokenTarget = 31 * time.Millisecond
)

var classes = []Class{
	{egretflow.ImportanceCritical, 10, 2},
	{egretflow.ImportanceHigh, 20, 4},
	{egretflow.ImportanceNormal, 40, 6},
	{egretflow.ImportanceLow, 30, 6},
}

// Deployments lists the deployments that FindScenario knows.
var Deployments = []Deployment{
	{
		Name: "Vonwiller", Region: "ch-mittelland",
		FailureDomains: []egretflow.FailureDomain{"mittelland-a", "mittelland-b", "mittelland-c"},
		Model:          "assistant-llm", Prefill: 7, Decode: 5,
		PromptTokens: 3000, AnswerTokens: 80, ReusePercent: 40, Classes: classes,
	},
	{
		Name: "Kilimanjaro", Region: "tz-north",
		FailureDomains: []egretflow.FailureDomain{"moshi-lab", "arusha-depot", "moshi-annex", "tanga-office"},
		Model:          "letter-writers", Prefill: 6, Decode: 12,
		PromptTokens: 1200, AnswerTokens: 120, ReusePercent: 20, Classes: classes,
	},
}

// CapacityPerSecond returns the nominal request rate that the fleet sustains
// without prefix reuse: the smaller of the rates of its prefill and of its
// decode servers.
func (d *Deployment) CapacityPerSecond() float64 {
	prefill := float64(d.Prefill) * prefillTokensPerSecond / float64(d.PromptTokens)
	// slotSeconds is how long a request occupies a decode slot.
	slotSeconds := float64(d.AnswerTokens)*tokenGap.Seconds() +
		float64(d.PromptTokens)/prefillTokensPerSecond +
		float64(d.PromptTokens)*kvBytesPerToken/linkBytesPerSecond
	decode := float64(d.Decode*decodeSlots) / slotSeconds
	return min(prefill, decode)
}

// Scenario is a deployment under a load of one shape.
type Scenario struct {
	Deployment *Deployment
	Shape      Shape
	Phases     []Phase
}

// Name returns the name under which results are reported.
func (s *Scenario) Name() string { return s.Deployment.Name + "/" + string(s.Shape) }

// Length returns the time over which requests arrive.
func (s *Scenario) Length() time.Duration {
	var sum time.Duration
	for _, p := range s.Phases {
		sum += p.Length
	}
	return sum
}

const (
	steadyLoad = 0.7
	peakLoad   = 1.5
	warmUp     = 4 * time.Second
	coolDown   = 3 * time.Second
)

var phasesByShape = map[Shape][]Phase{
	ShapeSteady:     {{warmUp, steadyLoad, false}, {12 * time.Second, steadyLoad, true}},
	ShapePeak:       {{warmUp, steadyLoad, false}, {12 * time.Second, peakLoad, true}, {coolDown, steadyLoad, false}},
	ShapeStragglers: {{warmUp, steadyLoad, false}, {12 * time.Second, steadyLoad, true}},
	ShapeFaults:     {{warmUp, steadyLoad, false}, {12 * time.Second, steadyLoad, true}},
}

// FindScenario returns the scenario of a deployment and shape.
func FindScenario(deployment string, shape Shape) (*Scenario, error) {
	p, ok := phasesByShape[shape]
	if !ok {
		return nil, fmt.Errorf("find scenario: shape %q: %w", shape, egretflow.ErrNotFound)
	}
	for n := range Deployments {
		if Deployments[n].Name == deployment {
			return &Scenario{Deployment: &Deployments[n], Shape: shape, Phases: p}, nil
		}
	}
	return nil, fmt.Errorf("find scenario: deployment %q: %w", deployment, egretflow.ErrNotFound)
}
