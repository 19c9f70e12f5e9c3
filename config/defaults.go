package config

import "time"

// or sets a value where it is zero.
func or[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// setDefaults gives every field that was left out its default.
func (f *File) setDefaults() {
	or(&f.Name, "dispatcher")
	if len(f.Zones) == 0 {
		f.Zones = []string{"hall"}
	}
	or(&f.Zone, f.Zones[0])
	or(&f.Peers, 1)
	or(&f.Listen.FlightSQL, "127.0.0.1:32010")
	if len(f.Classes) > 0 {
		or(&f.Default, f.Classes[0].Name)
	}
	for i := range f.Classes {
		c := &f.Classes[i]
		or(&c.Effect, "safe")
		or(&c.Updates, "unsafe")
		or(&c.DedupScope, "all")
		or(&c.Threads, 1)
		or(&c.PriorityWeight, 1)
	}
	l := &f.Limits
	or(&l.Attempts, 3)
	or(&l.MaxInFlight, 20000)
	or(&l.MaxRetryAfter, Duration(2*time.Second))
	or(&l.DrainGrace, Duration(2*time.Second))
	or(&l.OrderingGap, Duration(time.Second))
	or(&l.SlowStartFloor, 0.34)
	or(&l.SlowStartDuration, Duration(15*time.Second))
	or(&l.OverloadMultiple, 2)
	or(&l.OverloadDuration, Duration(2*time.Second))
	or(&l.OverQuotaWeight, 0.05)
	s := &f.Sending
	or(&s.GrantShare, 0.4)
	or(&s.Shortage, "trim")
	or(&s.Connect, Duration(250*time.Millisecond))
	or(&s.MaxFrame, 16<<20)
	r := &f.Front
	or(&r.ResponseMargin, Duration(10*time.Millisecond))
	or(&r.TicketLife, Duration(10*time.Minute))
	or(&r.PreparedLife, Duration(24*time.Hour))
	or(&r.BearerLife, Duration(time.Hour))
	or(&r.SchemaLife, Duration(5*time.Minute))
	or(&r.MaxSchemas, 4096)
	or(&r.MaxStatement, 2<<20)
	or(&r.MaxParams, 256<<10)
	or(&r.MaxInsertBytes, 64<<20)
	e := &f.Sessions
	or(&e.Max, 100000)
	or(&e.Idle, Duration(5*time.Minute))
	or(&e.Age, Duration(time.Hour))
	or(&e.RetrySpread, Duration(5*time.Second))
	or(&e.Retention, Duration(time.Minute))
	or(&r.MaxBufferedInsertBytes, 512<<20)
	if k := f.Control; k != nil {
		or(&k.KeepVersions, 10)
		or(&k.Floor, 0.5)
		or(&k.FloorCount, 1)
		or(&k.RelistAfter, Duration(time.Minute))
		or(&k.Reconnect, Duration(30*time.Second))
	}
	or(&f.Log.Level, "info")
	or(&f.Log.Format, "json")
	or(&f.Log.MaxDecisionBytes, 1<<30)
	or(&f.Log.LearnedInterval, Duration(5*time.Second))
}
