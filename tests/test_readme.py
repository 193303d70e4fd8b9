"""The embedding example in the README runs and prints what it states."""

import re
from pathlib import Path

import pytest

README = Path(__file__).parent.parent / "README.md"


def test_embedding_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    found = re.search(r"```python\n(.*?)```", README.read_text(encoding="utf-8"), re.DOTALL)
    assert found is not None
    exec(compile(found.group(1), "README.md", "exec"), {})
    assert capsys.readouterr().out == "sent to a worker: True\n"
