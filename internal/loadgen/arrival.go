package loadgen

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/egretflow/egretflow"
)

// Arrival is one request of the load.
type Arrival struct {
	// After is the time since the start of the run.
	After      time.Duration
	Caller     egretflow.CallerName
	Importance egretflow.Importance
	Prompt     string
	MaxTokens  int
	// Instance is the index of the entry instance that gets the request, as a
	// load balancer would pick it at random.
	Instance int
	// Measured reports whether the request counts for the result.
	Measured bool
}

// Parameters of the arrivals. maxPromptTokens is the longest prompt whose prefill
// and transfer an idle fleet finishes within FirstTokenTarget with a margin;
// longer prompts would miss the target under every policy.
const (
	promptSigma        = 0.6
	answerSigma        = 0.4
	minPromptTokens    = 64
	maxPromptTokens    = 6_000
	minAnswerTokens    = 8
	maxAnswerTokens    = 400
	returningCustomers = 40
	sharedPrefixShare  = 0.7
)

// Arrivals returns the arrivals of a scenario in the order of time. They depend
// only on the seed and the number of instances (rule 1).
func Arrivals(s *Scenario, instances int, seed uint64) []Arrival {
	g := &arrivalGenerator{
		rng:       rand.New(rand.NewPCG(seed, 0x5eed)),
		scenario:  s,
		instances: instances,
	}
	var start time.Duration
	for _, p := range s.Phases {
		g.addPhase(start, p)
		start += p.Length
	}
	return g.arrivals
}

type arrivalGenerator struct {
	rng       *rand.Rand
	scenario  *Scenario
	instances int
	arrivals  []Arrival
}

func (g *arrivalGenerator) addPhase(start time.Duration, p Phase) {
	rate := p.Load * g.scenario.Deployment.CapacityPerSecond()
	for at := start; ; {
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= start+p.Length {
			return
		}
		g.arrivals = append(g.arrivals, g.randomArrival(at, p.Measured))
	}
}

func (g *arrivalGenerator) randomArrival(at time.Duration, measured bool) Arrival {
	d := g.scenario.Deployment
	class := g.randomClass()
	return Arrival{
		After:      at,
		Caller:     callerName(class.Importance, g.rng.IntN(class.Callers)),
		Importance: class.Importance,
		Prompt:     g.randomPrompt(logNormal(g.rng, d.PromptTokens, promptSigma, minPromptTokens, maxPromptTokens)),
		MaxTokens:  logNormal(g.rng, d.AnswerTokens, answerSigma, minAnswerTokens, maxAnswerTokens),
		Instance:   g.rng.IntN(g.instances),
		Measured:   measured,
	}
}

func (g *arrivalGenerator) randomClass() Class {
	n := g.rng.IntN(100)
	for _, c := range g.scenario.Deployment.Classes {
		if n < c.Share {
			return c
		}
		n -= c.Share
	}
	return g.scenario.Deployment.Classes[0]
}

// randomPrompt returns text of the given number of tokens. Prompts of a
// returning customer start with the same history each time, which engines can
// reuse.
func (g *arrivalGenerator) randomPrompt(tokens int) string {
	size := tokens * egretflow.PromptBytesPerToken
	var b strings.Builder
	b.Grow(size)
	if g.rng.IntN(100) < g.scenario.Deployment.ReusePercent {
		customer := g.rng.IntN(returningCustomers)
		appendRepeated(&b, int(float64(size)*sharedPrefixShare), fmt.Sprintf("history of customer %d. ", customer))
	}
	appendRepeated(&b, size, fmt.Sprintf("order %x. ", g.rng.Uint64()))
	return b.String()
}

func appendRepeated(b *strings.Builder, size int, text string) {
	for b.Len()+len(text) <= size {
		b.WriteString(text)
	}
}

// logNormal draws from a log-normal distribution with the given mean and clamps
// the value to [lowest, highest].
func logNormal(rng *rand.Rand, mean int, sigma float64, lowest, highest int) int {
	mu := math.Log(float64(mean)) - sigma*sigma/2
	return min(max(int(math.Exp(mu+sigma*rng.NormFloat64())), lowest), highest)
}

func callerName(i egretflow.Importance, n int) egretflow.CallerName {
	return egretflow.CallerName(fmt.Sprintf("caller-%s-%d", strings.ToLower(string(i)), n))
}
