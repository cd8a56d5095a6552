package wire

import (
	"sync"
	"testing"
)

// A reply that arrives while the connection closes must not be sent to a stream's
// closed channel: the send would panic.
func TestReplyDuringCloseIsNotSentToClosedStream(t *testing.T) {
	const rounds = 2000
	for round := range uint64(rounds) {
		peer := &clientConn{streams: make(map[uint64]*Stream)}
		peer.streams[round] = &Stream{peer: peer, id: round, frames: make(chan frame, streamCredits+1)}
		var running sync.WaitGroup
		running.Add(2)
		go func() {
			defer running.Done()
			peer.handle(frame{kind: frameReply, stream: round})
		}()
		go func() {
			defer running.Done()
			peer.closeStreams()
		}()
		running.Wait()
	}
}
