package postgres

import (
	"errors"
	"strings"
	"testing"
	"time"
	"unsafe"

	"embershunt/policy"
)

func testSettings() policy.Settings {
	return policy.Settings{Peers: 1, MaxRetryAfter: 2e6, Classes: []policy.Class{
		{Name: "lookup", PriorityWeight: 1, LatencyObjective: 1e6, Deadline: 3e6},
		{Name: "load", PriorityWeight: 5, LatencyObjective: 3e6, Deadline: 9e6, Effect: policy.IdempotentByKey}},
		Kinds: []policy.Kind{{Cores: 8, MemoryMB: 1000}}, Tenants: []policy.Tenant{{Name: "motor"}, {Name: "property"}}}
}

const good = "/* route=lookup,trace=9b1f03aa5c7e2d41,patience=1500 */ SELECT 1"

func TestFields(t *testing.T) {
	s := testSettings()
	a, err := parseQuery("/* route=load, trace=9B1F03aa5c7e2d41,patience=1500.5,customer=property,nonce=5c0f,weight=820.0,need_mb=96,"+
		"new=1 */\n\tINSERT INTO sales_17.orders\r\nSELECT '/* x */' ", &s)
	want := queryFields{trace: "9B1F03aa5c7e2d41", class: 1, tenant: 1, clientTimeout: 1500500 * time.Microsecond, idempotencyKey: "5c0f",
		workEstimate: 820 * time.Millisecond, memoryMB: 96, text: "INSERT INTO sales_17.orders\r\nSELECT '/* x */' "}
	if err != nil || a != want {
		t.Errorf("%+v, %v", a, err)
	}
	if a, err = parseQuery(good, &s); err != nil || a.tenant != -1 || a.text != "SELECT 1" {
		t.Errorf("%+v, %v", a, err)
	}
	if a, err = parseQuery(strings.Replace(good, "1500", "3016", 1), &s); err != nil || a.clientTimeout != 3016*time.Millisecond {
		t.Errorf("a little over the deadline of 3 s: %+v, %v", a, err)
	}
	// Each of these must be rejected here: passed on to a node it would make the run invalid, or be served for a client that must not be
	// served.
	for in, field := range map[string]string{
		"SELECT 1":                 "comment",
		"/* route=lookup SELECT 1": "comment",
		"/* route=lookup,route=load,trace=9b1f03aa5c7e2d41,patience=1 */ x": "comment",
		"/* lookup */ SELECT 1":                                          "comment",
		"/**/ SELECT 1":                                                  "comment",
		strings.Replace(good, "SELECT 1", " ; ", 1):                      "statement",
		strings.Replace(good, "SELECT 1", "SELECT '\xff'", 1):            "statement",
		strings.Replace(good, "trace=9b1f03aa5c7e2d41,", "", 1):          "trace",
		strings.Replace(good, "9b1f03aa5c7e2d41", "9b1f", 1):             "trace",
		strings.Replace(good, "9b1f03aa5c7e2d41", "9b1f03aa5c7e2d4x", 1): "trace",
		strings.Replace(good, "route=lookup", "route=other", 1):          "route",
		strings.Replace(good, "route=lookup", "route=", 1):               "route",
		strings.Replace(good, "route=lookup,", "", 1):                    "route",
		strings.Replace(good, "route", "customer=nobody,route", 1):       "customer",
		strings.Replace(good, "patience=1500", "patience=-1", 1):         "patience",
		strings.Replace(good, "patience=1500", "patience=0", 1):          "patience",
		strings.Replace(good, "patience=1500", "patience=NaN", 1):        "patience",
		strings.Replace(good, "patience=1500", "patience=1e3", 1):        "patience",
		strings.Replace(good, "patience=1500", "patience=6001", 1):       "patience",
		strings.Replace(good, ",patience=1500", "", 1):                   "patience",
		strings.Replace(good, "route", "weight=-3,route", 1):             "weight",
		strings.Replace(good, "route", "weight=inf,route", 1):            "weight",
		strings.Replace(good, "route", "weight=9999999999999,route", 1):  "weight",
		strings.Replace(good, "route", "need_mb=much,route", 1):          "need_mb",
		strings.Replace(good, "route", "need_mb=1000000,route", 1):       "need_mb",
		strings.Replace(good, "lookup", "load", 1):                       "nonce",
		strings.Replace(good, "route=lookup", "route=load,nonce=a b", 1): "nonce",
	} {
		_, err := parseQuery(in, &s)
		var bad *BadFieldError
		if !errors.As(err, &bad) || bad.Field != field || bad.Allowed == "" {
			t.Errorf("%q: %v, want an error of the field %s", in, err, field)
		}
	}
}

