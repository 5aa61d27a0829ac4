package cwcommon

import (
	"fmt"
	"runtime"
	"time"

	"go.uber.org/zap"
)

// Go runs f in a goroutine. A panic of f is logged and does not end the process.
func (c *Common) Go(step string, f func()) {
	go c.Guard(step, f)
}

// AfterFunc runs f in a goroutine after the duration. A panic of f is logged and does not end
// the process.
func (c *Common) AfterFunc(d time.Duration, step string, f func()) *time.Timer {
	return time.AfterFunc(d, func() { c.Guard(step, f) })
}

// Guard runs f. A panic of f is logged and counted, with the step that f performs, and does not
// end the process.
func (c *Common) Guard(step string, f func()) {
	defer func() {
		if p := recover(); p != nil {
			c.Metrics.Tagged(map[string]string{"step": step}).Counter("background_panics").Inc(1)
			c.Log.Error("background step panicked", append(PanicFields(p), zap.String("step", step))...)
		}
	}()
	f()
}

// maxStackBytes and maxPanicBytes limit what is logged of a panic's stack and value.
const (
	maxStackBytes = 4 << 10
	maxPanicBytes = 512
)

// PanicFields returns the log fields of a panic. It is called in the deferred function, so that
// the stack is that of the panic.
func PanicFields(value any) []zap.Field {
	text := fmt.Sprint(value)
	stack := make([]byte, maxStackBytes)
	stack = stack[:runtime.Stack(stack, false)]
	return []zap.Field{zap.String("panic", text[:min(len(text), maxPanicBytes)]), zap.ByteString("stack", stack)}
}
