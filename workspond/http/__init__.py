"""HTTP/1.1 messages: parsing, validation, rendering and size limits."""
