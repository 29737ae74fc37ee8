package tracker

import (
	"testing"

	"github.com/egretflow/egretflow"
)

// Guards against members and servers with an invalid name, state or address, which
// a malformed entry of the platform's list could cause.
func FuzzDecodeList(f *testing.F) {
	f.Add([]byte(`[{"targets":["10.0.0.1:7001"],"labels":{"Name":"entry-1","FailureDomain":"moshi-lab","Region":"tz-north","Kind":"Instance","State":"Live"}},
		{"targets":["10.0.0.2:9001"],"labels":{"Name":"o1","Kind":"BackendServer","State":"Leaving"}}, 7]`))
	f.Add([]byte(`[{"targets":["host:1"],"labels":{"Name":"entry-1","Kind":"Instance","State":"Live"}}, null]`))
	f.Add([]byte(`[{"a":[1,"],"]}, "\\", {"labels":{"State":"Live","Name":"a","Kind":"BackendServer"}}]`))
	f.Add([]byte(`[[[[]]],]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := decodeList(data)
		if err != nil {
			return
		}
		for _, m := range l.members {
			if egretflow.CheckName("Name", string(m.Name)) != nil || !m.Address.IsValid() || m.State == "" {
				t.Fatalf("member %+v", m)
			}
		}
		for name, state := range l.servers {
			if egretflow.CheckName("Name", string(name)) != nil || state == "" {
				t.Fatalf("server %q is %q", name, state)
			}
		}
	})
}
