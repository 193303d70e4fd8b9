"""The operators' command line: an HTTP client of the control plane's API.

Owns: the commands, their output, error codes and exit statuses. It keeps no state between commands. Imports
`reedspoke.common` for the configuration and the base of errors, and no other package of the program.
"""
