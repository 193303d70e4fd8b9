"""The base class of this program's errors: what went wrong, what an operator can do, and a stable code.

They are reported as `application/problem+json` over HTTP (`problem`), as fields of a log line (`fields`), and
as one line with an exit status on the command line (`one_line`). `docs/oncall.md` has a row for each code.
"""

from __future__ import annotations

import json
from typing import Any, ClassVar

PROBLEM_CONTENT_TYPE = "application/problem+json"


class ReedspokeError(Exception):
    """An error whose text says what went wrong, in one line and without secrets."""

    code: ClassVar[str] = ""  # lower-case letters and dashes; never reused for another error
    remedy: ClassVar[str] = ""  # what an operator can do about it

    @property
    def what(self) -> str:
        """What went wrong."""
        return str(self)

    def one_line(self) -> str:
        """The error as one line for the command line."""
        return f"{self.what} [{self.code}: {self.remedy}]"

    def fields(self) -> dict[str, str]:
        """The error as `extra` fields of a log line."""
        return {"code": self.code, "remedy": self.remedy}

    def problem(self, status: int, **more: Any) -> str:
        """The error as a body of problem+json (RFC 9457); `more` are further members."""
        problem_body = {
            "type": f"urn:reedspoke:{self.code}", "title": self.code.replace("-", " "), "status": status,
            "detail": self.what, "remedy": self.remedy, **more,
        }  # fmt: skip
        return json.dumps(problem_body) + "\n"
