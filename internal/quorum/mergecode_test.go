package quorum

import (
	"reflect"
	"testing"

	"walkrudder/internal/item"
)

func TestMergeItemsComeBackFromDisk(t *testing.T) {
	for _, it := range []item.Item{
		testItem("r/with/slashes", 7, "body"),
		testItem("", 0, ""),
		{Key: item.Key{Kind: item.Limits, Name: "é\x00\xff"}, Version: 1<<64 - 1, Gone: true},
		{Key: item.Key{Kind: 255, Name: "m/1/x"}, Version: 1 << 40, Body: make([]byte, 4000)},
	} {
		b := encodeMergeItem(it)
		got, err := decodeMergeItem(mergeDiskKey(it.Key), b)
		if len(it.Body) == 0 {
			it.Body = nil
		}
		if err != nil || !reflect.DeepEqual(got, it) {
			t.Errorf("%+v decoded as %+v, %v", it.Key, got.Key, err)
		}
		if extra := len(b) - len(it.Body); extra > 12 {
			t.Errorf("encoding adds %d bytes to the body", extra)
		}
	}
	for _, k := range []string{"", "m/", "m/1", "m/x/y", "m/256/y", "i/1/y"} {
		if _, err := decodeMergeItem(k, encodeMergeItem(testItem("y", 1, "b"))); err == nil {
			t.Errorf("decoded a merge item from invalid key %q", k)
		}
	}
	for _, b := range []string{"", "\x01\x00", "\x02\x00\x01", "\x01\x02\x01", "\x01\x00\xff"} {
		if _, err := decodeMergeItem("m/1/y", []byte(b)); err == nil {
			t.Errorf("decoded a merge item from invalid value %q", b)
		}
	}
}

func FuzzMergeItems(f *testing.F) {
	f.Add("m/1/y", encodeMergeItem(testItem("y", 300, "b")))
	f.Add("m/3/", []byte("\x01\x01\x05"))
	f.Add("m/01/y", []byte("\x01\x00\x80\x00"))
	f.Fuzz(func(t *testing.T, k string, b []byte) {
		it, err := decodeMergeItem(k, b)
		if err != nil {
			return
		}
		// Anything that decodes must survive another round trip unchanged.
		reread, err := decodeMergeItem(mergeDiskKey(it.Key), encodeMergeItem(it))
		if err != nil || !reflect.DeepEqual(reread, it) {
			t.Errorf("%+v decoded as %+v after a round trip, %v", it, reread, err)
		}
	})
}
