package merger

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	verbenastand "github.com/verbenastand/verbenastand"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

func drawTicket(t *rapid.T) Ticket {
	ticket := Ticket{Number: verbenastand.TicketNumber(rapid.IntRange(1, 12).Draw(t, "number"))}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 3), 0, 3, rapid.ID).Draw(t, "services") {
		ticket.Services = append(ticket.Services, ServiceObject{
			Name:    verbenastand.ServiceName(fmt.Sprintf("service-%d", i)),
			Homes:   rapid.IntRange(1, 4).Draw(t, "homes"),
			Deleted: rapid.Bool().Draw(t, "deleted"),
		})
	}
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 4, rapid.ID).Draw(t, "servers") {
		ticket.Servers = append(ticket.Servers, ServerObject{
			ID: verbenastand.ServerID(fmt.Sprintf("server-%d", i)), Service: "service-0", Zone: "zone",
			Address: "127.0.0.1:80", Slots: rapid.IntRange(1, 9).Draw(t, "slots"),
			Deleted: rapid.Bool().Draw(t, "deleted"),
		})
	}
	return ticket
}

// Guards against hosts with different configurations after they received the same
// tickets in another order, repeatedly or from peers, and against a ticket number
// that decreases.
func TestMergeDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tickets := rapid.SliceOfN(rapid.Custom(drawTicket), 1, 10).Draw(t, "tickets")
		first, second := NewMerger(Config{}), NewMerger(Config{})
		first.Merge(tickets...)
		highest := verbenastand.TicketNumber(0)
		for _, ticket := range rapid.Permutation(append(tickets, tickets...)).Draw(t, "order") {
			second.Merge(ticket)
			number := second.Configuration().Number()
			if number < highest {
				t.Fatalf("ticket number decreased from %d to %d", highest, number)
			}
			highest = number
		}
		require.Equal(t, first.Configuration(), second.Configuration())

		encoded, err := first.Since(0)
		require.NoError(t, err)
		third := NewMerger(Config{})
		_, err = third.MergeEncoded(encoded)
		require.NoError(t, err)
		require.Equal(t, first.Configuration(), third.Configuration(), "tickets read from a peer")
	})
}

// Guards against a host that never recovers a lost ticket: its digest differs from
// that of a peer, and merging all of the peer's tickets must make them equal.
func TestLostTicketsAreDetectedByDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tickets := rapid.SliceOfN(rapid.Custom(drawTicket), 2, 10).Draw(t, "tickets")
		ahead, behind := NewMerger(Config{}), NewMerger(Config{})
		ahead.Merge(tickets...)
		for _, ticket := range tickets {
			if rapid.Bool().Draw(t, "received") {
				behind.Merge(ticket)
			}
		}
		if ahead.Configuration().Digest() == behind.Configuration().Digest() {
			return
		}
		encoded, err := ahead.Since(0)
		require.NoError(t, err)
		_, err = behind.MergeEncoded(encoded)
		require.NoError(t, err)
		require.Equal(t, ahead.Configuration().Digest(), behind.Configuration().Digest())
	})
}

func TestConflictingStatesResolveToTheSameOne(t *testing.T) {
	x := Ticket{Number: 5, Services: []ServiceObject{{Name: "a", Homes: 1}}}
	y := Ticket{Number: 5, Services: []ServiceObject{{Name: "a", Homes: 2}}}
	one, two := NewMerger(Config{}), NewMerger(Config{})
	one.Merge(x, y)
	two.Merge(y)
	two.Merge(x)
	require.Equal(t, one.Configuration(), two.Configuration())
	conflicts, _ := one.Conflicts()
	require.EqualValues(t, 1, conflicts)
}

