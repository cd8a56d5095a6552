package orders_test

import (
	"errors"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivecourse/endivecourse/drivers/target"
	driver "github.com/endivecourse/endivecourse/drivers/target/engine"
	"github.com/endivecourse/endivecourse/internal/standin/engine"
	"github.com/endivecourse/endivecourse/internal/tabletest"
	"github.com/endivecourse/endivecourse/orders"
)

// The stand-in engine that checks fencing numbers refuses an order of an
// earlier orderer that the table would not stop either.
func TestStandInEngine(t *testing.T) {
	server := engine.New(engine.Options{ChecksFence: true})
	web := httptest.NewServer(server.Handler())
	defer web.Close()
	d, err := driver.New(target.Spec{ID: "t", BaseURL: web.URL, Protocol: "engine"})
	assert.NilError(t, err)
	table := tabletest.New()
	role := target.Order{Kind: target.OrderChangeRole, Name: "decode"}
	for i, name := range []string{"first", "second"} {
		right, err := (&orders.Orderer{Table: table, Name: name}).Acquire(t.Context(), "t")
		assert.NilError(t, err)
		assert.NilError(t, right.Order(t.Context(), d, true, role))
		assert.Equal(t, server.Orders()[i].Fence, right.Fence())
	}
	var fenced *target.FencedError
	late := role
	late.Fence = 1
	assert.Assert(t, errors.As(d.Order(t.Context(), late), &fenced))
	assert.Equal(t, len(server.Orders()), 2)
}
