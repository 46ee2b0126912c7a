package shard

import (
	"testing"

	"swiftledge/wire"
)

// The key of a page of start records names the grant that wrote it, and its count there; leaders of any
// version find the pages of a block by the beginning of their keys.
func TestKeyOfARecordPage(t *testing.T) {
	l := attemptLog{shard: 2, fencingToken: 7<<12 | 3}
	cases := []struct {
		name, want string
		token      wire.FencingToken
	}{
		{"of its own records", "run/002/28675-1", 7<<12 | 3},
		{"of an earlier grant's", "run/002/28675-2", 6<<12 | 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := l.newPage(c.token).key; got != c.want {
				t.Errorf("the key is %s, want %s", got, c.want)
			}
		})
	}
}
