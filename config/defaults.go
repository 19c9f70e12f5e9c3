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
		f.Classes[i].setDefaults()
	}
	f.Limits.setDefaults()
	f.Sending.setDefaults()
	f.Front.setDefaults()
	f.Sessions.setDefaults()
	if f.Control != nil {
		f.Control.setDefaults()
	}
	f.Log.setDefaults()
}

func (k *Class) setDefaults() {
	or(&k.Effect, effectSafe)
	or(&k.Updates, effectUnsafe)
	or(&k.DedupScope, "all")
	or(&k.Threads, 1)
	or(&k.PriorityWeight, 1)
}

func (l *Limits) setDefaults() {
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
}

func (s *Sending) setDefaults() {
	or(&s.GrantShare, 0.4)
	or(&s.Shortage, "trim")
	or(&s.Connect, Duration(250*time.Millisecond))
	or(&s.MaxFrame, 16<<20)
}

func (f *Front) setDefaults() {
	or(&f.ResponseMargin, Duration(10*time.Millisecond))
	or(&f.TicketLife, Duration(10*time.Minute))
	or(&f.PreparedLife, Duration(24*time.Hour))
	or(&f.BearerLife, Duration(time.Hour))
	or(&f.SchemaLife, Duration(5*time.Minute))
	or(&f.MaxSchemas, 4096)
	or(&f.MaxStatement, 2<<20)
	or(&f.MaxParams, 256<<10)
	or(&f.MaxInsertBytes, 64<<20)
	or(&f.MaxBufferedInsertBytes, 512<<20)
}

func (s *Sessions) setDefaults() {
	or(&s.Max, 100000)
	or(&s.Idle, Duration(5*time.Minute))
	or(&s.Age, Duration(time.Hour))
	or(&s.RetrySpread, Duration(5*time.Second))
	or(&s.Retention, Duration(time.Minute))
}

func (k *Control) setDefaults() {
	or(&k.KeepVersions, 10)
	or(&k.Floor, 0.5)
	or(&k.FloorCount, 1)
	or(&k.RelistAfter, Duration(time.Minute))
	or(&k.Reconnect, Duration(30*time.Second))
}

func (l *Log) setDefaults() {
	or(&l.Level, "info")
	or(&l.Format, "json")
	or(&l.MaxDecisionBytes, 1<<30)
	or(&l.LearnedInterval, Duration(5*time.Second))
}
