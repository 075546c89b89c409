package httpapi

import (
	"strings"
	"testing"
)

func TestReadBeatNamesTheField(t *testing.T) {
	for want, s := range map[string]string{
		"id":           `{"service":"a","addr":"127.0.0.1:1","call_seq":1}`,
		"service":      `{"id":"a","service":"a b","addr":"127.0.0.1:1","call_seq":1}`,
		"addr":         `{"id":"a","service":"a","addr":"host:1","call_seq":1}`,
		"port":         `{"id":"a","service":"a","addr":"127.0.0.1:0","call_seq":1}`,
		"call_seq":     `{"id":"a","service":"a","addr":"127.0.0.1:1"}`,
		"heartbeat_ms": `{"id":"a","service":"a","addr":"127.0.0.1:1","call_seq":1,"heartbeat_ms":-1}`,
		"JSON":         `{"id":7}`,
	} {
		if _, err := ParseBeat([]byte(s)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q named", s, err, want)
		}
	}
	b, err := ParseBeat([]byte(`{"id":"a","service":"s","addr":"127.0.0.1:1","call_seq":1}`))
	if err != nil || b.EveryMS != 2000 || b.Capacity != 1 {
		t.Errorf("%+v %v", b, err)
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"id":"a","service":"s","addr":"127.0.0.1:1","call_seq":1}`), "a;s;1;r;5")
	f.Fuzz(func(t *testing.T, b []byte, s string) {
		if x, err := ParseBeat(b); err == nil && (x.ID == "" || x.Seq == 0) {
			t.Fatalf("accepted without id or call_seq: %+v", x)
		}
		if st, err := ParseStamp(s); err == nil {
			if again, err := ParseStamp(st.String()); err != nil || again != st {
				t.Fatalf("%q does not survive formatting and parsing: %v", s, err)
			}
		}
	})
}
