package kind

// Proof is what shows that a request has not run and never will.
type Proof string

// The proofs.
const (
	// Unsent means that the node which refused the request had not begun to send it to a backend server.
	Unsent Proof = "unsent"
	// NothingWritten means that an exchange with the backend server ended before its first byte was written.
	NothingWritten Proof = "nothing-written"
	// Unconfirmed means that the backend server's node runs the request only once the entry has confirmed it,
	// which the entry has not done and will not do.
	Unconfirmed Proof = "unconfirmed"
	// Rejected means that the backend server states in its answer that it didn't run the request.
	Rejected Proof = "rejected"
	// OtherServer means that another backend server than the intended one received the request and didn't run it.
	OtherServer Proof = "other-server"
)

// Proofs are all proofs.
var Proofs = [...]Proof{Unsent, NothingWritten, Unconfirmed, Rejected, OtherServer}

// ProofOfNotRun returns the proof that the request has not run, or an empty string if its outcome is another one.
func (e *Error) ProofOfNotRun() Proof {
	if e.ReportedOutcome() != NotRun {
		return ""
	}
	if e.Proof == "" {
		return Unsent
	}
	return e.Proof
}

// WithProof sets the proof that the request has not run and returns e.
func (e *Error) WithProof(p Proof) *Error {
	e.Proof = p
	return e
}
