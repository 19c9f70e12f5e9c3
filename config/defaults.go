package config

import "time"

// setDefault sets a value that is zero.
func setDefault[T comparable](p *T, v T) {
	var zero T
	if *p == zero {
		*p = v
	}
}

// setDefaults sets the default of each field that is absent or zero.
func (f *File) setDefaults() {
	setDefault(&f.Name, "dispatcher")
	if len(f.Zones) == 0 {
		f.Zones = []string{"hall"}
	}
	setDefault(&f.Zone, f.Zones[0])
	setDefault(&f.Peers, 1)
	setDefault(&f.Listen.FlightSQL, "127.0.0.1:32010")
	if len(f.Classes) > 0 {
		setDefault(&f.DefaultClass, f.Classes[0].Name)
	}
	for i := range f.Classes {
		f.Classes[i].setDefaults()
	}
	f.Limits.setDefaults()
	f.NodeOptions.setDefaults()
	f.Frontend.setDefaults()
	f.Sessions.setDefaults()
	if f.Control != nil {
		f.Control.setDefaults()
	}
	f.Log.setDefaults()
}

func (k *Class) setDefaults() {
	setDefault(&k.Effect, effectSafe)
	setDefault(&k.Updates, effectUnsafe)
	setDefault(&k.DedupScope, "all")
	setDefault(&k.Threads, 1)
	setDefault(&k.PriorityWeight, 1)
}

func (l *Limits) setDefaults() {
	setDefault(&l.MaxAttempts, 3)
	setDefault(&l.MaxInFlight, 20000)
	setDefault(&l.MaxRetryAfter, Duration(2*time.Second))
	setDefault(&l.DrainGrace, Duration(2*time.Second))
	setDefault(&l.OrderingGap, Duration(time.Second))
	setDefault(&l.SlowStartFloor, 0.34)
	setDefault(&l.SlowStartDuration, Duration(15*time.Second))
	setDefault(&l.OverloadMultiple, 2)
	setDefault(&l.OverloadDuration, Duration(2*time.Second))
	setDefault(&l.OverQuotaWeight, 0.05)
}

func (s *NodeOptions) setDefaults() {
	setDefault(&s.GrantShare, 0.4)
	setDefault(&s.Shortage, "trim")
	setDefault(&s.ConnectTimeout, Duration(250*time.Millisecond))
	setDefault(&s.MaxFrameBytes, 16<<20)
}

func (f *Frontend) setDefaults() {
	setDefault(&f.ResponseMargin, Duration(10*time.Millisecond))
	setDefault(&f.TicketTTL, Duration(10*time.Minute))
	setDefault(&f.PreparedTTL, Duration(24*time.Hour))
	setDefault(&f.BearerTTL, Duration(time.Hour))
	setDefault(&f.SchemaTTL, Duration(5*time.Minute))
	setDefault(&f.MaxCachedAnswers, 4096)
	setDefault(&f.MaxStatementBytes, 2<<20)
	setDefault(&f.MaxParameterBytes, 256<<10)
	setDefault(&f.MaxInsertBytes, 64<<20)
	setDefault(&f.MaxBufferedInsertBytes, 512<<20)
}

func (s *Sessions) setDefaults() {
	setDefault(&s.Max, 100000)
	setDefault(&s.IdleTimeout, Duration(5*time.Minute))
	setDefault(&s.MaxAge, Duration(time.Hour))
	setDefault(&s.RetrySpread, Duration(5*time.Second))
	setDefault(&s.Retention, Duration(time.Minute))
}

func (k *Control) setDefaults() {
	setDefault(&k.KeepVersions, 10)
	setDefault(&k.Floor, 0.5)
	setDefault(&k.FloorCount, 1)
	setDefault(&k.RelistAfter, Duration(time.Minute))
	setDefault(&k.MaxReconnectBackoff, Duration(30*time.Second))
}

func (l *Log) setDefaults() {
	setDefault(&l.Level, "info")
	setDefault(&l.Format, "json")
	setDefault(&l.MaxDecisionBytes, 1<<30)
	setDefault(&l.LearnedInterval, Duration(5*time.Second))
}
