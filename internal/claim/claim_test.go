package claim

import (
	"testing"
	"time"
)

// For any two claims at most BucketSpan apart, with clocks at most maxClockSkew apart, the
// later one must check a bucket in which the earlier one claimed.
func TestBucketsOfTwoClaimsMeet(t *testing.T) {
	span, skew := BucketSpan.Milliseconds(), maxClockSkew.Milliseconds()
	for a := int64(0); a < 2*span; a += 7919 {
		for b := a - skew; b <= a+span-skew; b += 3571 {
			_, claimedFirst := buckets(a + 10*span)
			beforeSecond, claimedSecond := buckets(b + 10*span)
			met := false
			for _, x := range claimedFirst {
				met = met || x == beforeSecond
				for _, y := range claimedSecond {
					met = met || x == y
				}
			}
			if !met {
				t.Fatalf("claimed at %s in %v; %s later looked in %d and %v", time.Duration(a)*time.Millisecond, claimedFirst, time.Duration(b-a)*time.Millisecond, beforeSecond, claimedSecond)
			}
		}
	}
}
