package rankpeer

import (
	"bytes"
	"encoding/gob"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/request/allotment"
)

func TestClassesAsTheyAreSent(t *testing.T) {
	is := is.New(t)
	d := allotment.Demand{Waiting: allotment.Counts{0, 3, 0, 9}, Running: allotment.Counts{7}, Usable: 30}
	c := NewClasses(d)
	is.Equal(c, Classes{[]uint32{0, 3, 0, 9}, []uint32{7}, 30})
	is.Equal(c.Demand(), d)
	none := NewClasses(allotment.Demand{Waiting: allotment.Counts{-1}})
	is.Equal(none, Classes{})
	is.Equal(none.Demand(), allotment.Demand{})
	// Another process may send more classes than there are.
	many := Classes{Waiting: []uint32{1, 1, 1, 1, 1, 1, 1, 1, 5, 6}}
	is.Equal(many.Demand().Waiting, allotment.Counts{1, 1, 1, 1, 1, 1, 1, 12})
}

func TestSumsOfClasses(t *testing.T) {
	is := is.New(t)
	is.Equal(SumClasses(nil), nil)
	is.Equal(SumClasses([]ClassSums{{Gateways: -4, Classes: Classes{Waiting: []uint32{8}}}}), nil)
	got := SumClasses([]ClassSums{
		{Classes: Classes{[]uint32{1, 2}, []uint32{3}, 100}, Gateways: 1, Age: 400 * time.Millisecond},
		{},
		{Classes: Classes{[]uint32{0, 0, 5}, nil, 60}, Gateways: 3, Age: -time.Hour},
		{Classes: Classes{nil, []uint32{1<<32 - 1}, 0}, Gateways: 1, Age: 100 * time.Millisecond},
	})
	is.Equal(got.Waiting, []uint32{1, 2, 5})
	is.Equal(got.Running, []uint32{3 + 1<<16}) // no gateway has more
	is.Equal(got.Gateways, 5)
	is.Equal(got.Usable, uint32(70)) // 100, and 60 three times
	is.Equal(got.Age, 100*time.Millisecond)
}

// Guards against processes of the version before, which have no classes, that fail to read messages
// with them, and against reading theirs wrongly.
func TestClassesBesideTheVersionBefore(t *testing.T) {
	type oldDigest struct {
		Gateways int
		Relays   []string
	}
	type oldRequest struct {
		Gateway string
		Zone    string
	}
	is := is.New(t)
	through := func(from, to any) {
		var b bytes.Buffer
		is.NoErr(gob.NewEncoder(&b).Encode(from))
		is.NoErr(gob.NewDecoder(&b).Decode(to))
	}
	sums := &ClassSums{Classes: Classes{Waiting: []uint32{1}}, Gateways: 2}
	var req oldRequest
	through(Request{Gateway: "front-1", Zone: "a", Classes: &sums.Classes}, &req)
	is.Equal(req, oldRequest{"front-1", "a"})
	var digest oldDigest
	through(Digest{Gateways: 3, Relays: []string{"r"}, Classes: sums}, &digest)
	is.Equal(digest, oldDigest{3, []string{"r"}})
	var newer Digest
	through(oldDigest{3, []string{"r"}}, &newer)
	is.True(newer.Gateways == 3 && newer.Classes == nil)
	var newReq Request
	through(oldRequest{"front-1", "a"}, &newReq)
	is.True(newReq.Gateway == "front-1" && newReq.Classes == nil)
}

// sent returns the bytes of a message on a connection that has carried one before.
func sent(t *testing.T, v any) int {
	t.Helper()
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	for range 2 {
		b.Reset()
		if err := enc.Encode(v); err != nil {
			t.Fatal(err)
		}
	}
	return b.Len()
}

// Guards against reports that grow with the gateways, and against a byte more where there is a single
// class.
func TestBytesOfClasses(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	req := Request{Digest: true, List: 1 << 60, Gateway: "front-213", Event: 1 << 40, Gap: 120 * time.Millisecond, Zone: "zone-a", Feed: "10.0.0.1:7000", FeedList: 1 << 60}
	digest := Digest{Term: 1 << 40, Pass: 70 * time.Millisecond, Skew: 1.5, List: 1 << 60, Pace: make([]uint16, 192), Running: make([]uint16, 192), Queued: make([]uint16, 192)}
	plainReq, plainDigest, plainResp := sent(t, req), sent(t, Response{Digest: &digest}), sent(t, Response{Gateways: 26})
	for _, gateways := range []int{212, 390} {
		for _, classes := range []int{4, 8} {
			var all, relay []ClassSums
			most := 0
			for range gateways {
				d := allotment.Demand{Usable: 4000 + rng.IntN(1400)}
				for c := range classes {
					d.Waiting[c], d.Running[c] = 1+rng.IntN(40), 1+rng.IntN(40)
				}
				s := ClassSums{Classes: NewClasses(d), Gateways: 1, Age: time.Duration(rng.IntN(200_000_000))}
				all = append(all, s)
				if relay = append(relay, s); len(relay) > 26 {
					relay = relay[1:]
				}
				r := req
				r.Classes = &s.Classes
				most = max(most, sent(t, r)-plainReq)
			}
			d := digest
			d.Classes = SumClasses(all)
			inDigest := sent(t, Response{Digest: &d}) - plainDigest
			inResponse := sent(t, Response{Gateways: 26, Classes: SumClasses(relay)}) - plainResp
			t.Logf("%d gateways, %d classes: a request %d bytes more (%d without), a digest %d more, a relay's response %d more", gateways, classes, most, plainReq, inDigest, inResponse)
			is.True(most <= 16+2*2*classes)
			is.True(inDigest <= 24+2*5*classes && inResponse <= 24+2*5*classes)
		}
	}
	// What describes the types is sent once for each connection.
	var b bytes.Buffer
	is.NoErr(gob.NewEncoder(&b).Encode(req))
	t.Logf("a first request %d bytes", b.Len())
}