// The group of a statement's tables comes from the name of their schema, never from a string, a comment, an alias or the schema staging.
func TestTableGroup(t *testing.T) {
	for in, want := range map[string]int64{
		"SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day":        17,
		"INSERT INTO sales_4.orders SELECT * FROM staging.batch_9":                                    4,
		"INSERT INTO sales_4.orders SELECT * FROM staging.batch_9, other_5.t":                         4,
		"select a_1.x from staging.b a_1 join sales_6.orders on a_1.y = 2":                            6,
		"SELECT t_2.day FROM (SELECT * FROM x) t_2, sales_3.orders":                                   3,
		"SELECT '/* FROM sales_1.a */ FROM sales_2.b', E'\\' FROM sales_8.c' FROM sales_3.d":          3,
		"SELECT 'it''s FROM sales_1.a' FROM \"sales_12\".\"orders\"":                                  12,
		"SELECT $$ FROM sales_1.a $$, $q$ FROM sales_2.a $q$, $1 FROM sales_5.o":                      5,
		"-- FROM sales_1.a\n/* FROM sales_2.a /* nested */ FROM sales_3.a */ SELECT * FROM sales_9.a": 9,
		"UPDATE sales_10 . orders SET x = 1":                                                          10,
		"SELECT 1":                                                                                    0,
		"SELECT * FROM orders_17":                                                                     0,
		"SELECT * FROM staging.orders_17":                                                             0,
		"SELECT * FROM sales_x7.orders":                                                               0,
		"SELECT * FROM sales_99999999999999999999.orders":                                             0,
		"SELECT 'open FROM sales_1.a":                                                                 0,
	} {
		if got := tableGroup(in); got != want {
			t.Errorf("%q: %d, want %d", in, got, want)
		}
	}
}

func FuzzRead(f *testing.F) {
	s := testSettings()
	f.Add(good)
	f.Add("/* route=load,trace=9b1f03aa5c7e2d41,patience=1,nonce=x */ INSERT INTO a_1.b SELECT $x$ ' $x$ -- \n/* /* */")
	f.Fuzz(func(t *testing.T, in string) {
		a, err := parseQuery(in, &s)
		if err != nil {
			return
		}
		if !strings.HasSuffix(in, a.text) || len(a.trace) != 16 || a.clientTimeout <= 0 || a.clientTimeout > 10*time.Second ||
			a.workEstimate < 0 || a.memoryMB < 0 {
			t.Errorf("%q: %+v", in, a)
		}
		if tableGroup(a.text) < 0 {
			t.Errorf("%q: group %d", in, tableGroup(a.text))
		}
	})
}

// Guards against ids and keys that keep a whole statement in memory: a connection to a node remembers a thousand ids.
func TestFieldsKeepNoStatement(t *testing.T) {
	s := testSettings()
	statement := strings.Replace(good, "route=lookup", "route=load,nonce=5c0f3e1a", 1)
	q, err := parseQuery(statement, &s)
	if err != nil {
		t.Fatal(err)
	}
	begin := uintptr(unsafe.Pointer(unsafe.StringData(statement)))
	for _, kept := range []string{q.trace, q.idempotencyKey} {
		if at := uintptr(unsafe.Pointer(unsafe.StringData(kept))); at >= begin && at < begin+uintptr(len(statement)) {
			t.Errorf("%q is a part of the memory of its statement", kept)
		}
	}
}
