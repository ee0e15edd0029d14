"""The command line against an agent in this process: what it prints, and its exit codes."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any

import pytest

from ironscale.agent.model import Kind
from ironscale.cli.output import Exit
from ironscale.standins.http import Message, read_message
from tests.agent.agent_harness import AgentScene, run, scene, until
from tests.deployed import ROOT


async def start(data: Path, *arguments: str, **more: Any) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable, "-m", "ironscale.cli", *arguments, "--data", str(data), cwd=ROOT,
        stdin=more.get("stdin", asyncio.subprocess.DEVNULL), stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE)


async def tool(s: AgentScene | Path, *arguments: str) -> tuple[int, str, str]:
    process = await start(s if isinstance(s, Path) else s.agent.data, *arguments)
    out, err = await process.communicate()
    assert process.returncode is not None
    return process.returncode, out.decode(), err.decode()


def test_looking_around(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(3, zone="b")
            code, out, _ = await tool(s, "ls")
            lines = out.splitlines()
            assert code == 0 and lines[0].split()[:4] == ["NAME", "STATE", "ZONE", "GEN"]
            assert lines[1].split()[:4] == ["i0000", "ready", "b", "0"] and "3 instances: 3 ready" in lines[-1]
            code, out, _ = await tool(s, "ls", "i0001", "-o", "json")
            assert [node["name"] for node in json.loads(out)] == ["i0001"]
            assert (await tool(s, "ls", "-l", "zone=a", "-o", "json"))[1].strip() == "[]"
            code, out, _ = await tool(s, "show", "i0002", "-o", "json")
            assert code == 0 and len(json.loads(out)["upstreams"]) == 10
            code, out, _ = await tool(s, "show", "i0002")
            assert "UPSTREAM" in out and "node-9" in out
            s.kill("i0002")
            await until(lambda: s.agent.fleet.members["i0002"].link is None)
            code, _, err = await tool(s, "show", "i0002")
            assert code == Exit.PARTIAL and "is not connected, last heard" in err
            code, _, err = await tool(s, "show", "nobody")
            assert code == Exit.USAGE and "see `ironscale ls`" in err
            code, _, err = await tool(s, "ls", "-l", "colour=red")
            assert code == Exit.USAGE and "selector: expected one of name" in err and len(err.splitlines()) == 1

    run(test)


def test_drains_and_rollouts_and_their_exit_codes(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path / "data") as s:
            await s.start_many(3)
            code, out, _ = await tool(s, "drain", "i0000")
            assert code == 0 and "operation 1: drain succeeded: 1 applied" in out and s.instances["i0000"].draining
            assert (await tool(s, "undrain", "*", "-o", "json"))[0] == 0
            overlay = tmp_path / "overlay.json"
            overlay.write_text('{"settings": {"instances": 5}}')
            code, out, err = await tool(s, "apply", str(overlay), "--yes")
            assert code == 0 and "generation 0 -> 1 on 3 instances" in err and "+ settings.instances: 5" in err
            assert {i.generation for i in s.instances.values()} == {1}
            code, _, err = await tool(s, "apply", str(overlay), "--yes", "--expect", "0")
            assert code == Exit.CONFLICT and "generation 1 was made by admin meanwhile" in err
            overlay.write_text('{"refused": "because"}')
            code, out, _ = await tool(s, "apply", str(overlay), "--yes", "--wave", "1")
            assert code == Exit.PARTIAL and "refused: because" in out and "not started" in out
            code, out, _ = await tool(s, "rollout", "status", "-o", "json")
            assert code == Exit.PARTIAL and json.loads(out)["note"] == "1 failed, 0 allowed"
            code, out, _ = await tool(s, "ops")
            assert code == 0 and [line.split()[0] for line in out.splitlines()[1:]] == ["4", "3", "2", "1"]
            code, out, _ = await tool(s, "events", "-o", "json")
            assert [json.loads(line)["action"] for line in out.splitlines()][:2] == ["create token"] * 2
            code, _, err = await tool(s, "apply", str(overlay))
            assert code == Exit.USAGE and "expected --yes where nobody can be asked" in err

    run(test)


def test_steering_a_rollout_and_what_goes_on_without_the_tool(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(2)
            s.instances["i0000"].open = 1
            code, out, _ = await tool(s, "drain", "*", "--timeout", "0.5", "--answer-timeout", "60", "--wave", "1")
            assert code == Exit.UNDER_WAY and "it goes on; look with `ironscale rollout status 1`" in out
            code, _, err = await tool(s, "undrain", "i0000")
            assert code == Exit.CONFLICT and "operation 1 (drain) of admin has 1 of these instances" in err
            assert "paused" in (await tool(s, "rollout", "pause", "1"))[1]
            assert "running" in (await tool(s, "rollout", "resume", "1"))[1]
            assert (await tool(s, "rollout", "abort", "1"))[0] == 0
            s.instances["i0000"].open = 0
            code, out, _ = await tool(s, "rollout", "status", "1", "--watch")
            assert code == Exit.PARTIAL and "drain aborted: 1 not started, 1 applied" in out
            code, _, err = await tool(s, "rollout", "pause", "1")
            assert code == Exit.CONFLICT and "has ended: aborted" in err

    run(test)


@pytest.mark.parametrize(("arguments", "words"), [
    (("drain",), "expected a NAME or --selector"), (("drain", "a", "b"), "expected one NAME"),
    (("apply", "none.json", "--yes"), "none.json: expected a file that can be read"),
    (("rollout", "status", "x"), "'x' is not a valid integer"),
    (("config", "check", "none.toml"), "none.toml: expected"),
    (("apply", "{folder}/bad.json", "--yes"), "bad.json: expected JSON"),
    (("apply", "{folder}/list.json", "--yes"), "list.json: expected an object, got list"),
    (("apply", "{folder}/nan.json", "--yes"), "nan.json: expected JSON, got NaN"),
])
def test_bad_usage_is_told_with_exit_code_2(arguments: tuple[str, ...], words: str, tmp_path: Path) -> None:
    for name, text in (("bad", "{"), ("list", "[]"), ("nan", '{"x": NaN}')):
        (tmp_path / f"{name}.json").write_text(text)

    async def test() -> None:
        given = [argument.replace("{folder}", str(tmp_path)) for argument in arguments]
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "ironscale.cli", *given, cwd=tmp_path, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE)
        _, err = await process.communicate()
        assert process.returncode == Exit.USAGE and words in err.decode(), err.decode()

    run(test)


def test_without_an_agent_or_a_token_it_says_what_to_do(tmp_path: Path) -> None:
    async def test() -> None:
        code, _, err = await tool(tmp_path, "ls")
        assert code == Exit.NO_AGENT and "start one with `ironscale agent`" in err
        (tmp_path / "address").write_text("http://127.0.0.1:1\n")
        code, _, err = await tool(tmp_path, "ls")
        assert code == Exit.DENIED and "name a token with --token-file" in err
        (tmp_path / "admin.token").write_text("wrong\n")
        (tmp_path / "admin.token").chmod(0o600)
        code, _, err = await tool(tmp_path, "ls")
        assert code == Exit.NO_AGENT and "no agent answers" in err
        async with scene(tmp_path / "data") as s:
            code, _, err = await tool(tmp_path, "ls", "--agent", f"127.0.0.1:{s.agent.api_port}")
            assert code == Exit.DENIED and "Authorization: expected Bearer" in err
            code, _, err = await tool(tmp_path, "ls", "--agent", f"127.0.0.1:{s.agent.control_port}")
            assert code == Exit.NO_AGENT

    run(test)


def test_an_agent_that_goes_away_in_mid_command_is_no_success(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(1)
            s.instances["i0000"].open = 1
            process = await start(tmp_path, "drain", "*", "--timeout", "3", "--answer-timeout", "60")
            await until(lambda: s.engine.live_operations)
            await asyncio.sleep(0.5)
        out, err = await process.communicate()
        assert process.returncode == Exit.NO_AGENT, (out, err)
        assert "its outcome is not known" in err.decode()

    run(test)


def raw(message: Message) -> bytes:
    """As it goes on, on a connection that ends with it."""
    headers = {**message.headers, "connection": "close"}
    head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{message.first}\r\n{head}\r\n".encode() + message.body


def test_a_lost_answer_is_asked_for_again_by_the_same_key(tmp_path: Path) -> None:
    """The tool sees its connection break after the agent has begun; it must neither give up nor begin twice."""
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(1)
            cut = [0]

            async def relay(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                there, to = await asyncio.open_connection("127.0.0.1", s.agent.api_port)
                asked = await read_message(reader)
                to.write(raw(asked))
                answer = raw(await read_message(there))
                if b"mutation" in asked.body and cut[0] < 2:
                    cut[0] += 1
                else:
                    writer.write(answer)
                writer.close()
                to.close()

            server = await asyncio.start_server(relay, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            code, out, err = await tool(s, "drain", "*", "--agent", f"127.0.0.1:{port}")
            assert code == 0, (out, err)
            assert cut[0] == 2 and s.instances["i0000"].effects == ["drain"]
            assert len(await s.engine.store.read(lambda r: r.operations(99, 99))) == 1
            server.close()

    run(test)


def test_events_are_followed_and_ctrl_c_ends_it(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path) as s:
            await s.start_many(1)
            process = await start(tmp_path, "events", "--follow", "-o", "json")
            assert process.stdout is not None
            for _ in range(2):
                await process.stdout.readline()
            await until(lambda: s.engine.watchers)
            await s.end(await s.begin(Kind.DRAIN))
            results = [json.loads(await process.stdout.readline())["result"] for _ in range(3)]
            assert results == ["begun", "applied", "succeeded"]
            process.send_signal(signal.SIGINT)
            assert await process.wait() == Exit.STOPPED

    run(test)


def test_tokens_and_completion_and_the_check_of_the_operator_file(tmp_path: Path) -> None:
    async def test() -> None:
        async with scene(tmp_path / "data") as s:
            file = tmp_path / "reader.token"
            code, out, _ = await tool(s, "token", "create", "reader", "--role", "read", "--file", str(file))
            assert code == 0 and oct(file.stat().st_mode & 0o777) == "0o600" and file.read_text().strip() not in out
            await s.start_many(1)
            assert (await tool(s, "ls", "--token-file", str(file)))[0] == 0
            code, _, err = await tool(s, "drain", "*", "--token-file", str(file))
            assert code == Exit.DENIED and "expected a token of role operate, got read" in err
            assert (await tool(s, "token", "create", "x", "--role", "read", "--file", str(file)))[0] == Exit.USAGE
            assert (await tool(s, "token", "revoke", "reader"))[0] == 0
            assert (await tool(s, "ls", "--token-file", str(file)))[0] == Exit.DENIED
            rows = json.loads((await tool(s, "token", "ls", "-o", "json"))[1])
            assert [(r["name"], bool(r["revokedAt"])) for r in rows] == [
                ("admin", False), ("instance", False), ("reader", True)]
        for arguments, words in ((("config", "check", "deploy/operator.toml"), "agent"),
                                 (("completion", "bash"), "_IRONSCALE_COMPLETE"), (("--help",), "Exit codes")):
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "ironscale.cli", *arguments, cwd=ROOT, stdout=asyncio.subprocess.PIPE)
            out_, _ = await process.communicate()
            assert process.returncode == 0 and words in out_.decode()

    run(test)
