package day

import "fmt"

// arrivalsByRequest groups a record's arrivals by request ID.
func arrivalsByRequest(r *Record) map[string][]*Arrival {
	by := make(map[string][]*Arrival, len(r.Requests))
	for _, a := range r.Arrivals {
		by[a.ID] = append(by[a.ID], a)
	}
	return by
}

// CheckMixed checks that every successful response is the complete, sealed response of a target to this
// very request, and that no bytes of another response are mixed in.
func CheckMixed(r *Record) (out []Violation) {
	arrivals := arrivalsByRequest(r)
	for _, q := range r.Requests {
		report := func(f string, args ...any) {
			out = append(out, Violation{"MIXED", q.Done, fmt.Sprintf("%s by %s: ", q.ID, q.Machine) + fmt.Sprintf(f, args...)})
		}
		if q.UnsolicitedBytes {
			report("received bytes that no request was waiting for")
		}
		if q.MalformedHead {
			report("the head of the response is malformed")
		}
		if q.Status == 0 {
			// A response that ends before its declared length does not look complete. That is permitted
			// where responses are forwarded while they are still being received.
			if q.BadResponse && !anyResponseFault(arrivals[q.ID]) && !(r.ForwardsEarly && q.Truncated) {
				report("the response ended early or was not valid HTTP, but no target caused that")
			}
			continue
		}
		if q.ResponseID != "" && q.ResponseID != q.ID {
			report("received the response to %s", q.ResponseID)
		}
		if q.Status >= 300 {
			continue
		}
		matches := false
		for _, a := range arrivals[q.ID] {
			matches = matches || a.Ran && a.Status >= 200 && a.Status < 300 && a.Seal == q.Seal && a.BodyDigest == q.BodyDigest
		}
		if q.Seal == "" || !matches {
			report("success %d with seal %q and body of %s was sent by no target", q.Status, q.Seal, q.BodyDigest)
		}
	}
	return out
}

func anyResponseFault(as []*Arrival) bool {
	for _, a := range as {
		if a.ResponseFault {
			return true
		}
	}
	return false
}

// CheckTwice checks that a request that must not be repeated runs at most once.
func CheckTwice(r *Record) (out []Violation) {
	arrivals := arrivalsByRequest(r)
	for _, q := range r.Requests {
		ran := ""
		n := 0
		for _, a := range arrivals[q.ID] {
			if a.Ran {
				n++
				ran += fmt.Sprintf(" %s at %v", a.Run, a.StartedAt)
			}
		}
		if q.AtMostOnce && n > 1 {
			out = append(out, Violation{"TWICE", q.Sent, fmt.Sprintf("%s by %s ran %d times:%s", q.ID, q.Machine, n, ran)})
		}
	}
	return out
}

// CheckRefused checks that a request answered as not run never runs, before or after the answer.
func CheckRefused(r *Record) (out []Violation) {
	arrivals := arrivalsByRequest(r)
	for _, q := range r.Requests {
		if !q.AtMostOnce || q.Status != 429 && q.Status != 503 && q.Status != 408 && q.Status != 421 {
			continue
		}
		for _, a := range arrivals[q.ID] {
			if a.Ran {
				out = append(out, Violation{"REFUSED", q.Done, fmt.Sprintf("%s by %s answered %d and ran at %s at %v", q.ID, q.Machine, q.Status, a.Run, a.StartedAt)})
			}
		}
	}
	return out
}

// CheckUnasked checks that every request that runs was sent in this form by a caller.
func CheckUnasked(r *Record) (out []Violation) {
	requests := make(map[string]*Request, len(r.Requests))
	for _, q := range r.Requests {
		requests[q.ID] = q
	}
	for _, a := range r.Arrivals {
		if !a.Ran {
			continue
		}
		q := requests[a.ID]
		if q == nil || q.Method != a.Method || q.Path != a.Path || q.Host != a.Host || q.Body != a.Body {
			out = append(out, Violation{"UNASKED", a.ArrivedAt, fmt.Sprintf("%s ran %s %s%s of %q", a.Run, a.Method, a.Host, a.Path, a.ID)})
		}
	}
	return out
}
