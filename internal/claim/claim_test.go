package claim

import (
	"testing"
	"time"
)

// Whatever the moments of two claims, at most Span apart and read off clocks at
// most skew apart, the later looks at a bucket in which the earlier claimed.
func TestBucketsOfTwoClaimsMeet(t *testing.T) {
	sp, sk := Span.Milliseconds(), skew.Milliseconds()
	for a := int64(0); a < 2*sp; a += 7919 {
		for b := a - sk; b <= a+sp-sk; b += 3571 {
			_, ca := buckets(a + 10*sp)
			bb, cb := buckets(b + 10*sp)
			met := false
			for _, x := range ca {
				met = met || x == bb
				for _, y := range cb {
					met = met || x == y
				}
			}
			if !met {
				t.Fatalf("claimed at %s in %v; %s later looked in %d and %v", time.Duration(a)*time.Millisecond, ca, time.Duration(b-a)*time.Millisecond, bb, cb)
			}
		}
	}
}
