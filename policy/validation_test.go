package policy

import "testing"

func TestNewNamesTheInvalidField(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"Classes":             func(s *Settings) { s.Classes = nil },
		"Classes[1].Deadline": func(s *Settings) { s.Classes[1].Deadline = -1 },
		"Classes[0].Worth":    func(s *Settings) { s.Classes[0].PriorityWeight = -1 },
		"Classes[0].Kinds":    func(s *Settings) { s.Classes[0].Kinds = []int{3} },
		"ColdFor":             func(s *Settings) { s.SlowStartDuration = -1 },
		"Kinds[0]":            func(s *Settings) { s.Kinds[0].Cores = -2 },
	} {
		s := testSettings()
		invalidate(&s)
		if _, err := New(1, s); err == nil || !contains(err.Error(), field) {
			t.Errorf("error %v does not name the field %s", err, field)
		}
	}
}

func contains(s, sub string) bool {
	for i := 0; i+len(sub) <= len(s); i++ {
		if s[i:i+len(sub)] == sub {
			return true
		}
	}
	return false
}
