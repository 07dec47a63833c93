package death

// Finding is what was found out about a process after an exchange with it broke off.
type Finding uint8

const (
	// none means that the other connections show nothing.
	none Finding = iota
	// idleContinue means that other connections stayed open, on which nothing was in progress.
	idleContinue
	// OthersContinue means that other connections to the process stayed open, so that it is alive, or at
	// least another worker of the same server.
	OthersContinue
	// Accepts means that something accepts new connections, which need not be the same process.
	Accepts
	// NoConnection means that a connection was neither accepted nor refused in time.
	NoConnection
	// Unanswered means that the process has not answered anything before, so that nothing shows that
	// the request reached it.
	Unanswered
	// Refused means that nothing listens any more.
	Refused
	// ClosesNew means that what listens closes new connections at once.
	ClosesNew
	// AllEnded means that all connections to the process ended at the same moment.
	AllEnded
	// Unserved means that an intermediary answers in place of the process.
	Unserved
	// Noticed means that the death has been noticed before.
	Noticed
)

// Died reports whether the finding proves that the process has died.
func (f Finding) Died() bool { return f >= Refused }

// Inconclusive reports whether the process may have died though nothing proves it: the exchange broke
// off for a reason that concerns only its own connection.
func (f Finding) Inconclusive() bool { return f == OthersContinue || f == Accepts || f == NoConnection }

// String returns the name of the finding.
func (f Finding) String() string {
	switch f {
	case OthersContinue:
		return "others-continue"
	case Accepts:
		return "accepts"
	case NoConnection:
		return "no-connection"
	case Unanswered:
		return "unanswered"
	case Refused:
		return "refused"
	case ClosesNew:
		return "closes-new"
	case AllEnded:
		return "all-ended"
	case Unserved:
		return "unserved"
	case Noticed:
		return "noticed"
	}
	return "none"
}
