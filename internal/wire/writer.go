package wire

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"embershunt/policy"
)

// Writer writes the reply to one batch and flushes it at its end. Its buffer keeps the first error of a write until then.
type Writer struct {
	out *bufio.Writer
}

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{bufio.NewWriterSize(w, 1<<18)} }

// End closes the reply and flushes it.
func (w *Writer) End() error {
	w.raw("{\"yield\":{}}\n")
	return w.out.Flush()
}

// Fault reports that the decision code failed.
func (w *Writer) Fault(instance, text string) {
	w.open("bailOut", instance)
	w.text(`,"message":`, text)
	w.close()
}

// raw writes text as it is.
func (w *Writer) raw(text string) { _, _ = w.out.WriteString(text) } // End returns its error

func (w *Writer) open(name, instance string) {
	w.raw(`{"` + name + `":{"dispatcherId":`)
	w.quoted(instance)
}

func (w *Writer) close() { w.raw("}}\n") }

func (w *Writer) quoted(s string) {
	text, err := json.Marshal(s)
	if err != nil { // a string always marshals
		panic(err)
	}
	w.raw(string(text))
}

func (w *Writer) text(label, s string) {
	w.raw(label)
	w.quoted(s)
}

func (w *Writer) number(label string, v int64) {
	w.raw(label)
	w.raw(strconv.FormatInt(v, 10))
}

// Put writes one action of an instance.
func (w *Writer) Put(instance string, a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		w.open("submitTo", instance)
		w.text(`,"tid":`, a.ID)
		if a.Timeout != 0 {
			w.number(`,"allowForUs":`, a.Timeout)
		}
		w.text(`,"node":`, a.Endpoint)
	case policy.Resources:
		w.open("assignTerms", instance)
		w.text(`,"tid":`, a.ID)
		w.raw(`,"workspaceMb":`)
		w.raw(strconv.FormatFloat(a.MemoryMB, 'f', -1, 64))
		w.number(`,"prio":`, int64(a.Priority))
	case policy.Cancel:
		w.open("cancel", instance)
		w.text(`,"tid":`, a.ID)
		w.number(`,"attempt":`, int64(a.Attempt))
	case policy.Shed:
		w.open("sayNo", instance)
		w.text(`,"tid":`, a.ID)
		w.number(`,"notBeforeForUs":`, a.RetryAfter)
	case policy.Fail:
		w.open("dropRequest", instance)
		w.text(`,"tid":`, a.ID)
	case policy.HealthCheck:
		w.open("healthCheck", instance)
		w.text(`,"node":`, a.Endpoint)
	case policy.SetTimer:
		w.open("setAlarm", instance)
		w.number(`,"delayUs":`, a.After)
		w.number(`,"handle":`, 1)
	case policy.SendGossip:
		w.open("writePeer", instance)
		text, _ := json.Marshal(a.Data) // bytes always marshal, to base64
		w.number(`,"dest":`, int64(a.To))
		w.raw(`,"contents":` + string(text))
	case policy.WatchEndpoints:
		w.open("tail", instance)
		w.raw(`,"want":true`)
	case policy.FetchEndpoints:
		w.open("listAll", instance)
	case policy.LogLine:
		w.open("record", instance)
		w.text(`,"message":`, a.Text)
	default:
		panic(fmt.Sprintf("wire: action %T has no frame", a))
	}
	w.close()
}
