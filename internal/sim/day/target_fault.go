package day

// TargetFault describes a temporary fault of a target. Shares are shares of its requests.
type TargetFault struct {
	NoResponse        float64 // share that is run and never answered
	ResetAfterRun     float64 // share that is run and answered by a connection reset
	ResetBeforeRun    float64 // share that is reset before it runs
	Corrupt           float64 // share that gets a corrupted response
	Corruption        CorruptionKind
	WorkFactor        float64 // multiplies the work time; 0 is 1
	Full              bool    // rejects all requests
	FullByReset       bool    // rejects them by a connection reset
	MalformedHealth   float64 // share of health checks that get a malformed response
	HealthFails       bool    // health checks are answered with 503 although the target serves
	AnswersOnlyHealth bool    // health checks are answered with 200 although nothing else is answered
	ClosesIdleEarly   bool    // closes idle connections before the announced timeout
}

// CorruptionKind is a way in which a response is corrupted.
type CorruptionKind int

// Kinds of corrupted responses.
const (
	WrongBytes        CorruptionKind = iota // bytes that are not HTTP
	TrailingBytes                           // more bytes after a complete response, at once or later
	TruncatedBody                           // ends before its declared length
	OtherRequestID                          // carries the ID of another request
	PreviousRepeated                        // the previous response is repeated before the current one
	Unsealed                                // a success without the target's seal
	EndsEarlyUnframed                       // delimited by the end of the connection, which comes early
	FalseUnavailable                        // status 503 although the request ran, without the header that says it did not run
	Malformed                               // its status line, field lines, framing or trailer are malformed
	corruptionKinds
)
