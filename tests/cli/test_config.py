"""config on the command line: what it publishes, what it shows, and its exit codes."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from ironscale.cli.output import Exit
from tests.agent.agent_harness import run, scene
from tests.agent.test_versions import One, Serves
from tests.cli.test_commands import tool


def test_publish_look_and_go_back(tmp_path: Path) -> None:
    async def test() -> None:
        overlay = tmp_path / "overlay.json"
        async with scene(tmp_path / "data") as s:
            overlay.write_text('{"settings": {"instances": 5}}')
            first = ("config", "publish", str(overlay), "--scope", "zone=a", "--base", "0", "--key", "k", "--note",
                     "up")
            code, out, err = await tool(s, *first, "--yes")
            assert code == 0 and "version 1 of zone=a: published (base 0, admin)" in out
            assert "zone=a: no version -> the next" in err and "+ settings.instances: 5" in err
            code, out, _ = await tool(s, *first, "--yes", "-o", "json")
            assert code == 0 and json.loads(out)["number"] == 1  # by its key
            code, _, err = await tool(s, "config", "publish", str(overlay), "--scope", "zone=a", "--base", "0", "-y")
            assert code == Exit.CONFLICT and "expected the newest version of zone=a, 1 of admin, got 0" in err
            code, _, err = await tool(s, *first[:-4])
            assert code == Exit.USAGE and "expected --yes where nobody can be asked" in err
            overlay.write_text('{"settings": {"instances": 6}}')
            assert (await tool(s, "config", "publish", str(overlay), "--scope", "zone=a", "--base", "1", "-y"))[0] == 0
            code, out, _ = await tool(s, "config", "restore", "1", "--base", "2", "--yes")
            assert code == 0 and "version 3 of zone=a: brings back 1" in out
            code, out, _ = await tool(s, "config", "log", "--scope", "zone=a")
            lines = out.splitlines()
            assert code == 0 and [line.split()[0] for line in lines[1:]] == ["3", "2", "1"] and "yes" in lines[1]
            code, out, _ = await tool(s, "config", "log", "--first", "2", "-o", "json")
            assert [row["number"] for row in json.loads(out)] == [3, 2]
            code, out, _ = await tool(s, "config", "show", "1")
            assert code == 0 and '"instances": 5' in out and ": up" in out
            code, out, _ = await tool(s, "config", "explain", "--zone", "a", "--instance", "i")
            assert code == 0 and "zone=a" in out and '"instances": 5' in out and "as of position 3" in out
            code, out, _ = await tool(s, "config", "remove", "--scope", "zone=a", "--base", "3", "--yes")
            assert code == 0 and "none from here on" in out
            code, out, _ = await tool(s, "config", "explain", "--zone", "a", "-o", "json")
            assert json.loads(out)["overlay"] == {}

    run(test)


def test_who_differs_is_shown_and_tells_by_its_code(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path / "data") as s:
            s.engine.publisher.served = Serves()
            code, out, _ = await tool(s, "config", "status")
            assert code == Exit.PARTIAL and "10 at 4, 2 at 3" in out and "9.0 s ago, lost" in out
            assert "i7" in out and "refused" in out and "2 more differ" in out
            code, out, _ = await tool(s, "config", "status", "--output", "json")
            assert json.loads(out)["agents"][0]["differing"][0]["detail"] == "why"
            s.engine.publisher.served = Agreeing()
            code, out, _ = await tool(s, "config", "status")
            assert code == 0 and "h:1" in out

    run(test)


class Agreeing:
    def summary(self) -> list[One]:
        found = One("h:1")
        found.summary.differing = ()
        return [found]


@pytest.mark.parametrize(("arguments", "words"), [
    (("publish", "{good}", "--scope", "zones=a", "--base", "0", "-y"), "scope: expected all, or one of region, zone"),
    (("publish", "{good}", "--scope", "zone=", "--base", "0", "-y"), "scope: expected all"),
    (("publish", "{good}", "--scope", "all", "--base", "-1", "-y"), "-1 is not in the range x>=0"),
    (("publish", "{good}", "--scope", "all", "--base", "9", "-y"), "base: expected a version that was published, 0 at"),
    (("publish", "{good}", "--scope", "all", "-y"), "Missing option '--base'"),
    (("publish", "{list}", "--scope", "all", "--base", "0", "-y"), "list.json: expected an object, got list"),
    (("publish", "{none}", "--scope", "all", "--base", "0", "-y"), "none.json: expected a file that can be read"),
    (("publish", "{own}", "--scope", "all", "--base", "0", "-y"), "overlay: listen: expected no key that each"),
    (("restore", "7", "--base", "0", "-y"), "there is no version 7 in the history; see `ironscale config log`"),
    (("remove", "--scope", "all", "--base", "0", "-y"), "all has none to take away"),
    (("show", "7"), "there is no version 7"), (("log", "--scope", "x"), "scope: expected all"),
])
def test_what_can_not_be_is_told_and_nothing_is_begun(arguments: tuple[str, ...], words: str, tmp_path: Path) -> None:
    async def test() -> None:
        files = {name: tmp_path / f"{name}.json" for name in ("good", "list", "none", "own")}
        files["good"].write_text("{}")
        files["list"].write_text("[]")
        files["own"].write_text('{"listen": "h:1"}')
        async with scene(tmp_path / "data") as s:
            code, _, err = await tool(s, "config", *(argument.format(**files) for argument in arguments))
            lines = [line for line in err.splitlines() if line.startswith(("ironscale:", "Error:"))]
            assert code == Exit.USAGE and len(lines) == 1 and words in lines[0], err
            assert await s.engine.store.read(lambda r: r.versions(99, 9)) == []

    run(test)


def test_no_agent_is_told_by_its_code(tmp_path: Path) -> None:
    async def test() -> None:
        code, _, err = await tool(tmp_path, "config", "log")
        assert code == Exit.NO_AGENT and "no agent" in err and len(err.splitlines()) == 1

    run(test)
