"""Numbered errors of the command line, and their exit codes; `docs/errors.md` has a row for each."""

from __future__ import annotations

from enum import IntEnum

from reedspoke.common.errors import NumberedError


class OperatorErrorCode(IntEnum):
    """6xx: errors of the operator's command line. No number is ever reused."""

    NO_ANSWER = 601
    REFUSED = 602
    FILE_UNREADABLE = 603
    TOO_MANY_REDIRECTS = 604
    MALFORMED_ANSWER = 605
    ADDRESS_INVALID = 606


class ExitCode(IntEnum):
    """Exit status of the command line; argparse itself uses 2 for a wrong command line."""

    DONE = 0
    REFUSED = 1
    USAGE = 2
    NO_ANSWER = 3
    LOCAL_FILE = 4


EXIT_CODES = {
    OperatorErrorCode.NO_ANSWER: ExitCode.NO_ANSWER,
    OperatorErrorCode.REFUSED: ExitCode.REFUSED,
    OperatorErrorCode.FILE_UNREADABLE: ExitCode.LOCAL_FILE,
    OperatorErrorCode.TOO_MANY_REDIRECTS: ExitCode.NO_ANSWER,
    OperatorErrorCode.MALFORMED_ANSWER: ExitCode.NO_ANSWER,
    OperatorErrorCode.ADDRESS_INVALID: ExitCode.USAGE,
}


class OperatorError(NumberedError):
    """A command could not be carried out."""

    code: OperatorErrorCode

    def __init__(self, code: OperatorErrorCode, message: str) -> None:
        """`message` says what went wrong."""
        super().__init__(code, message)

    @property
    def exit_code(self) -> ExitCode:
        """The exit status of the command."""
        return EXIT_CODES[self.code]
