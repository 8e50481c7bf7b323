"""Communication between nodes: datagrams, gRPC calls, message sealing."""
