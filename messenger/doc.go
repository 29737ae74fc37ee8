// Package messenger sends and receives the messages between instances (3) as
// connect-go unary calls over HTTP/2 with a CBOR codec.
//
// # Usage
//
//	meter := messenger.NewMeter(messenger.BudgetBytesPerSecond, clock)
//	names := messenger.NewServerNameCodec()
//	names.SetServers(servers) // whenever the tables change
//
//	client, err := messenger.NewClient(messenger.ClientConfig{Meter: meter, Names: names, Clock: clock, Key: key})
//	response, err := client.Exchange(ctx, member, request)
//
//	handler, err := messenger.NewHandler(messenger.HandlerConfig{
//		Handler: peers, Names: names, Verifier: keys, Recorder: recorder, Clock: clock, Instance: name,
//	})
//	server := messenger.NewServer(handler, tlsConfig)
//	err = messenger.Serve(server, meter.Listener(listener))
//
// # Rules
//
//  1. Lengths, counts and names in a decoded message are checked before a handler
//     or the caller of the client sees it. A request that fails the checks gets
//     the error invalid_argument.
//  2. Structs are encoded as arrays, without field names, so that both sides need
//     the same message layout. A change of the layout gets a new version in the
//     procedure names, and servers keep the old procedures for one release.
//  3. A server name in Exchange is sent as a code, the low 32 bits of its
//     xxhash64, when the sender knows no other server with the same code, and
//     otherwise in full. When the receiver knows no server or more than one with
//     a code, it ignores the entry as if it had not been sent.
//  4. The [Meter] counts every byte that is written to or read from a socket,
//     with framing and TLS. Written bytes are charged to the budget. The meter
//     never delays a message: the exchanger calls [Meter.AllowsEarly] before it
//     sends a message earlier than the regular interval.
//  5. When an Exchange times out, the client closes the connections to that peer,
//     because a connection can stop delivering data forever while new ones work
//     (1.7).
//  6. A call without a valid credential gets status 401 and is recorded; its body
//     is not read.
package messenger
