package main

import (
	"bytes"
	"strings"
	"testing"

	"embershunt/internal/wire"
)

// oneQueryBatch starts an instance with one node and sends it a query.
const oneQueryBatch = `{"clock":{"momentUs":1000}}
{"enlist":{"dispatcherId":"dispatcher-1","rngSeed":5,"env":{"classes":[{"credit":1,"promiseUs":1000000,"deadlineUs":4000000}],"familyInfo":{"kindCores":[8]}}}}
{"register":{"list":0,"rowsIn":[{"node":"node.a","condition":"healthy"}]}}
{"view":{"dispatcherId":"dispatcher-1","mode":"disk","list":0}}
{"accept":{"dispatcherId":"dispatcher-1","tid":"aa","type":0,"dueUs":4001000}}
{"eofBatch":{}}
`

func TestRepliesToEachBatchAndEndsWithoutError(t *testing.T) {
	var out bytes.Buffer
	if err := run(strings.NewReader("{\"clock\":{\"momentUs\":1}}\n{\"eofBatch\":{}}\n"+oneQueryBatch), &out); err != nil {
		t.Fatal(err)
	}
	got := out.String()
	if strings.Count(got, "{\"yield\":{}}\n") != 2 || !strings.Contains(got, `"tid":"aa"`) || !strings.Contains(got, "submitTo") {
		t.Fatalf("reply %s", got)
	}
}

func TestInvalidSettingsAndFramesEndRun(t *testing.T) {
	for _, text := range []string{strings.Replace(oneQueryBatch, "4000000}]", "-4}]", 1), oneQueryBatch + "{\n"} {
		if err := run(strings.NewReader(text), &bytes.Buffer{}); err == nil {
			t.Errorf("no error for %q", text)
		}
	}
}

func TestInstancesAreIndependent(t *testing.T) {
	twoInstances := strings.ReplaceAll(oneQueryBatch, "{\"eofBatch\":{}}\n", "") +
		strings.ReplaceAll(strings.ReplaceAll(oneQueryBatch, "{\"clock\":{\"momentUs\":1000}}\n", ""), "dispatcher-1", "dispatcher-2")
	var outOne, outBoth bytes.Buffer
	if run(strings.NewReader(oneQueryBatch), &outOne) != nil || run(strings.NewReader(twoInstances), &outBoth) != nil {
		t.Fatal("run failed")
	}
	alone := strings.TrimSuffix(outOne.String(), "{\"yield\":{}}\n")
	if outBoth.String() != alone+strings.ReplaceAll(alone, "dispatcher-1", "dispatcher-2")+"{\"yield\":{}}\n" {
		t.Fatalf("alone %s, together %s", outOne.String(), outBoth.String())
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
