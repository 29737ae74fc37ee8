// Package messenger carries the messages between instances (3): connect-go
// unary calls over HTTP/2 with a CBOR codec.
//
// # Usage
//
//	meter := messenger.NewMeter(messenger.BudgetBytesPerSecond, clock)
//	names := messenger.NewNames()
//	names.Set(servers) // whenever the tables change
//
//	client := messenger.NewClient(messenger.ClientConfig{Meter: meter, Names: names, Key: key})
//	response, err := client.Exchange(ctx, member, request)
//
//	handler := messenger.NewHandler(messenger.HandlerConfig{Handler: peers, Names: names, Verifier: keys})
//	server := messenger.NewServer(handler, tlsConfig)
//	err = messenger.Serve(server, meter.Listener(listener))
//
// # Rules
//
//  1. Every decoded message is checked for lengths, counts and names before a
//     handler or the caller of the client sees it. A message that fails is
//     answered with invalid_argument.
//  2. Structs are encoded as arrays, without field names. Both sides therefore
//     need the same message layout; a change of layout gets a new version in
//     the procedure names, and servers keep the old procedures for one release.
//  3. A server name in Exchange is sent as the low 32 bits of its xxhash64 when
//     the sender knows no other server with the same bits, otherwise in full.
//     A receiver that does not know the bits, or knows two servers with them,
//     drops the entry; the entry is then treated as not sent.
//  4. Every byte that is written to or read from a socket is counted by the
//     [Meter], with framing and TLS. Written bytes are charged to the budget.
//     Messages are never delayed by it: the exchanger asks [Meter.Allows]
//     before it sends earlier than the regular interval.
//  5. An Exchange that times out closes the connection that it used, because a
//     connection may stop delivering data for ever while new ones work (1.7).
//  6. A call without a valid credential is answered with 401, recorded, and
//     its body is not read.
package messenger
