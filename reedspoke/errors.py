"""The base of all this program's errors: what went wrong, what an operator can do, and a code that stays.

They go out as `application/problem+json` at the doors (`problem`), as fields of a line in the log (`fields`),
and as one line with an exit status on the command line (`one_line`). `docs/oncall.md` has a row for each
code.
"""

from __future__ import annotations

import json
from typing import Any, ClassVar

PROBLEM_CONTENT_TYPE = "application/problem+json"


class ReedspokeError(Exception):
    """`str` of it is what went wrong, in one line and with nothing secret."""

    code: ClassVar[str] = ""  # small letters and dashes; never reused for something else
    remedy: ClassVar[str] = ""  # what an operator can do about it

    @property
    def what(self) -> str:
        return str(self)

    def one_line(self) -> str:
        """For the command line."""
        return f"{self.what} [{self.code}: {self.remedy}]"

    def fields(self) -> dict[str, str]:
        """For the log: `extra` of a line about it."""
        return {"code": self.code, "remedy": self.remedy}

    def problem(self, status: int, **more: Any) -> str:
        """A body of problem+json (RFC 9457)."""
        told = {
            "type": f"urn:reedspoke:{self.code}", "title": self.code.replace("-", " "), "status": status,
            "detail": self.what, "remedy": self.remedy, **more,
        }  # fmt: skip
        return json.dumps(told) + "\n"
