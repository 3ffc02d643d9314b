package rank

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"verbenashift/core/experts/rank"
)

// UDP is a Link that sends UDP datagrams.
type UDP struct {
	conn  *net.UDPConn
	peers map[string]*net.UDPAddr
}

// NewUDP listens on the address that peers has for self.
func NewUDP(self string, peers map[string]string) (*UDP, error) {
	u := &UDP{peers: make(map[string]*net.UDPAddr)}
	for name, address := range peers {
		a, err := net.ResolveUDPAddr("udp", address)
		if err != nil {
			return nil, errors.Wrapf(err, "address of %s", name)
		}
		u.peers[name] = a
	}
	own, ok := u.peers[self]
	if !ok {
		return nil, errors.Errorf("rank %q is not among its peers", self)
	}
	var err error
	if u.conn, err = net.ListenUDP("udp", own); err != nil {
		return nil, errors.Wrap(err, "listen for step messages")
	}
	return u, nil
}

// Send implements Link.
func (u *UDP) Send(to string, m StepMessage) {
	a, ok := u.peers[to]
	if !ok {
		return
	}
	if data, err := json.Marshal(m); err == nil {
		_, _ = u.conn.WriteToUDP(data, a)
	}
}

// Run calls receive with each message that arrives, until ctx ends.
func (u *UDP) Run(ctx context.Context, receive func(StepMessage)) {
	context.AfterFunc(ctx, func() { _ = u.conn.Close() })
	const maxMessage = 2048
	buf := make([]byte, maxMessage)
	for {
		n, _, err := u.conn.ReadFromUDP(buf)
		if err != nil {
			return
		}
		var m StepMessage
		if json.Unmarshal(buf[:n], &m) == nil {
			receive(m)
		}
	}
}

// Store is a client of the weight store at Address.
type Store struct {
	Address string

	mu   sync.Mutex
	size int64
}

const storeTimeout = 30 * time.Second

// Size implements WeightStore. All weights of the fake weight store have the same
// size, so it is requested only once.
func (s *Store) Size(ctx context.Context, model string, layer int, expert int32) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.size > 0 {
		return s.size, nil
	}
	resp, err := s.do(ctx, http.MethodHead, model, rank.WeightsRequest{Layer: layer, Expert: expert})
	if err != nil {
		return 0, err
	}
	_ = resp.Body.Close()
	s.size = resp.ContentLength
	return s.size, nil
}

// Read implements WeightStore.
func (s *Store) Read(ctx context.Context, model string, w rank.WeightsRequest) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	resp, err := s.do(ctx, http.MethodGet, model, w)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	return io.Copy(io.Discard, resp.Body)
}

func (s *Store) do(ctx context.Context, method, model string, w rank.WeightsRequest) (*http.Response, error) {
	url := "http://" + s.Address + "/weights/" + model + "/" + strconv.Itoa(w.Layer) + "/" + strconv.Itoa(int(w.Expert))
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	if w.Length > 0 {
		req.Header.Set("Range", "bytes="+strconv.FormatInt(w.Offset, 10)+"-"+strconv.FormatInt(w.Offset+w.Length-1, 10))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "query weight store")
	}
	if resp.StatusCode/100 != 2 {
		_ = resp.Body.Close()
		return nil, errors.Errorf("weight store returned status %d", resp.StatusCode)
	}
	return resp, nil
}