func TestInvalidTicketDoesNotAffectOthers(t *testing.T) {
	m := NewMerger(Config{})
	valid, err := Ticket{Number: 3, Services: []ServiceObject{{Name: "a"}}}.Encode()
	require.NoError(t, err)
	_, err = m.MergeEncoded([][]byte{[]byte(`{"number":9,"services":[{"name":"B A D"}]}`), valid, []byte("{")})
	require.ErrorContains(t, err, `services[0].name: "B A D"`)
	require.EqualValues(t, 3, m.Configuration().Number())
	_, invalid := m.Conflicts()
	require.EqualValues(t, 2, invalid)
}

func TestOlderTicketDoesNotUndoDeletion(t *testing.T) {
	m := NewMerger(Config{})
	m.Merge(Ticket{Number: 7, Services: []ServiceObject{{Name: "a", Deleted: true}}})
	m.Merge(Ticket{Number: 6, Services: []ServiceObject{{Name: "a"}}})
	_, exists := m.Configuration().Service("a")
	require.False(t, exists)
}

func TestDecodeReportsEachValidationError(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"no number", `{"services":[{"name":"a"}]}`, "number: must be greater than zero"},
		{"unknown field", `{"number":1,"colour":"red"}`, `unknown field "colour"`},
		{"duplicate name", `{"number":1,"services":[{"name":"a"},{"name":"a"}]}`, `services[1].name: "a" is listed twice`},
		{"address", `{"number":1,"servers":[{"id":"a","service":"s","zone":"z","address":"nowhere"}]}`, "servers[0].address"},
		{"timeout", `{"number":1,"services":[{"name":"a","timeout":"never"}]}`, "services[0].timeout"},
		{"rule", `{"number":1,"services":[{"name":"a","rules":[{"size":"huge"}]}]}`, `services[0].rules[0]: size: "huge" is unknown`},
		{"state", `{"number":1,"servers":[{"id":"a","service":"s","zone":"z","address":"127.0.0.1:1","state":"gone"}]}`, "servers[0].state"},
		{"slots", `{"number":1,"servers":[{"id":"a","service":"s","zone":"z","address":"127.0.0.1:1","slots":-1}]}`, "servers[0].slots: -1"},
		{"trailing", `{"number":1} {}`, "unexpected data after the ticket"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode([]byte(c.text))
			require.ErrorContains(t, err, c.want)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"number":1,"services":[{"name":"a","timeout":"2s","rules":[{"pathPrefix":"/v/","size":"long"}]}]}`))
	f.Add([]byte(`{"number":18446744073709551615,"servers":[{"id":"a","service":"s","zone":"z","address":"[::1]:1","slots":6}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		ticket, err := Decode(data)
		if err != nil {
			return
		}
		encoded, err := ticket.Encode()
		require.NoError(t, err)
		decoded, err := Decode(encoded)
		require.NoError(t, err)
		require.Equal(t, ticket.Number, decoded.Number)
		NewMerger(Config{}).Merge(ticket)
	})
}

// BenchmarkMerge measures merging a ticket of one server into a configuration of
// the target deployment's size.
func BenchmarkMerge(b *testing.B) {
	const services, servers = 71, 1300
	ticket := Ticket{Number: 1}
	for i := range services {
		ticket.Services = append(ticket.Services, ServiceObject{Name: verbenastand.ServiceName(fmt.Sprintf("service-%d", i))})
	}
	for i := range servers {
		ticket.Servers = append(ticket.Servers, ServerObject{
			ID: verbenastand.ServerID(fmt.Sprintf("server-%d", i)), Zone: "zone", Address: "127.0.0.1:80",
			Service: verbenastand.ServiceName(fmt.Sprintf("service-%d", i%services)),
		})
	}
	m := NewMerger(Config{})
	m.Merge(ticket)
	encoded, _ := m.Since(0)
	b.ReportMetric(float64(len(encoded[0])), "snapshot-bytes")
	b.ReportAllocs()
	for i := range b.N {
		m.Merge(Ticket{Number: verbenastand.TicketNumber(i + 2), Servers: ticket.Servers[:1]})
	}
}
