package clients

import (
	"net/http"
	"strings"
	"testing"

	"verbenashift/standin/fleet"
)

const (
	// crowdSize is a number of connections that the gateway admits.
	crowdSize = 190
	// legalHead is within the configured limit of a head, longHead is over it, in bytes.
	legalHead = 15 << 10
	longHead  = 60 << 10
	// endless is how much is sent of what has no end, in bytes.
	endless = 4 << 20
)

// stalled makes the servers of the routes without streams answer nothing.
func (g *gateway) stalled() {
	for n := range g.Plains() {
		g.SetFault(n, fleet.Unresponsive)
	}
}

// recovered makes them answer again.
func (g *gateway) recovered() {
	for n := range g.Plains() {
		g.SetFault(n, fleet.NoFault)
	}
}

// heads returns a crowd that sends heads. The last line is sent when all others are under way.
func heads(method, lines, last string) crowd {
	return crowd{
		connections: crowdSize,
		first:       func(n int) string { return head(method, n, lines) },
		last:        always(last),
	}
}

// play sends a crowd to the gateway while servers answer nothing, and verifies the gateway.
func play(t *testing.T, c crowd) {
	t.Helper()
	g := startGateway(t, nil)
	g.stalled()
	c.send(g.ctx, g.front)
	g.recovered()
	g.verifyGateway()
}

// playServed does the same while servers answer.
func playServed(t *testing.T, c crowd) {
	t.Helper()
	g := startGateway(t, nil)
	c.send(g.ctx, g.front)
	g.verifyGateway()
}

// Guards against memory for parsed header lines of heads that do not end.
func TestDistinctNamesNotEnded(t *testing.T) {
	play(t, heads("GET", distinctNames(legalHead), ""))
}

// Guards against memory for parsed header lines of requests that wait for a server.
func TestDistinctNamesEnded(t *testing.T) {
	play(t, heads("GET", distinctNames(legalHead), "\r\n"))
}

// Guards against memory for parsed header lines of requests whose bodies do not end.
func TestDistinctNamesBeforeBodyThatStops(t *testing.T) {
	play(t, heads("POST", "Content-Length: 1000\r\n"+distinctNames(legalHead), "\r\nx"))
}

// Guards against memory for heads over the limit that do not end.
func TestLongHeadsNotEnded(t *testing.T) { play(t, heads("GET", distinctNames(longHead), "")) }

// Guards against memory for heads over the limit.
func TestLongHeadsEnded(t *testing.T) { play(t, heads("GET", distinctNames(longHead), "\r\n")) }

// Guards against memory for a header with thousands of values.
func TestOneNameEnded(t *testing.T) { play(t, heads("GET", oneName(legalHead), "\r\n")) }

// Guards against memory for heads that begin in the connection's first request and for those after it.
func TestDistinctNamesAfterARequest(t *testing.T) {
	c := heads("GET", distinctNames(legalHead), "")
	first := c.first
	c.first = func(n int) string { return ordinary(n) + first(n) }
	c.stays = true
	playServed(t, c)
}

// Guards against memory for a request line without an end.
func TestRequestLineWithoutEnd(t *testing.T) {
	play(t, crowd{connections: crowdSize, first: always("GET /"), again: "x", most: endless})
}

// Guards against memory for a header line without an end.
func TestHeaderLineWithoutEnd(t *testing.T) {
	play(t, crowd{connections: crowdSize, first: func(n int) string { return head("GET", n, "X: ") }, again: "x", most: endless})
}

// Guards against memory for header lines without an end.
func TestHeaderLinesWithoutEnd(t *testing.T) {
	play(t, crowd{connections: crowdSize, first: func(n int) string { return head("GET", n, "") }, again: "x:\n", most: endless})
}

// Guards against a header line that is continued without an end.
func TestContinuedLinesWithoutEnd(t *testing.T) {
	play(t, crowd{connections: crowdSize, first: func(n int) string { return head("GET", n, "X: a\n") }, again: " a\n", most: endless})
}

// Guards against empty lines without an end before the first request.
func TestEmptyLinesWithoutEnd(t *testing.T) {
	play(t, crowd{connections: crowdSize, again: "\r\n", most: endless})
}

// Guards against empty lines without an end after a POST.
func TestEmptyLinesWithoutEndAfterPost(t *testing.T) {
	playServed(t, crowd{
		connections: crowdSize,
		first:       func(n int) string { return head("POST", n, "Content-Length: 0\r\n\r\n") },
		again:       "\r\n", most: endless, stays: true,
	})
}

// Guards against memory for trailers.
func TestTrailersOfDistinctNames(t *testing.T) {
	trailers := strings.ReplaceAll(distinctNames(3000), "\n", "\r\n")
	play(t, heads("POST", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"+trailers, "\r\n"))
}

// Guards against memory for extensions of chunks.
func TestChunkExtensionsWithoutEnd(t *testing.T) {
	c := heads("POST", "Transfer-Encoding: chunked\r\n\r\n", "")
	c.again, c.most = "1;x=yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\nx\r\n", endless
	play(t, c)
}

// Guards against memory for what follows a request that is not answered yet.
func TestBytesAfterARequest(t *testing.T) {
	c := heads("GET", "", "\r\n")
	c.again, c.most = "x:\n", endless
	play(t, c)
}

// Guards against memory for log lines with identifiers of many kilobytes.
func TestLongIdentifiersInTheLog(t *testing.T) {
	g := startGateway(t, unreadPipe(t))
	id := strings.Repeat("\xff", legalHead-200)
	request := strings.Replace(ordinary(0), "X-Request-Id: 0", "X-Request-Id: "+id, 1)
	for range 12 {
		crowd{connections: crowdSize, first: always(request)}.send(g.ctx, g.front)
	}
	g.verifyGateway()
}

// Guards against refusing a single head of very many lines that is within the limit.
func TestSingleHeadOfManyLines(t *testing.T) {
	g := startGateway(t, nil)
	const limit = 16 << 10
	for _, lines := range []func(int) string{distinctNames, oneName} {
		room := limit - len(head("GET", 0, "")) - len("\r\n")
		g.Equal(g.exchange(head("GET", 0, lines(room))+"\r\n"), http.StatusOK)
	}
	long := strings.Replace(ordinary(0), "/lookups/0", "/lookups/"+strings.Repeat("x", 12<<10), 1)
	g.Equal(g.exchange(long), http.StatusOK)
	g.verifyGateway()
}
