package messenger

import (
	"fmt"

	"github.com/egretflow/egretflow"
)

// check returns a *egretflow.FieldError for the first invalid field of a message
// (rule 1).
func check(message any) error {
	switch m := message.(type) {
	case *egretflow.ExchangeRequest:
		return checkExchangeRequest(m)
	case *egretflow.ExchangeResponse:
		return checkExchangeResponse(m)
	case *egretflow.PullResponse:
		return checkLength("Tables", len(m.Tables), MaxMessageBytes)
	case *egretflow.CommitRequest:
		return checkCommitRequest(m)
	case *egretflow.CommitResponse:
		return checkCommitResponse(m)
	}
	return nil
}

func checkExchangeRequest(r *egretflow.ExchangeRequest) error {
	if err := egretflow.CheckName("From", string(r.From)); err != nil {
		return err
	}
	if err := checkLength("Demands", len(r.Demands), MaxDemands); err != nil {
		return err
	}
	seen := make(map[egretflow.ServerName]bool, len(r.Demands))
	for n, d := range r.Demands {
		field := fmt.Sprintf("Demands[%d]", n)
		if err := egretflow.CheckName(field+".Server", string(d.Server)); err != nil {
			return err
		}
		if seen[d.Server] {
			return &egretflow.FieldError{Field: field + ".Server", Reason: fmt.Sprintf("server %q is named twice", d.Server)}
		}
		seen[d.Server] = true
		for _, count := range []int{d.InUse, d.Held, d.Wanted[0], d.Wanted[1], d.Wanted[2], d.Wanted[3]} {
			if err := checkSlots(field, count); err != nil {
				return err
			}
		}
	}
	if err := checkPrefill(r.Prefill); err != nil {
		return err
	}
	return checkCrashes(r.Crashes)
}

func checkExchangeResponse(r *egretflow.ExchangeResponse) error {
	if err := egretflow.CheckName("From", string(r.From)); err != nil {
		return err
	}
	if err := checkLength("Grants", len(r.Grants), MaxDemands); err != nil {
		return err
	}
	for n, g := range r.Grants {
		field := fmt.Sprintf("Grants[%d]", n)
		if err := egretflow.CheckName(field+".Server", string(g.Server)); err != nil {
			return err
		}
		if err := checkSlots(field, g.Slots); err != nil {
			return err
		}
	}
	if err := checkPrefill(r.Prefill); err != nil {
		return err
	}
	return checkCrashes(r.Crashes)
}

func checkPrefill(l *egretflow.PrefillLoad) error {
	if l == nil {
		return nil
	}
	if err := checkLength("Prefill.Backlogs", len(l.Backlogs), MaxDemands); err != nil {
		return err
	}
	for n, b := range l.Backlogs {
		field := fmt.Sprintf("Prefill.Backlogs[%d]", n)
		if err := egretflow.CheckName(field+".Server", string(b.Server)); err != nil {
			return err
		}
		if err := checkTokens(field, b.Tokens); err != nil {
			return err
		}
	}
	if err := checkLength("Prefill.Queues", len(l.Queues), MaxDemands); err != nil {
		return err
	}
	for n, q := range l.Queues {
		field := fmt.Sprintf("Prefill.Queues[%d]", n)
		if err := egretflow.CheckName(field+".Pool", string(q.Pool)); err != nil {
			return err
		}
		for _, tokens := range q.Tokens {
			if err := checkTokens(field, tokens); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkTokens(field string, tokens int) error {
	if tokens < 0 || tokens > MaxBacklogTokens {
		return &egretflow.FieldError{Field: field + ".Tokens", Reason: fmt.Sprintf("%d is not within 0 and %d", tokens, MaxBacklogTokens)}
	}
	return nil
}

func checkCrashes(reports []egretflow.CrashReport) error {
	if err := checkLength("Crashes", len(reports), MaxCrashes); err != nil {
		return err
	}
	for n, c := range reports {
		field := fmt.Sprintf("Crashes[%d].Servers", n)
		if err := checkLength(field, len(c.Servers), MaxCrashServers); err != nil {
			return err
		}
		for _, s := range c.Servers {
			if err := egretflow.CheckName(field, string(s)); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkCommitRequest(r *egretflow.CommitRequest) error {
	if err := egretflow.CheckName("From", string(r.From)); err != nil {
		return err
	}
	if err := checkLength("Claims", len(r.Claims), MaxClaims); err != nil {
		return err
	}
	if len(r.Documents) != len(r.Claims) {
		return &egretflow.FieldError{Field: "Documents", Reason: "must have one entry per claim"}
	}
	for n := range r.Claims {
		if err := checkLength(fmt.Sprintf("Documents[%d]", n), len(r.Documents[n]), MaxTextBytes); err != nil {
			return err
		}
		if err := checkClaim(fmt.Sprintf("Claims[%d]", n), &r.Claims[n]); err != nil {
			return err
		}
	}
	return nil
}

func checkCommitResponse(r *egretflow.CommitResponse) error {
	if err := checkLength("Results", len(r.Results), MaxClaims); err != nil {
		return err
	}
	for n := range r.Results {
		result := &r.Results[n]
		field := fmt.Sprintf("Results[%d]", n)
		switch result.Error {
		case "":
			if err := checkClaim(field+".Claim", &result.Claim); err != nil {
				return err
			}
		case egretflow.CommitErrorUncertain, egretflow.CommitErrorUnavailable, egretflow.CommitErrorFull, egretflow.CommitErrorNotFound:
		default:
			return &egretflow.FieldError{Field: field + ".Error", Reason: fmt.Sprintf("unknown value %q", result.Error)}
		}
	}
	return nil
}

func checkClaim(field string, c *egretflow.Claim) error {
	if c.KeyHash == "" {
		return &egretflow.FieldError{Field: field + ".KeyHash", Reason: "must not be empty"}
	}
	if err := checkLength(field+".KeyHash", len(c.KeyHash), MaxTextBytes); err != nil {
		return err
	}
	if err := checkLength(field+".Token", len(c.Token), MaxTextBytes); err != nil {
		return err
	}
	var state egretflow.ClaimState
	if err := state.UnmarshalText([]byte(c.State)); err != nil {
		return &egretflow.FieldError{Field: field + ".State", Reason: err.Error()}
	}
	if err := egretflow.CheckName(field+".Holder", string(c.Holder)); err != nil {
		return err
	}
	if c.Outcome == nil {
		return nil
	}
	if err := checkLength(field+".Outcome.ContentType", len(c.Outcome.ContentType), MaxTextBytes); err != nil {
		return err
	}
	return checkLength(field+".Outcome.Body", len(c.Outcome.Body), egretflow.MaxStoreValueBytes)
}

func checkLength(field string, n, limit int) error {
	if n > limit {
		return &egretflow.FieldError{Field: field, Reason: fmt.Sprintf("has length %d, at most %d is accepted", n, limit)}
	}
	return nil
}

func checkSlots(field string, n int) error {
	if n < 0 || n > MaxSlots {
		return &egretflow.FieldError{Field: field, Reason: fmt.Sprintf("has count %d, want 0 to %d", n, MaxSlots)}
	}
	return nil
}
