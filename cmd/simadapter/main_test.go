package main

import (
	"bytes"
	"strings"
	"testing"

	"embershunt/internal/wire"
)

const start = `{"clock":{"momentUs":1000}}
{"enlist":{"dispatcherId":"dispatcher-1","rngSeed":5,"env":{"classes":[{"credit":1,"promiseUs":1000000,"deadlineUs":4000000}],"familyInfo":{"kindCores":[8]}}}}
{"register":{"list":0,"rowsIn":[{"node":"node.a","condition":"healthy"}]}}
{"view":{"dispatcherId":"dispatcher-1","mode":"disk","list":0}}
{"accept":{"dispatcherId":"dispatcher-1","tid":"aa","type":0,"dueUs":4001000}}
{"eofBatch":{}}
`

func TestAnswersABatchAndEndsCleanly(t *testing.T) {
	var out bytes.Buffer
	if err := run(strings.NewReader("{\"clock\":{\"momentUs\":1}}\n{\"eofBatch\":{}}\n"+start), &out); err != nil {
		t.Fatal(err)
	}
	got := out.String()
	if strings.Count(got, "{\"yield\":{}}\n") != 2 || !strings.Contains(got, `"tid":"aa"`) || !strings.Contains(got, "submitTo") {
		t.Fatalf("reply %s", got)
	}
}

func TestUnusableSettingsAndFramesEndIt(t *testing.T) {
	for _, text := range []string{strings.Replace(start, "4000000}]", "-4}]", 1), start + "{\n"} {
		if err := run(strings.NewReader(text), &bytes.Buffer{}); err == nil {
			t.Errorf("no error for %q", text)
		}
	}
}

func TestInstancesShareNothing(t *testing.T) {
	two := strings.ReplaceAll(start, "{\"eofBatch\":{}}\n", "") +
		strings.ReplaceAll(strings.ReplaceAll(start, "{\"clock\":{\"momentUs\":1000}}\n", ""), "dispatcher-1", "dispatcher-2")
	var one, both bytes.Buffer
	if run(strings.NewReader(start), &one) != nil || run(strings.NewReader(two), &both) != nil {
		t.Fatal("run failed")
	}
	alone := strings.TrimSuffix(one.String(), "{\"yield\":{}}\n")
	if both.String() != alone+strings.ReplaceAll(alone, "dispatcher-1", "dispatcher-2")+"{\"yield\":{}}\n" {
		t.Fatalf("alone %s, together %s", one.String(), both.String())
	}
}

func TestPanicBecomesAFault(t *testing.T) {
	var out bytes.Buffer
	w := wire.NewWriter(&out)
	step(nil, 1, "dispatcher-1", nil, w) // a nil gateway panics
	if err := w.End(); err != nil || !strings.Contains(out.String(), `{"bailOut":{"dispatcherId":"dispatcher-1"`) {
		t.Fatalf("reply %s, error %v", out.String(), err)
	}
}
