"""Certificates obtained and renewed over ACME (RFC 8555). Decisions: words, plan, limits, record, renewal,
engine. Sockets, threads and files: network, challenges, driver, service."""
