package wire

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"embershunt/policy"
)

// Writer writes replies, one for each batch. Its buffer keeps the first write error, which End returns.
type Writer struct {
	out *bufio.Writer
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{bufio.NewWriterSize(w, 1<<18)} }

// End ends the reply and flushes it.
func (w *Writer) End() error {
	w.writeRaw("{\"yield\":{}}\n")
	return w.out.Flush()
}

// Fault reports that the policy of an instance has failed.
func (w *Writer) Fault(instance, text string) {
	w.beginFrame("bailOut", instance)
	w.textField(`,"message":`, text)
	w.endFrame()
}

// writeRaw writes text without quoting it.
func (w *Writer) writeRaw(text string) { _, _ = w.out.WriteString(text) } // End returns the error

// beginFrame writes the name of a frame and the dispatcher ID; endFrame ends the frame.
func (w *Writer) beginFrame(name, instance string) {
	w.writeRaw(`{"` + name + `":{"dispatcherId":`)
	w.writeString(instance)
}

func (w *Writer) endFrame() { w.writeRaw("}}\n") }

// writeString writes a JSON string.
func (w *Writer) writeString(s string) {
	text, err := json.Marshal(s)
	if err != nil { // encoding a string never fails
		panic(err)
	}
	w.writeRaw(string(text))
}

// textField writes a field; label is its separator, key and colon.
func (w *Writer) textField(label, s string) {
	w.writeRaw(label)
	w.writeString(s)
}

// numberField writes a field; label is as in textField.
func (w *Writer) numberField(label string, v int64) {
	w.writeRaw(label)
	w.writeRaw(strconv.FormatInt(v, 10))
}

// WriteAction writes one action of an instance. It panics on a type that has no frame.
func (w *Writer) WriteAction(instance string, a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		w.beginFrame("submitTo", instance)
		w.textField(`,"tid":`, a.ID)
		if a.Timeout != 0 {
			w.numberField(`,"allowForUs":`, a.Timeout)
		}
		w.textField(`,"node":`, a.Endpoint)
	case policy.Resources:
		w.beginFrame("assignTerms", instance)
		w.textField(`,"tid":`, a.ID)
		w.writeRaw(`,"workspaceMb":`)
		w.writeRaw(strconv.FormatFloat(a.MemoryMB, 'f', -1, 64))
		w.numberField(`,"prio":`, int64(a.Priority))
	case policy.Cancel:
		w.beginFrame("cancel", instance)
		w.textField(`,"tid":`, a.ID)
		w.numberField(`,"attempt":`, int64(a.Attempt))
	case policy.Shed:
		w.beginFrame("sayNo", instance)
		w.textField(`,"tid":`, a.ID)
		w.numberField(`,"notBeforeForUs":`, a.RetryAfter)
	case policy.Fail:
		w.beginFrame("dropRequest", instance)
		w.textField(`,"tid":`, a.ID)
	case policy.HealthCheck:
		w.beginFrame("healthCheck", instance)
		w.textField(`,"node":`, a.Endpoint)
	case policy.SetTimer:
		w.beginFrame("setAlarm", instance)
		w.numberField(`,"delayUs":`, a.After)
		w.numberField(`,"handle":`, 1)
	case policy.SendGossip:
		w.beginFrame("writePeer", instance)
		text, _ := json.Marshal(a.Data) // encoding bytes, as base64, never fails
		w.numberField(`,"dest":`, int64(a.To))
		w.writeRaw(`,"contents":` + string(text))
	case policy.WatchEndpoints:
		w.beginFrame("tail", instance)
		w.writeRaw(`,"want":true`)
	case policy.FetchEndpoints:
		w.beginFrame("listAll", instance)
	case policy.LogLine:
		w.beginFrame("record", instance)
		w.textField(`,"message":`, a.Text)
	default:
		panic(fmt.Sprintf("wire: action %T has no frame", a))
	}
	w.endFrame()
}
