"""Who calls, and what they may do: signed tokens, client certificates, and the rights of callers.

Pure decisions, without I/O and without a clock of their own; all times are microseconds of Unix time:

- `keys`: the keys that verify tokens, and when each of them is valid;
- `token`: what a token must be to be accepted (RFC 7519, RFC 8725);
- `verified_tokens`: tokens that have been verified, by digest;
- `callers`: which caller a token or a certificate means, its tenants and its limits;
- `authorizer`: the one answer from all of these, with counters and audit lines.

What touches files, sockets and the clock: `key_files` reads key sets, `extension` joins the authorizer to the
node, and `signing` makes keys and tokens for tests and small installations.

The package may import `reedspoke.operator` for its settings and `reedspoke.tls.store` for files; only
`extension` imports `reedspoke.net`.
"""
