package instances_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"verbenashift/core/membership/instances"
)

const twoInstances = `[{"name":"a","address":"10.0.0.1:9","zone":"Bole","state":"live"},` +
	`{"name":"b","address":"10.0.0.2:9","zone":"Merkato","state":"leaving"}]`

// Guards against using a truncated list: if the platform's answer breaks off, the
// missing instances would seem removed, and the rest would be overloaded.
func TestTruncatedListIsAnError(t *testing.T) {
	is := is.New(t)
	body := twoInstances
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body)
	}))
	defer s.Close()
	c := instances.New(instances.Config{Address: strings.TrimPrefix(s.URL, "http://")})
	list, err := c.List(t.Context())
	is.NoErr(err)
	is.Equal(list, []instances.Instance{
		{Name: "a", Address: "10.0.0.1:9", Zone: "Bole", State: instances.Live},
		{Name: "b", Address: "10.0.0.2:9", Zone: "Merkato", State: instances.Leaving},
	})
	body = twoInstances[:len(twoInstances)-1]
	list, err = c.List(t.Context())
	is.True(err != nil)
	is.Equal(len(list), 0)
}

// Guards against a process that is killed for its memory because the platform sends a head without end:
// short lines take many times their length.
func TestHeadWithoutEnd(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for part := strings.Repeat("a:\n", 10<<10); err == nil; {
			_, err = io.WriteString(c, part)
		}
	}))
	defer s.Close()
	_, err := instances.New(instances.Config{Address: s.URL}).List(t.Context())
	is.True(err != nil && strings.Contains(err.Error(), "exceeded 32768 bytes"))
}

// tripper answers without a network, so that it can run in a synctest bubble.
type tripper func(*http.Request) (*http.Response, error)

func (f tripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against polling that ends when the list is unavailable: each failure must
// reach the caller, which retains its last list, and polling must continue.
func TestPollOutlivesAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		calls := 0
		c := instances.New(instances.Config{Address: "platform", Transport: tripper(func(*http.Request) (*http.Response, error) {
			calls++
			if calls == 2 {
				return &http.Response{StatusCode: http.StatusBadGateway, Body: http.NoBody}, nil
			}
			return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(twoInstances))}, nil
		})})
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		var lengths, failures []int
		err := c.Poll(ctx, time.Second, func(list []instances.Instance, err error) {
			lengths = append(lengths, len(list))
			var status *instances.StatusError
			if errors.As(err, &status) {
				failures = append(failures, status.Status)
			}
			if calls == 3 {
				cancel()
			}
		})
		is.True(errors.Is(err, context.Canceled))
		is.Equal(lengths, []int{2, 0, 2})
		is.Equal(failures, []int{http.StatusBadGateway})
		took := time.Since(start) // two periods on the bubble's clock
		is.True(took >= 1800*time.Millisecond && took <= 2200*time.Millisecond)
	})
}
