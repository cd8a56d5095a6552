package engine_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/drivers/target"
	"github.com/endivecourse/endivecourse/internal/standin/broken"
)

// Guards against a refusal or an order that is believed although its response is none that HTTP
// allows, or breaks off.
func TestBrokenResponsesAreIncomplete(t *testing.T) {
	for status, header := range map[string]string{"200 OK": "", "503 x": "X-Not-Run: true\r\n", "409 x": ""} {
		answers := broken.Answers(status, header, `{"running":1}`)
		answers["too long"] = "HTTP/1.1 " + status + "\r\n" + header + "\r\n" + `{"running":1}` + strings.Repeat(" ", 4<<20)
		for name, raw := range answers {
			driver := newDriver(t, "http://"+broken.Serve(t, raw))
			var incomplete *target.IncompleteResponseError
			_, err := driver.Load(t.Context())
			assert.Check(t, errors.As(err, &incomplete), "load, %s, %s: %v", status, name, err)
			err = driver.Order(t.Context(), target.Order{Kind: target.OrderLoadModel, Name: "m", Fence: 1})
			assert.Check(t, errors.As(err, &incomplete), "order, %s, %s: %v", status, name, err)
			stream, err := driver.Do(t.Context(), prompt("x"))
			if err == nil {
				_, _, err = receiveAll(t, stream)
			}
			assert.Check(t, errors.As(err, &incomplete), "request, %s, %s: %v", status, name, err)
		}
	}
}
