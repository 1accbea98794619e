package configcheck

import "strconv"

// Kind is a kind of entry.
type Kind string

// The kinds of entries. Whole is the configuration itself.
const (
	Whole              Kind = ""
	RouteEntry         Kind = "route"
	ServiceEntry       Kind = "service"
	OrganisationEntry  Kind = "organisation"
	OrganisationsEntry Kind = "organisations"
	LimitsEntry        Kind = "limits"
)

// Field is a field of an entry, in the words of the messages.
type Field string

// The fields of all kinds of entries. NoField is the entry as a whole.
const (
	NoField         Field = ""
	Version         Field = "version"
	Name            Field = "name"
	Host            Field = "host"
	Prefix          Field = "path prefix"
	Service         Field = "service"
	Priority        Field = "priority"
	MaxAttempts     Field = "maximum of attempts"
	Stretch         Field = "stretch"
	Slack           Field = "slack"
	Timeout         Field = "timeout"
	Public          Field = "public access"
	RequiresAdvice  Field = "advice"
	RejectsOverload Field = "rejection of overload"
	Spare           Field = "spare setting"
	HealthPath      Field = "health path"
	Guaranteed      Field = "guarantee"
	Key             Field = "key"
	HeaderBytes     Field = "header limit"
	BodyBytes       Field = "body limit"
	HeaderTimeout   Field = "header timeout"
	IdleTimeout     Field = "idle timeout"
)

// Place is what a finding concerns.
type Place struct {
	Kind Kind
	// Index is the entry's index among those of its kind.
	Index int
	Field Field
	// KeyIndex is the index of the key if Field is Key.
	KeyIndex int
	// Current is set if the place is in the version in force, not in the one that is
	// checked.
	Current bool
}

// Severity classifies a finding.
type Severity string

// The severities. A version with an Error must not be published; a Warning has an effect
// that is probably not intended; a Change is a difference from the version in force.
const (
	Error   Severity = "error"
	Warning Severity = "warning"
	Change  Severity = "change"
)

// Finding is one result of a check. Changes have no Remedy.
type Finding struct {
	Severity Severity
	Place
	Message, Remedy string
}

const (
	// maxQuotedBytes bounds a quoted name, in bytes, so that a message fits on a line.
	maxQuotedBytes = 80
	// shownKeyBytes is the part of an API key that is shown, in bytes: enough to tell keys
	// apart, too little to use one.
	shownKeyBytes = 4
)

// quote returns s in quotation marks and at a bounded length.
func quote(s string) string {
	if len(s) > maxQuotedBytes {
		return strconv.Quote(s[:maxQuotedBytes]) + "..."
	}
	return strconv.Quote(s)
}

// maskKey returns the beginning of an API key: at most shownKeyBytes, and at most half of it.
func maskKey(k string) string {
	return strconv.Quote(k[:min(shownKeyBytes, len(k)/2)] + "...")
}
