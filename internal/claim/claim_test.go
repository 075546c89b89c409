package claim

import (
	"testing"
	"time"
)

// For any two claims at most BucketSpan apart, with clocks at most maxClockSkew apart, the
// later one must check a bucket in which the earlier one claimed.
func TestBucketsOfTwoClaimsMeet(t *testing.T) {
	sp, sk := BucketSpan.Milliseconds(), maxClockSkew.Milliseconds()
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
