package quotaclient

import (
	"context"
	"time"

	"github.com/endivecourse/endivecourse/structs"
)

// forgetAfter is after how long without admission an account's state goes.
const forgetAfter = time.Minute

// Run gives back the tokens of accounts that have been idle until ctx ends,
// and then those that are left. It is the client's only duty.
func (c *Client) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			c.giveBackAll(ctx, c.collect(idleReturn))
		case <-ctx.Done():
			c.close()
			return nil
		}
	}
}

// returned is one unused batch on its way back.
type returned struct {
	account structs.AccountID
	batch   *batch
}

// collect takes the tokens out of accounts that have been idle for the time.
func (c *Client) collect(idle time.Duration) []returned {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock()
	var out []returned
	for id, a := range c.accounts {
		quiet := now.Sub(a.last)
		if quiet < idle || a.fetching {
			continue
		}
		for _, b := range a.unused(now) {
			out = append(out, returned{account: id, batch: b})
		}
		if quiet >= forgetAfter && len(a.waiting) == 0 {
			delete(c.accounts, id)
		}
	}
	return out
}

// giveBackAll sends the batches to their holders. One whose message is lost
// expires there.
func (c *Client) giveBackAll(ctx context.Context, batches []returned) {
	for _, r := range batches {
		take := structs.TakeQuota{
			Account: r.account, Holder: c.opts.Holder,
			Returned: r.batch.left, ReturnedGrant: r.batch.grant,
		}
		c.sendBack(ctx, take)
	}
}

// returnTimeout bounds one message that gives tokens back.
const returnTimeout = 500 * time.Millisecond

func (c *Client) sendBack(ctx context.Context, take structs.TakeQuota) {
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	_, _ = c.opts.Take(ctx, take)
}

// close refuses what waits, ends the fetches under way and gives back what is
// left, for at most returnTimeout in all.
func (c *Client) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
	c.fetches.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
	defer cancel()
	c.giveBackAll(ctx, c.collect(0))
}

// State is the client's part of the state dump.
type State struct {
	Accounts int `json:"accounts"`
	Tokens   int `json:"tokens"`
	Waiting  int `json:"waiting"`
}

// State returns the client's state.
func (c *Client) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := State{Accounts: len(c.accounts)}
	for _, a := range c.accounts {
		state.Waiting += len(a.waiting)
		for _, b := range a.batches {
			state.Tokens += b.left
		}
	}
	return state
}
