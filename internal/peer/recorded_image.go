package peer

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/goccy/go-json"
)

const (
	// maxRecordedImageBytes is the maximum JSON size of an image's name in an attempt record. A record with such a name
	// fits on an empty page at the lowest value size that controllers use.
	maxRecordedImageBytes = 256
	// digestPrefix begins the digest that replaces a longer name.
	digestPrefix = "sha256:"
)

// RecordedImage returns the name by which controllers refer to a job's image among each other and in attempt records.
// It is the image's name itself or, if the name is too long, a digest of it: users may choose names of several
// kilobytes, while each record must fit on a page. Agents do not see this name.
func RecordedImage(name string) string {
	if encodedStringBytes(name) <= maxRecordedImageBytes {
		return name
	}
	digest := sha256.Sum256([]byte(name))
	return digestPrefix + hex.EncodeToString(digest[:])
}

// encodedStringBytes returns the size of a string in JSON, without its quotes.
func encodedStringBytes(s string) int {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			return encodedBytes(s) - len(`""`)
		}
	}
	return len(s)
}

// unencodableBytes is the size of a value that JSON cannot hold: it fits nowhere.
const unencodableBytes = 1 << 30

// encodedBytes returns the size of a value in JSON.
func encodedBytes(value any) int {
	encoded, err := json.Marshal(value)
	if err != nil {
		return unencodableBytes
	}
	return len(encoded)
}
