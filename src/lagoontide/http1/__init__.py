"""HTTP/1.1 on asyncio: h11 parses the messages, this package does the I/O."""
