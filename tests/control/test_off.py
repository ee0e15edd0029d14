"""Optional subsystems that are switched off aren't loaded; the operator file that switches them on is validated."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from ironscale.__main__ import load_extension
from ironscale.net.config import ConfigError, load
from ironscale.operator_file import OperatorFileError, from_environment, parse, read_secret
from ironscale.standins.settings import SETTINGS
from tests.deployed import ROOT


def test_without_an_operator_file_nothing_beyond_the_data_path_is_loaded() -> None:
    code = ("import sys, ironscale.__main__ as m; assert m.load_extension({}) == (None, False); "
            "print(*sorted(n for n in sys.modules if n.startswith('ironscale')))")
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True,
                          timeout=60)
    assert done.stdout.split() == [
        "ironscale", "ironscale.__main__", "ironscale.balance", "ironscale.confidence", "ironscale.fleet_estimates",
        "ironscale.interface", "ironscale.logs", "ironscale.net", "ironscale.net.client", "ironscale.net.client_end",
        "ironscale.net.config", "ironscale.net.config_layers", "ironscale.net.connection_metrics",
        "ironscale.net.connection_reuse", "ironscale.net.discovery", "ironscale.net.discovery_schedule",
        "ironscale.net.end_poller", "ironscale.net.errors", "ironscale.net.event_dispatcher",
        "ironscale.net.exchange", "ironscale.net.http_message", "ironscale.net.jsonstream", "ironscale.net.lifecycle",
        "ironscale.net.listener_shutdown", "ironscale.net.listing", "ironscale.net.memory",
        "ironscale.net.memory_budget", "ironscale.net.older_lists", "ironscale.net.parse_pacing",
        "ironscale.net.periodic", "ironscale.net.process", "ironscale.net.quiet_connections",
        "ironscale.net.recent_ids", "ironscale.net.request", "ironscale.net.request_checks",
        "ironscale.net.request_log", "ironscale.net.request_parser", "ironscale.net.server", "ironscale.net.sidecar",
        "ironscale.net.signals", "ironscale.net.socket_connect", "ironscale.net.start_times", "ironscale.net.stream",
        "ironscale.net.timers", "ironscale.net.upstream", "ironscale.net.upstream_connection", "ironscale.settings",
        "ironscale.sum_tree"]


def test_the_control_extension_needs_no_extra_packages() -> None:
    """A sidecar that connects to an agent needs no packages beyond requirements.txt."""
    code = ("import sys, ironscale.control.extension; "
            "print(*sorted({m.split('.')[0] for m in sys.modules} - set(sys.stdlib_module_names)))")
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True,
                          timeout=60)
    loaded = {name for name in done.stdout.split() if not name.startswith(("_", "cython", "sitecustomize"))}
    assert loaded <= {"ironscale", "httptools", "uvloop"}


def test_the_shipped_operator_file_is_valid_and_enables_nothing() -> None:
    text = (ROOT / "deploy" / "operator.toml").read_text()
    found = parse(text, "operator.toml", Path("."))
    assert found.control is None and found.agent is None and not found.sidecar.reuse_port
    assert found.learned is None
    every = "\n".join(line.removeprefix("# ") for line in text.splitlines() if line.startswith("# ")
                      and ("=" in line or "[" in line) and not line.startswith(("# Check", "# The", "# A side")))
    full = parse(every, "operator.toml", Path("/etc"))  # the commented examples are valid too
    assert full.agent is not None and full.agent.services[0].environment == {"LANG": "C"}
    assert full.learned is not None and full.learned.folder == Path("/etc/learned")
    assert full.learned.ask == (("127.0.0.1", 7601),)
    assert full.store is not None and [t.name for t in full.store.to] == ["main", "second"]
    assert full.store.journal == Path("/etc/open") and full.store.to[1].password_file == Path("/etc/db.password")
    assert full.control is not None and full.control.token_file == Path("/etc/instance.token")
    assert full.versions is not None and full.versions.service == "app"
    assert [(place.port, place.zone) for place in full.versions.agents] == [(7400, "a")]
    assert found.versions is None


@pytest.mark.parametrize(("text", "words"), [
    ("[control]\n", "F: control.agent: expected HOST:PORT, or a list of 9 at most that differ, got nothing"),
    ("[store]\n", "F: store.to: expected 1 to 64 tables [[store.to]], got 0"),
    ("[store]\nclasses=[\"a\"]\njournal=\"j\"\n[[store.to]]\nname=\"m\"\n",
     "F: store.to[0]: expected sqlite or postgresql, got neither"),
    ("[store]\nclasses=[\"a\"]\njournal=\"j\"\n[[store.to]]\nname=\"m\"\nsqlite=\"s\"\npostgresql=\"p\"\n",
     "F: store.to[0]: expected sqlite or postgresql, got both"),
    ("[store]\nclasses=[\"a\",\"a\"]\njournal=\"j\"\n[[store.to]]\nname=\"m\"\nsqlite=\"s\"\n",
     "F: store.classes: expected a list of names that differ, got ['a', 'a']"),
    ("[store]\nclasses=[\"a\"]\n[[store.to]]\nname=\"m\"\nsqlite=\"s\"\n",
     "F: store.journal: expected a path, got nothing"),
    ("[store]\nclasses=[\"a\"]\njournal=\"j\"\n" + 2 * "[[store.to]]\nname=\"m\"\nsqlite=\"s\"\n",
     "F: store.to: expected names that differ, got 'm' twice"),
    ("[store]\nclasses=[\"a\"]\njournal=\"j\"\n[[store.to]]\nname=\"m\"\nsqlite=\"s\"\nsynchronous_commit=\"maybe\"\n",
     "synchronous_commit: expected one of on, off, local, remote_write, remote_apply, got 'maybe'"),
    ("[versions]\n", "F: versions.agent: expected 1 to 64 tables [[versions.agent]], got 0"),
    ("[versions]\n[[versions.agent]]\naddress=\"here\"\n",
     "F: versions.agent[0].address: expected HOST:PORT, got 'here'"),
    ("[versions]\n" + 2 * "[[versions.agent]]\naddress=\"h:1\"\n",
     "F: versions.agent: expected addresses that differ, got h:1 twice"),
    ("[versions]\nzone=3\n[[versions.agent]]\naddress=\"h:1\"\n", "F: versions.zone: expected a text, got 3"),
    ("[versions]\n[[versions.agent]]\naddress=\"h:1\"\nzones=\"a\"\n",
     "F: versions.agent[0].zones: expected one of address, region, zone, got this key"),
    ("[learned]\n", "F: learned: expected folder, teach, ask or from_agent = true, got none"),
    ("[learned]\nteach = \"10.0.0.1:80\"\n", "learned.teach: expected HOST:PORT on a loopback address, got '10."),
    ("[learned]\nask = [\"127.0.0.1:1\", \"x\"]\n", "learned.ask: expected a list of 100 HOST:PORT at most on"),
    ("[learned]\nfolder = \"f\"\nevery_s = 0\n", "learned.every_s: expected seconds from 0.1 to 3600, got 0"),
    ("[learned]\nfolder = 3\n", "learned.folder: expected a path, got 3"),
    ("[record]\n", "record.file: expected a path, got nothing"),
    ("[record]\nfile = \"f\"\nmost_mb = 0\n", "record.most_mb: expected megabytes from 0.01 to 1e+06, got 0"),
    ("[record]\nfile = \"f\"\nmost = 1\n", "record.most: expected one of file, most_mb, got this key"),
    ("[learned]\nfoldr = \"f\"\n", "learned.foldr: expected one of ask, every_s, folder, from_agent, teach, got"),
    ('[control]\nagent = 7400\ntoken_file = "t"',
     "F: control.agent: expected HOST:PORT, or a list of 9 at most that differ, got 7400"),
    ('[control]\nagent = "a:70000"\ntoken_file = "t"', "got 'a:70000'"),
    ('[control]\nagent = "a:1"', "control.token_file: expected a path, got nothing"),
    ('[control]\nagent = "a:1"\ntoken_file = "t"\nzome = "a"', "control.zome: expected one of agent, token_file"),
    ("[contrl]\n", "contrl: expected one of agent, control, learned, record, sidecar, store, versions, got this key"),
    ("control = 3", "control: expected a table, got 3"), ("[agent\n", "expected TOML"),
    ("[agent]\nlease_s = '6'", "agent.lease_s: expected seconds from"), ("[agent]\nlease_s = nan", "agent.lease_s"),
    ("[agent]\nlease_s = 2.0\nheartbeat_s = 1.5", "agent.lease_s: expected seconds of two heartbeats (3) or more"),
    ('[agent]\napi = "0.0.0.0:1"', "agent.api: expected a loopback address, or remote = true"),
    ("[agent]\nmost_instances = true", "agent.most_instances: expected a whole number"),
    ("[[agent.service]]\n", "agent.service[0].count: expected a whole number from 1 to 5000, got nothing"),
    ('[[agent.service]]\nname="a"\ncount=2\nconfig="c"\nfirst_port=65535', "a port with room for 2 instances"),
    ('[[agent.service]]\nname="a"\ncount=2\nconfig="c"\nmake_before_break=true', "expected false, or a first_port"),
    ('[[agent.service]]\nname="a"\ncount=2\nconfig="c"\n[[agent.service]]\nname="a"\ncount=2\nconfig="c"',
     "expected names that differ, got 'a' twice"),
    ("[agent]\nservice = 3", "agent.service: expected tables [[agent.service]], got 3"),
])
def test_an_operator_file_error_is_one_line_that_names_the_key(text: str, words: str) -> None:
    with pytest.raises(OperatorFileError) as found:
        parse(text, "F", Path("."))
    assert words in str(found.value) and "\n" not in str(found.value)


def test_the_environment_takes_precedence_over_the_operator_file(tmp_path: Path) -> None:
    (tmp_path / "o.toml").write_text('[control]\nagent = "127.0.0.1:1"\ntoken_file = "t"\nzone = "b"\n')
    file = {"GW_OPERATOR": str(tmp_path / "o.toml")}
    found = from_environment(file).control
    assert found is not None and (found.agents, found.token_file) == ((("127.0.0.1", 1),), tmp_path / "t")
    found = from_environment({**file, "GW_AGENT": "127.0.0.1:2", "GW_ZONE": "c"}).control
    assert found is not None and (found.agents, found.zone) == ((("127.0.0.1", 2),), "c")
    with pytest.raises(OperatorFileError, match="GW_AGENT: expected HOST:PORT"):
        from_environment({"GW_AGENT": "x"})
    with pytest.raises(OperatorFileError, match="GW_AGENT_TOKEN_FILE: expected a path"):
        from_environment({"GW_AGENT": "h:1"})
    alone = tmp_path / "versions.toml"
    alone.write_text('[versions]\n[[versions.agent]]\naddress = "h:1"\n')
    with pytest.raises(OperatorFileError, match="versions: expected .control. or GW_AGENT to be set too, got neither"):
        from_environment({"GW_OPERATOR": str(alone)})
    beside = from_environment({"GW_OPERATOR": str(alone), "GW_AGENT": "h:2", "GW_AGENT_TOKEN_FILE": "t"})
    assert beside.control is not None and beside.versions is not None
    with pytest.raises(ConfigError, match="expected a file that can be read"):
        load_extension({"GW_OPERATOR": str(tmp_path / "none.toml")})


def test_a_token_file_that_others_can_read_is_refused(tmp_path: Path) -> None:
    path = tmp_path / "t"
    path.write_text("secret\n")
    path.chmod(0o644)
    with pytest.raises(OperatorFileError, match="expected mode 0600, got 0644"):
        read_secret(path)
    path.chmod(0o600)
    assert read_secret(path) == "secret"
    path.write_text("two\nlines")
    with pytest.raises(OperatorFileError, match="expected a token in one line"):
        read_secret(path)
    with pytest.raises(OperatorFileError, match="expected a token, got No such file"):
        read_secret(tmp_path / "none")


def test_a_sidecar_can_start_with_an_overlay(tmp_path: Path) -> None:
    base = {"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "settings": SETTINGS}
    (tmp_path / "c.json").write_text(json.dumps(base))
    overlay = {"settings": {"instances": 7, "fees": None}}
    (tmp_path / "o.json").write_text(json.dumps({"generation": 5, "overlay": overlay}))
    environ = {"GW_CONFIG": str(tmp_path / "c.json"), "GW_OVERLAY": str(tmp_path / "o.json")}
    found = load(environ)
    assert (found.layers.generation, found.layers.overlay, found.settings.instances) == (5, overlay, 7)
    assert found.layers.document == base
    for bad in ("{}", '{"generation": "5", "overlay": {}}', '{"generation": true, "overlay": {}}', "[]", "{"):
        (tmp_path / "o.json").write_text(bad)
        with pytest.raises(ConfigError, match="o.json"):
            load(environ)
