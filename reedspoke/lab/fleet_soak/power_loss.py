"""What a loss of power leaves of a data folder: what was synced, and all, a part or nothing of the rest."""

from __future__ import annotations

import shutil
from pathlib import Path
from random import Random


def lose_power(folder: Path, synced: Path, random: Random) -> str:
    """Put the files of a machine that lost power in place; its process has ended. Tells what was kept."""
    kept = random.choice(("nothing", "nothing", "a part", "all"))
    if kept == "all":
        return kept
    for path in [path for path in folder.iterdir() if not (synced / path.name).exists()]:
        path.unlink()
    for source in synced.iterdir():
        target = folder / source.name
        later = target.read_bytes() if target.exists() else b""
        content = source.read_bytes()
        if kept == "a part" and len(later) > len(content):
            content += later[len(content) : len(content) + random.randrange(len(later) - len(content) + 1)]
        target.write_bytes(content)
    return kept


def lose_disk(folder: Path, synced: Path) -> None:
    """Empty the data folder and its synced copy."""
    for path in (folder, synced):
        shutil.rmtree(path, ignore_errors=True)
        path.mkdir(parents=True)
