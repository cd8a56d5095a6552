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

// The stand-in engine that checks fencing tokens must refuse an order with the token of
// an earlier orderer, even if the table has not stopped that orderer.
func TestEngineRefusesOldFencingToken(t *testing.T) {
	server := engine.New(engine.Options{ChecksFence: true})
	web := httptest.NewServer(server.Handler())
	defer web.Close()
	d, err := driver.New(target.Spec{ID: "t", BaseURL: web.URL, Protocol: "engine"})
	assert.NilError(t, err)
	table := tabletest.New()
	role := target.Order{Kind: target.OrderChangeRole, Name: "decode"}
	for i, name := range []string{"first", "second"} {
		lease, err := (&orders.Orderer{Table: table, Name: name}).Acquire(t.Context(), "t")
		assert.NilError(t, err)
		assert.NilError(t, lease.Order(t.Context(), d, true, role))
		assert.Equal(t, server.Orders()[i].Fence, lease.Fence())
	}
	var fenced *target.FencedError
	oldOrder := role
	oldOrder.Fence = 1
	assert.Assert(t, errors.As(d.Order(t.Context(), oldOrder), &fenced))
	assert.Equal(t, len(server.Orders()), 2)
}
