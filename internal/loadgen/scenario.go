package loadgen

import (
	"fmt"
	"time"

	"github.com/egretflow/egretflow"
)

// Shape names how the arrival rate varies over a run.
type Shape string

// The shapes.
const (
	ShapeSteady     Shape = "Steady"
	ShapeCrest      Shape = "Crest"
	ShapeStragglers Shape = "Stragglers"
	ShapeFaults     Shape = "Faults"
)

// Shapes lists all shapes in the order of the report.
var Shapes = []Shape{ShapeSteady, ShapeCrest, ShapeStragglers, ShapeFaults}

// Phase is a span of a run with one arrival rate.
type Phase struct {
	// Length of the phase.
	Length time.Duration
	// Load is the arrival rate as a multiple of the nominal capacity.
	Load float64
	// Measured says that arrivals of this phase count for the result.
	Measured bool
}

// Class is a share of the traffic with its own route and importance.
type Class struct {
	Importance egretflow.Importance
	// Share of arrivals, in percent.
	Share int
	// Callers is the number of callers that send this class.
	Callers int
}

// Deployment describes a fleet of one of the two users.
type Deployment struct {
	Name           string
	Region         egretflow.Region
	FailureDomains []egretflow.FailureDomain
	Model          egretflow.ModelName
	Prefill        int
	Decode         int
	// PromptTokens and AnswerTokens are means of log-normal distributions.
	PromptTokens int
	AnswerTokens int
	// ReusePercent of the prompts continue an earlier one of the same customer.
	ReusePercent int
	Classes      []Class
}

// Engine figures common to both deployments.
const (
	decodeSlots            = 20
	engineBlocks           = 4000
	prefillPlaces          = 2
	prefillTokensPerSecond = 10_000
	kvBytesPerToken        = 40_000
	linkBytesPerSecond     = 1_250_000_000
	tokenGap               = 25 * time.Millisecond
	prefillKept            = 800 * time.Millisecond
	reportLag              = 500 * time.Millisecond

	// FirstTokenTarget and TokenTarget are the latency targets of the target
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

// Deployments lists the fleets of the two users.
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

// CapacityPerSecond is the nominal request rate that the fleet sustains without
// prefix reuse: the smaller of the rates of its prefill and decode servers.
func (d *Deployment) CapacityPerSecond() float64 {
	prefill := float64(d.Prefill) * prefillTokensPerSecond / float64(d.PromptTokens)
	held := float64(d.AnswerTokens)*tokenGap.Seconds() +
		float64(d.PromptTokens)/prefillTokensPerSecond +
		float64(d.PromptTokens)*kvBytesPerToken/linkBytesPerSecond
	decode := float64(d.Decode*decodeSlots) / held
	return min(prefill, decode)
}

// Scenario is a deployment under one shape of load.
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
	crestLoad  = 1.5
	warmUp     = 4 * time.Second
	coolDown   = 3 * time.Second
)

var phases = map[Shape][]Phase{
	ShapeSteady:     {{warmUp, steadyLoad, false}, {12 * time.Second, steadyLoad, true}},
	ShapeCrest:      {{warmUp, steadyLoad, false}, {12 * time.Second, crestLoad, true}, {coolDown, steadyLoad, false}},
	ShapeStragglers: {{warmUp, steadyLoad, false}, {12 * time.Second, steadyLoad, true}},
	ShapeFaults:     {{warmUp, steadyLoad, false}, {12 * time.Second, steadyLoad, true}},
}

// FindScenario returns the scenario of a deployment and shape.
func FindScenario(deployment string, shape Shape) (*Scenario, error) {
	p, ok := phases[shape]
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
