"""Log formats that an operator file can select in place of the platform's.

structlog processes the records of standard logging, so that lines of the program, of Tornado and of libraries
have the same format.
"""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING, Any, TextIO

import structlog

if TYPE_CHECKING:
    from structlog.typing import EventDict, Processor

WARNINGS_ONLY = ("urllib3", "acme", "asyncio", "requests")  # of these loggers only warnings and errors
ERRORS_ONLY = ("tornado.general",)  # it logs each failed handshake, which the front already counts and logs


def split_subject(_: Any, __: str, event: EventDict) -> EventDict:
    """Move a prefix such as `tls: ` into the field `about`, so that lines can be filtered by it."""
    text = str(event.get("event", ""))
    about, colon, rest = text.partition(": ")
    if colon and about.replace(" ", "").isalpha() and len(about) < 24:
        event["about"], event["event"] = about, rest
    return event


def configure(form: str = "plain", level: str = "info", stream: TextIO | None = None) -> None:
    """Configure the root logger. `form` is plain (the format shown in docs/oncall.md), console or json."""
    stream = stream or sys.stderr
    handler = logging.StreamHandler(stream)
    shared: list[Processor] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.ExtraAdder(),
        structlog.processors.TimeStamper(fmt="iso", utc=form == "json"),
    ]
    if form == "plain":
        handler.setFormatter(
            logging.Formatter("%(asctime)s.%(msecs)03d %(levelname)s %(message)s", "%H:%M:%S")
        )
    else:
        last: list[Processor] = [structlog.stdlib.ProcessorFormatter.remove_processors_meta]
        if form == "json":
            last += [structlog.processors.format_exc_info, split_subject, structlog.processors.JSONRenderer()]
        else:
            last += [structlog.dev.ConsoleRenderer(colors=stream.isatty())]
        handler.setFormatter(structlog.stdlib.ProcessorFormatter(foreign_pre_chain=shared, processors=last))
    structlog.configure(
        processors=[
            structlog.stdlib.filter_by_level,
            *shared,
            structlog.stdlib.ProcessorFormatter.wrap_for_formatter
            if form != "plain"
            else structlog.stdlib.render_to_log_kwargs,
        ],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=True,
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name in WARNINGS_ONLY:
        logging.getLogger(name).setLevel(logging.WARNING)
    for name in ERRORS_ONLY:
        logging.getLogger(name).setLevel(logging.ERROR)
